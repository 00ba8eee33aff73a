"""The copies that a bitmap's bits stand for: the sorted names of the agreed member list. Pure."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping
from typing import Protocol

MAX_INDEXES = 8  # rosters remembered, so that bitmaps made before a member joined or left can still be read


class ListedMember(Protocol):
    """What the agreed list says of a member, as far as it matters here."""

    @property
    def version(self) -> int:
        """The place in the log of the command that set it."""

    @property
    def site(self) -> str:
        """Its site."""

    @property
    def region(self) -> str:
        """The region of its site."""


def distance(copies: Mapping[str, ListedMember], one: str, other: str) -> int:
    """How far two copies are apart: 0 within a site, 1 within a region, 2 else or if that is not known."""
    if one not in copies or other not in copies:
        return 2
    if copies[one].site == copies[other].site:
        return 0
    return 1 if copies[one].region == copies[other].region else 2


class MemberIndex:
    """A sorted list of names. Its number is a checksum of them, so that equal numbers mean equal lists."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.names = tuple(sorted(set(names)))
        self.checksum = zlib.crc32("\n".join(self.names).encode())
        self.positions = {name: position for position, name in enumerate(self.names)}
        self.all_bits = (1 << len(self.names)) - 1
        self.byte_length = (len(self.names) + 7) // 8

    def bit(self, name: str) -> int:
        """The bitmap of one copy; 0 if it is not listed."""
        position = self.positions.get(name)
        return 0 if position is None else 1 << position

    def names_in(self, bits: int) -> list[str]:
        """The names in a bitmap."""
        return [name for position, name in enumerate(self.names) if bits >> position & 1]

    def pack(self, bits: int) -> bytes:
        """A bitmap as bytes, without its trailing zeros."""
        return bits.to_bytes(self.byte_length, "little").rstrip(b"\0")

    def unpack(self, data: bytes) -> int:
        """A bitmap from bytes. Raises ValueError if it is longer than the list."""
        bits = int.from_bytes(data, "little")
        if bits & ~self.all_bits:
            raise ValueError(f"a bitmap of {bits.bit_length()} copies; {len(self.names)} are listed")
        return bits

    def translate(self, bits: int, source: MemberIndex) -> int:
        """A bitmap of another roster in terms of this one; copies not listed here are left out."""
        if source.checksum == self.checksum:
            return bits
        found = 0
        for name in source.names_in(bits):
            found |= self.bit(name)
        return found


class MemberIndexHistory:
    """The current roster and some earlier ones, by number."""

    def __init__(self) -> None:
        self.current = MemberIndex()
        self._known = {self.current.checksum: self.current}
        self._copies: Mapping[str, ListedMember] = {}
        self._signature: tuple[int, str, int] = (0, "", 0)

    def update(self, copies: Mapping[str, ListedMember]) -> bool:
        """Follow the agreed list, which may have been changed in place. True if other names are listed.

        A list that grows adds at its end, and a member that joins again gets another version: so its size and
        last member tell cheaply whether it may have changed.
        """
        last = next(reversed(copies), "") if isinstance(copies, dict) else ""
        signature = (len(copies), last, copies[last].version if last else 0)
        if copies is self._copies and signature == self._signature and (last or not copies):
            return False
        self._copies, self._signature = copies, signature
        return self.replace(copies)

    def replace(self, names: Iterable[str]) -> bool:
        """These names are listed from here on. True if they were not."""
        roster = MemberIndex(names)
        if roster.checksum == self.current.checksum:
            return False
        self.current = roster
        self._known.pop(roster.checksum, None)
        self._known[roster.checksum] = roster
        while len(self._known) > MAX_INDEXES:
            del self._known[next(iter(self._known))]
        return True

    def get(self, number: int) -> MemberIndex | None:
        """The roster of that number, if it is remembered."""
        return self._known.get(number)
