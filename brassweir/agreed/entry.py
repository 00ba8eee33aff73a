"""Log entries, and the membership that some of them carry, as encoded in messages and on disk. Pure."""

from __future__ import annotations

from typing import Annotated

import msgspec

Number = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
ShortText = Annotated[str, msgspec.Meta(max_length=200)]

NOOP, COMMAND, MEMBERS = 0, 1, 2  # kinds of entries


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One log entry; ``session`` and ``seq`` name its proposal, ``lowest_open`` the lowest open ``seq``."""

    index: Number
    term: Number
    kind: Number
    data: bytes = b""
    session: ShortText = ""
    seq: Number = 0
    lowest_open: Number = 0


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The voters as (name, member id), sorted by name."""

    voters: tuple[tuple[ShortText, ShortText], ...]

    def has(self, name: str, member: str) -> bool:
        """Whether this member id is the voter of that name."""
        return (name, member) in self.voters

    def names(self) -> list[str]:
        """Names of the voters."""
        return [name for name, _ in self.voters]

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1
