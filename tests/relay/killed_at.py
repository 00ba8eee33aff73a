"""Runs ``node`` and kills it with SIGKILL at its n-th storage operation.

An append is killed half-written. A negative n kills right after the n-th append, before anything that waits for it
continues.
"""

from __future__ import annotations

import os
import signal
import sys
from typing import Any

from brassweir.cli.main import main
from brassweir.journal.storage import DirectoryStorage

STEPS = ("create", "append", "truncate", "rename", "remove")


def after(at: int) -> None:
    """Kill the process right after its ``at``-th append."""
    real, done = DirectoryStorage.append, list[str]()

    def append(self: DirectoryStorage, name: str, data: bytes) -> None:
        real(self, name, data)
        done.append(name)
        if len(done) == at:
            os.kill(os.getpid(), signal.SIGKILL)

    DirectoryStorage.append = append  # type: ignore[method-assign]


def dying(name: str, at: int, done: list[str]) -> None:
    """Count one kind of operation in ``done``, and kill the process at the ``at``-th of all kinds."""
    real = getattr(DirectoryStorage, name)

    def step(self: DirectoryStorage, *args: Any) -> None:
        done.append(name)
        if len(done) == at:
            if name == "append":
                real(self, args[0], args[1][: len(args[1]) // 2])
            os.kill(os.getpid(), signal.SIGKILL)
        real(self, *args)

    setattr(DirectoryStorage, name, step)


if __name__ == "__main__":
    seen: list[str] = []
    if int(sys.argv[1]) < 0:
        after(-int(sys.argv[1]))
    for kind in STEPS if int(sys.argv[1]) > 0 else ():
        dying(kind, int(sys.argv[1]), seen)
    main(["node"])
