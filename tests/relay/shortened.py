"""Runs ``node`` with time constants overridden by arguments ``module:NAME=seconds``, to shorten tests."""

from __future__ import annotations

import sys
from importlib import import_module

from brassweir.cli.main import main

STATUS_INTERVAL = "brassweir.service.node:STATUS_INTERVAL_SECONDS=0.05"
SILENCE_TIMEOUT = "brassweir.relay.watch:SILENCE_TIMEOUT_SECONDS=0.5"


def shortened(*times: str) -> list[str]:
    """Return the Python arguments that run ``node`` with these overrides."""
    return ["-m", "tests.relay.shortened", *times]


if __name__ == "__main__":
    for given in sys.argv[1:]:
        place, _, seconds = given.partition("=")
        module, _, name = place.partition(":")
        assert hasattr(import_module(module), name), given
        setattr(import_module(module), name, float(seconds))
    main(["node"])
