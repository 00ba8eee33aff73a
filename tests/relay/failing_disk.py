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


def begin_failing(directory: Path, error: str) -> None:
    """Let operations fail with an error, such as ENOSPC, from now on. The flag appears with its content."""
    new = directory / f"{FLAG}.new"
    new.write_text(error)
    os.replace(new, directory / FLAG)


def end_failing(directory: Path) -> None:
    """Let operations succeed again."""
    (directory / FLAG).unlink()


def current_error(directory: Path) -> str:
    """Return the name of the error that operations fail with; empty if they succeed."""
    try:
        return (directory / FLAG).read_text()
    except FileNotFoundError:
        return ""


def fail_while_flagged(name: str) -> None:
    """Make one kind of operation fail while the flag exists."""
    real = getattr(DirectoryStorage, name)
    directory = Path(os.environ["RELAY_STATE"]).parent

    def operation(self: DirectoryStorage, *args: Any) -> None:
        error = current_error(directory)
        if not error:
            real(self, *args)
            return
        if name == "append":
            real(self, args[0], args[1][: len(args[1]) // 2])
        code = getattr(errno, error)
        raise OSError(code, os.strerror(code))

    setattr(DirectoryStorage, name, operation)


if __name__ == "__main__":
    for name in sys.argv[1:]:
        fail_while_flagged(name)
    main(["node"])
