"""Runs ``node`` and sends it a signal at an exact moment: ``MOMENT SIGNAL``.

``import``: while the command is imported, before any signal handler is set. ``end``: after the event loop has closed,
while the interpreter exits.
"""

from __future__ import annotations

import asyncio
import os
import runpy
import signal
import sys
from importlib.abc import MetaPathFinder
from importlib.machinery import ModuleSpec
from typing import Any

MOMENT, SIGNAL = sys.argv[1], signal.Signals[sys.argv[2]]


class Importing(MetaPathFinder):
    """Sends the signal when the command is imported. Finds no modules."""

    def find_spec(self, fullname: str, path: Any = None, target: Any = None) -> ModuleSpec | None:
        if fullname == "brassweir.cli.node":
            os.kill(os.getpid(), SIGNAL)
        return None


def signalled(real: Any) -> Any:
    """Wrap ``Runner.__exit__`` to send the signal after it."""

    def leave(self: asyncio.Runner, *args: Any) -> None:
        real(self, *args)
        signal.signal(SIGNAL, signal.SIG_DFL)  # as the interpreter does in its last steps
        os.kill(os.getpid(), SIGNAL)

    return leave


if __name__ == "__main__":
    if MOMENT == "import":
        sys.meta_path.insert(0, Importing())
    else:
        asyncio.Runner.__exit__ = signalled(asyncio.Runner.__exit__)  # type: ignore[method-assign]
    sys.argv = ["brassweir", "node"]
    runpy.run_module("brassweir", run_name="__main__")
