"""Maps bits of a bitmap to copies, by the sorted names of the committed member list. Pure."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping
from typing import Protocol

MAX_INDEXES = 8  # stored, so that bitmaps from before a membership change can still be read


class ListedMember(Protocol):
    """The fields of a member list entry that are read here."""

    @property
    def version(self) -> int:
        """Log index of the command that set it."""

    @property
    def site(self) -> str:
        """Site of the member."""

    @property
    def region(self) -> str:
        """Region of the site."""


def distance(copies: Mapping[str, ListedMember], first: str, second: str) -> int:
    """Return 0 for copies of one site, 1 of one region, 2 otherwise or if either is not listed."""
    if first not in copies or second not in copies:
        return 2
    if copies[first].site == copies[second].site:
        return 0
    return 1 if copies[first].region == copies[second].region else 2


class MemberIndex:
    """The sorted names of copies and their bit positions. Lists are compared by the checksum of the names."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.names = tuple(sorted(set(names)))
        self.checksum = zlib.crc32("\n".join(self.names).encode())
        self.positions = {name: position for position, name in enumerate(self.names)}
        self.all_bits = (1 << len(self.names)) - 1
        self.byte_length = (len(self.names) + 7) // 8

    def bit(self, name: str) -> int:
        """Return the bitmap of one copy; 0 if it is not listed."""
        position = self.positions.get(name)
        return 0 if position is None else 1 << position

    def names_in(self, bits: int) -> list[str]:
        """Return the names whose bits are set."""
        return [name for position, name in enumerate(self.names) if bits >> position & 1]

    def pack(self, bits: int) -> bytes:
        """Encode a bitmap, without trailing zero bytes."""
        return bits.to_bytes(self.byte_length, "little").rstrip(b"\0")

    def unpack(self, data: bytes) -> int:
        """Decode a bitmap. Raises ValueError if it is longer than the list."""
        bits = int.from_bytes(data, "little")
        if bits & ~self.all_bits:
            raise ValueError(f"a bitmap of {bits.bit_length()} copies; {len(self.names)} are listed")
        return bits

    def translate(self, bits: int, source: MemberIndex) -> int:
        """Convert a bitmap of another index to this one; copies that are not listed here are left out."""
        if source.checksum == self.checksum:
            return bits
        converted = 0
        for name in source.names_in(bits):
            converted |= self.bit(name)
        return converted


class MemberIndexHistory:
    """The current index and some earlier ones, by checksum."""

    def __init__(self) -> None:
        self.current = MemberIndex()
        self._by_checksum = {self.current.checksum: self.current}
        self._copies: Mapping[str, ListedMember] = {}
        self._signature: tuple[int, str, int] = (0, "", 0)

    def update(self, copies: Mapping[str, ListedMember]) -> bool:
        """Follow the member list, which may have been changed in place. Return whether the names changed.

        New members are added at the end, and one that joins again gets another version: so the size and the
        last member show whether the list may have changed, without comparing all names.
        """
        last = next(reversed(copies), "") if isinstance(copies, dict) else ""
        signature = (len(copies), last, copies[last].version if last else 0)
        if copies is self._copies and signature == self._signature and (last or not copies):
            return False
        self._copies, self._signature = copies, signature
        return self.replace(copies)

    def replace(self, names: Iterable[str]) -> bool:
        """Make these names the current index. Return whether they differ from the last."""
        index = MemberIndex(names)
        if index.checksum == self.current.checksum:
            return False
        self.current = index
        self._by_checksum.pop(index.checksum, None)
        self._by_checksum[index.checksum] = index
        while len(self._by_checksum) > MAX_INDEXES:
            del self._by_checksum[next(iter(self._by_checksum))]
        return True

    def get(self, checksum: int) -> MemberIndex | None:
        """Return the index with that checksum, if it is still stored."""
        return self._by_checksum.get(checksum)
