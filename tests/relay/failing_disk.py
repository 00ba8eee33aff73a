"""Runs ``node`` with storage operations that fail while the file FLAG exists; a failing append writes half its data."""

from __future__ import annotations

import errno
import os
import sys
from pathlib import Path
from typing import Any

from brassweir.cli.main import main
from brassweir.journal.storage import DirectoryStorage

FLAG = "disk-fails"  # its content names the error


def fail_while_flagged(name: str) -> None:
    """Make one kind of operation fail while the flag exists."""
    real = getattr(DirectoryStorage, name)
    flag = Path(os.environ["RELAY_STATE"]).parent / FLAG

    def operation(self: DirectoryStorage, *args: Any) -> None:
        if not flag.exists():
            real(self, *args)
            return
        if name == "append":
            real(self, args[0], args[1][: len(args[1]) // 2])
        code = getattr(errno, flag.read_text())
        raise OSError(code, os.strerror(code))

    setattr(DirectoryStorage, name, operation)


if __name__ == "__main__":
    for name in sys.argv[1:]:
        fail_while_flagged(name)
    main(["node"])
