"""Runs ``node`` and kills it at its n-th step of storage, in the middle of a write if the step is one; below
zero right after the n-th write, when nothing that waited for it has gone on."""

from __future__ import annotations

import os
import signal
import sys
from typing import Any

from brassweir.cli.main import main
from brassweir.journal.storage import DirectoryStorage

STEPS = ("create", "append", "truncate", "rename", "remove")


def after(at: int) -> None:
    """The process ends right after a write."""
    real, done = DirectoryStorage.append, list[str]()

    def append(self: DirectoryStorage, name: str, data: bytes) -> None:
        real(self, name, data)
        done.append(name)
        if len(done) == at:
            os.kill(os.getpid(), signal.SIGKILL)

    DirectoryStorage.append = append  # type: ignore[method-assign]


def dying(name: str, at: int, done: list[str]) -> None:
    """Let one kind of step count, and the process end at the ``at``-th of all."""
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
