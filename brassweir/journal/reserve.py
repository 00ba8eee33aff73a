"""A file of set-aside bytes, removed on a full disk so that accepted messages can still be ended."""

from __future__ import annotations

from contextlib import suppress

from brassweir.journal.storage import DISK_FULL, RESERVE_NAME, Storage


class ReserveFile:
    """The reserve of one journal. While it is missing, no new message is accepted."""

    def __init__(self, storage: Storage, size: int) -> None:
        self.storage, self.size = storage, size
        self.missing = False

    def create(self) -> None:
        """Create the file; on a full disk it stays missing. Raises OSError for other errors."""
        self.missing = True
        try:
            self.storage.create(RESERVE_NAME)
            self.storage.append(RESERVE_NAME, b"\0" * self.size)
            self.storage.sync(RESERVE_NAME)
        except OSError as error:
            if error.errno not in DISK_FULL:
                raise
            with suppress(OSError):
                self.storage.remove(RESERVE_NAME)
        else:
            self.missing = False

    def release(self) -> None:
        """Remove the file, to use its room. Raises OSError."""
        self.missing = True
        self.storage.remove(RESERVE_NAME)
