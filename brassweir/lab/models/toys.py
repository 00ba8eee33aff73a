"""A toy replicated machine: it keeps in order all that it was given, so that doubles and gaps show."""

from __future__ import annotations

import msgspec


class Pile:
    """Adds each command to a list; the result is its place."""

    def __init__(self) -> None:
        self.taken: list[bytes] = []

    def apply(self, index: int, command: bytes) -> bytes:
        """Take one."""
        self.taken.append(command)
        return str(len(self.taken)).encode()

    def snapshot(self) -> bytes:
        """All of them."""
        return msgspec.msgpack.encode(self.taken)

    def restore(self, data: bytes) -> None:
        """Be that."""
        self.taken = msgspec.msgpack.decode(data, type=list[bytes])
