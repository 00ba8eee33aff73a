"""Runs ``node`` with time constants overridden by arguments ``module:NAME=seconds``, to shorten tests."""

from __future__ import annotations

import sys
from importlib import import_module

from brassweir.cli.main import main

BELIEF = "brassweir.service.node:BELIEF=0.05"
SILENT = "brassweir.relay.watch:SILENT=0.5"


def program(*times: str) -> list[str]:
    """Return the Python arguments that run ``node`` with these overrides."""
    return ["-m", "tests.relay.quicker", *times]


if __name__ == "__main__":
    for given in sys.argv[1:]:
        place, _, seconds = given.partition("=")
        module, _, name = place.partition(":")
        assert hasattr(import_module(module), name), given
        setattr(import_module(module), name, float(seconds))
    main(["node"])
