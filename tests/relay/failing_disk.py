"""Runs ``node`` on a folder whose writes fail while a file of this name stands beside it: half of each is done."""

from __future__ import annotations

import errno
import os
import sys
from pathlib import Path
from typing import Any

from brassweir.cli.main import main
from brassweir.journal.storage import DirectoryStorage

FLAG = "disk-fails"  # its content names the error


def failing(name: str) -> None:
    """Let one kind of step fail while the flag stands."""
    real = getattr(DirectoryStorage, name)
    flag = Path(os.environ["RELAY_STATE"]).parent / FLAG

    def step(self: DirectoryStorage, *args: Any) -> None:
        if not flag.exists():
            real(self, *args)
            return
        if name == "append":
            real(self, args[0], args[1][: len(args[1]) // 2])
        code = getattr(errno, flag.read_text())
        raise OSError(code, os.strerror(code))

    setattr(DirectoryStorage, name, step)


if __name__ == "__main__":
    for kind in sys.argv[1:]:
        failing(kind)
    main(["node"])
