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

OPERATIONS = ("create", "append", "truncate", "rename", "remove")


def kill_after_append(at: int) -> None:
    """Kill the process right after its ``at``-th append."""
    real, done = DirectoryStorage.append, list[str]()

    def append(self: DirectoryStorage, name: str, data: bytes) -> None:
        real(self, name, data)
        done.append(name)
        if len(done) == at:
            os.kill(os.getpid(), signal.SIGKILL)

    DirectoryStorage.append = append  # type: ignore[method-assign]


def kill_at_operation(name: str, at: int, done: list[str]) -> None:
    """Count one kind of operation in ``done``, and kill the process at the ``at``-th of all kinds."""
    real = getattr(DirectoryStorage, name)

    def operation(self: DirectoryStorage, *args: Any) -> None:
        done.append(name)
        if len(done) == at:
            if name == "append":
                real(self, args[0], args[1][: len(args[1]) // 2])
            os.kill(os.getpid(), signal.SIGKILL)
        real(self, *args)

    setattr(DirectoryStorage, name, operation)


if __name__ == "__main__":
    done: list[str] = []
    if int(sys.argv[1]) < 0:
        kill_after_append(-int(sys.argv[1]))
    for name in OPERATIONS if int(sys.argv[1]) > 0 else ():
        kill_at_operation(name, int(sys.argv[1]), done)
    main(["node"])
