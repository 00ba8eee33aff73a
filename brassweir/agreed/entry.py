"""An entry of the log and the membership that it may carry, as messages and the folder hold them. Pure."""

from __future__ import annotations

from typing import Annotated

import msgspec

Number = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
ShortText = Annotated[str, msgspec.Meta(max_length=200)]

NOOP, COMMAND, MEMBERS = 0, 1, 2  # kinds of entries


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One place of the log. ``session``, ``seq`` name the proposal, ``low`` its session's lowest open one."""

    index: Number
    term: Number
    kind: Number
    data: bytes = b""
    session: ShortText = ""
    seq: Number = 0
    lowest_open: Number = 0


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Who votes: (name, member id), by name."""

    voters: tuple[tuple[ShortText, ShortText], ...]

    def has(self, name: str, member: str) -> bool:
        """Does this very member vote?"""
        return (name, member) in self.voters

    def names(self) -> list[str]:
        """Names of the voters."""
        return [name for name, _ in self.voters]

    @property
    def quorum(self) -> int:
        """How many of them decide."""
        return len(self.voters) // 2 + 1
