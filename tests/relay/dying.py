"""Runs ``node`` and kills it at its n-th step of storage, in the middle of a write if the step is one."""

from __future__ import annotations

import os
import signal
import sys
from typing import Any

from brassweir.cli.main import main
from brassweir.journal.storage import Files

STEPS = ("create", "append", "cut", "rename", "remove")


def dying(name: str, at: int, done: list[str]) -> None:
    """Let one kind of step count, and the process end at the ``at``-th of all."""
    real = getattr(Files, name)

    def step(self: Files, *args: Any) -> None:
        done.append(name)
        if len(done) == at:
            if name == "append":
                real(self, args[0], args[1][:len(args[1]) // 2])
            os.kill(os.getpid(), signal.SIGKILL)
        real(self, *args)

    setattr(Files, name, step)


if __name__ == "__main__":
    seen: list[str] = []
    for kind in STEPS:
        dying(kind, int(sys.argv[1]), seen)
    main(["node"])
