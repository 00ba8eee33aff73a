"""The last changes, bounded in number and bytes, so that what follows them need not compare catalogs. Pure.

It is no part of what is agreed: a copy that became a snapshot begins with an empty one.
"""

from __future__ import annotations

from collections import deque

from brassweir.configstream.delta import Delta, merge, unpack

MAX_CHANGES = 16
MAX_BYTES = 1 << 20  # of packed deltas


class ChangeHistory:
    """Packed deltas, each with the version that it was made from; each follows the one before."""

    def __init__(self) -> None:
        self._changes: deque[tuple[int, bytes]] = deque()
        self._size = 0

    def add(self, after: int, body: bytes) -> None:
        """A change was made of version ``after``, the newest so far."""
        self._changes.append((after, body))
        self._size += len(body)
        while len(self._changes) > MAX_CHANGES or self._size > MAX_BYTES:
            self._size -= len(self._changes.popleft()[1])

    def since(self, version: int, newest: int) -> Delta | None:
        """All changes since that version as one; None if they are not all here."""
        if version == newest:
            return Delta()
        bodies: list[bytes] = []
        for after, body in reversed(self._changes):
            bodies.append(body)
            if after == version:
                return merge(unpack(one) for one in reversed(bodies))
        return None
