"""The last changes, bounded in number and bytes, so that followers need not compare catalogs. Pure.

It is not replicated state: a copy that was restored from a snapshot begins with an empty history.
"""

from __future__ import annotations

from collections import deque

from brassweir.configstream.delta import Delta, merge, unpack

MAX_CHANGES = 16
MAX_BYTES = 1 << 20  # of packed deltas


class ChangeHistory:
    """Successive packed deltas, each with the version that it was made from."""

    def __init__(self) -> None:
        self._changes: deque[tuple[int, bytes]] = deque()
        self._size = 0

    def add(self, after: int, body: bytes) -> None:
        """Append the change that followed version ``after``, evicting the oldest beyond the limits."""
        self._changes.append((after, body))
        self._size += len(body)
        while len(self._changes) > MAX_CHANGES or self._size > MAX_BYTES:
            self._size -= len(self._changes.popleft()[1])

    def since(self, version: int, newest: int) -> Delta | None:
        """Return all changes since ``version`` as one delta; None if some were evicted."""
        if version == newest:
            return Delta()
        bodies: list[bytes] = []
        for after, body in reversed(self._changes):
            bodies.append(body)
            if after == version:
                return merge(unpack(packed) for packed in reversed(bodies))
        return None
