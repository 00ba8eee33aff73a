"""Runs ``node`` with a journal whose appends fail with EIO while a given file exists.

After SIGTERM the node serves for up to its longest deadline.
"""

from __future__ import annotations

import errno
import os
import sys
from pathlib import Path
from typing import Any

from brassweir.cli.main import main
from brassweir.journal.storage import DirectoryStorage
from brassweir.service import node

if __name__ == "__main__":
    flag, real = Path(sys.argv[1]), DirectoryStorage.append

    def append(self: DirectoryStorage, *args: Any) -> None:
        if flag.exists():
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        real(self, *args)

    DirectoryStorage.append = append  # type: ignore[assignment, method-assign]
    node.SERVE_SECONDS = 60.0
    main(["node"])
