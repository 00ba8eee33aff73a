"""The files that a journal consists of, with their sizes: what counts towards a bounded directory."""

from __future__ import annotations

import secrets
from collections.abc import Iterable
from contextlib import suppress

from brassweir.journal.frame import KEY_BYTES
from brassweir.journal.scan import Scan
from brassweir.journal.sizes import BLOCK_BYTES
from brassweir.journal.storage import Storage


def new_segment_key() -> bytes:
    """Return a key for a segment, which nobody can guess."""
    return secrets.token_bytes(KEY_BYTES)


class SegmentFiles:
    """The journal's segments, and files that could not be removed yet.

    With ``tolerant``, an error while removing a file is no failure: the file counts until a later try, and
    the next process finds it stale. The methods are for the I/O side; the properties can be read on either.
    """

    def __init__(self, storage: Storage, scanned: Scan, tolerant: bool) -> None:
        self.storage, self.tolerant = storage, tolerant
        self.closed = dict(scanned.sizes)  # bytes by name, oldest first
        self.closed_bytes = scanned.size
        self.leftover: dict[str, int] = {}  # bytes by name of files that are to be removed
        self.leftover_bytes = 0
        self.open_name = ""  # of the segment that is written; empty until there is one
        self.open_bytes = 0
        self.open_key = b""  # of that segment
        self.torn_bytes = 0  # that a failed write may have left behind them

    @property
    def total_bytes(self) -> int:
        """The bytes of all segments."""
        return self.closed_bytes + self.open_bytes

    @property
    def disk_bytes(self) -> int:
        """What all files take in the directory, at most: the last block of each counts as whole."""
        files = len(self.closed) + len(self.leftover) + bool(self.open_name)
        return self.total_bytes + self.torn_bytes + self.leftover_bytes + files * BLOCK_BYTES

    def opened(self, name: str, size: int, key: bytes) -> None:
        """Note that a new segment was begun with a key, and the one before it closed."""
        if self.open_name:
            self.closed[self.open_name] = self.open_bytes
            self.closed_bytes += self.open_bytes
        self.open_name, self.open_bytes, self.open_key = name, size, key

    def replaced(self, snapshot: str, size: int, number: int) -> None:
        """Remove the segments up to ``number``, which the snapshot of that name has replaced.

        Raises OSError unless errors are tolerated.
        """
        old = {name: held for name, held in self.closed.items() if int(name.partition(".")[0]) <= number}
        newer = {name: held for name, held in self.closed.items() if name not in old}
        self.closed = {snapshot: size, **newer}
        self.closed_bytes += size - sum(old.values())
        for name, held in old.items():
            self.remove(name, held)

    def remove(self, name: str, held: int) -> None:
        """Remove a file of ``held`` bytes that is no segment. Raises OSError unless errors are tolerated."""
        try:
            self.storage.remove(name)
        except OSError:
            self._forget_leftover(name)
            self.leftover[name] = held
            self.leftover_bytes += held
            if not self.tolerant:
                raise
        else:
            self._forget_leftover(name)

    def remove_stale(self, names: Iterable[str]) -> None:
        """Remove files that an earlier process left. Raises OSError unless errors are tolerated."""
        for name in names:
            held = 0
            with suppress(OSError):
                held = self.storage.size(name)
            self.remove(name, held)

    def retry_removals(self) -> None:
        """Try again to remove what could not be removed. Raises OSError unless errors are tolerated."""
        for name, held in list(self.leftover.items()):
            self.remove(name, held)

    def _forget_leftover(self, name: str) -> None:
        self.leftover_bytes -= self.leftover.pop(name, 0)
