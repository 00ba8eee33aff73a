"""All endpoints of one version, immutable and small: a change repacks only the buckets that it touches. Pure.

Entries stand in 1,024 compressed buckets by their names; beside them, by the same means, stands how many
usable endpoints each owner has. Neighbouring versions share all buckets that did not change between them.
"""

from __future__ import annotations

import hashlib
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from brassweir.configstream.buckets import (
    BUCKETS,
    EMPTY_BUCKET,
    Bucket,
    BucketError,
    number,
    seal,
    unseal,
)
from brassweir.configstream.entries import GONE, Entry

Buckets = tuple[Bucket, ...]

_entries = msgspec.msgpack.Decoder(tuple[Entry, ...])
_owners = msgspec.msgpack.Decoder(tuple[tuple[str, int], ...])


class CatalogError(ValueError):
    """Bytes that are no catalog."""


class UnknownEntry(KeyError):
    """An entry is to be removed that is not there."""


class _Packed(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    size: int
    entries: Buckets
    owners: Buckets


class Advance(msgspec.Struct, frozen=True):
    """What a change makes of a catalog: the next one, and what is lost by it."""

    catalog: Catalog
    removed: int  # endpoints that were usable, and are not there or gone now
    unserved: tuple[str, ...]  # owners that had a usable endpoint, and have none now


class Counts(Mapping[str, int]):
    """The number of usable endpoints of each owner that has one."""

    def __init__(self, owners: Buckets) -> None:
        self._buckets = owners

    def __getitem__(self, owner: str) -> int:
        for name, count in _owners.decode(unseal(self._buckets[number(owner)])):
            if name == owner:
                return count
        raise KeyError(owner)

    def __iter__(self) -> Iterator[str]:
        for bucket in self._buckets:
            for name, _ in _owners.decode(unseal(bucket)):
                yield name

    def __len__(self) -> int:
        return sum(1 for _ in self)


class Catalog:
    """The endpoints of one version. Never changed once it is made."""

    __slots__ = ("_digest", "_entries", "_owners", "size")

    def __init__(self, size: int, entries: Buckets, owners: Buckets) -> None:
        self.size = size
        self._entries = entries
        self._owners = owners
        self._digest = ""

    @property
    def counts(self) -> Mapping[str, int]:
        """How many usable endpoints each owner has."""
        return Counts(self._owners)

    @property
    def length(self) -> int:
        """Bytes of all entries before compression."""
        return sum(bucket.length for bucket in self._entries)

    def get(self, name: str) -> Entry | None:
        """The entry of that name."""
        return next((entry for entry in _read(self._entries[number(name)]) if entry.name == name), None)

    def entries(self) -> Iterator[Entry]:
        """All entries, in the same order for equal catalogs."""
        for bucket in self._entries:
            yield from _read(bucket)

    def differing(self, other: Catalog) -> Iterator[tuple[tuple[Entry, ...], tuple[Entry, ...]]]:
        """The buckets that are not alike, entries here and there: all differences, at the cost of these."""
        for mine, others in zip(self._entries, other._entries, strict=True):
            if mine.checksum != others.checksum:
                yield _read(mine), _read(others)

    def digest(self) -> str:
        """What two copies compare: equal if, and only if, the entries are."""
        if not self._digest:
            whole = b"".join(bucket.checksum for bucket in self._entries)
            self._digest = hashlib.sha256(whole).hexdigest()[:32]
        return self._digest

    def advance(self, changed: Iterable[Entry], removed: Iterable[str]) -> Advance:
        """The next catalog. Each name may stand once. Raises UnknownEntry."""
        wanted: dict[int, dict[str, Entry | None]] = defaultdict(dict)
        for name in removed:
            wanted[number(name)][name] = None
        for entry in changed:
            wanted[number(entry.name)][entry.name] = entry
        buckets, tally = list(self._entries), _Tally(self.size)
        for at, changes in wanted.items():
            buckets[at] = _rewritten(buckets[at], changes, tally)
        owners, unserved = _moved(self._owners, tally.shifts)
        return Advance(Catalog(tally.size, tuple(buckets), owners), tally.removed, unserved)

    def pack(self) -> bytes:
        """All of it."""
        return msgspec.msgpack.encode(_Packed(self.size, self._entries, self._owners))

    @staticmethod
    def unpack(data: bytes) -> Catalog:
        """Read what ``pack`` made, checksums and all. Raises CatalogError."""
        try:
            packed = msgspec.msgpack.decode(data, type=_Packed)
            if not len(packed.entries) == len(packed.owners) == BUCKETS:
                raise CatalogError("not the number of buckets of a catalog")
            size = sum(len(_read(bucket)) for bucket in packed.entries)
            for bucket in packed.owners:
                _owners.decode(unseal(bucket))
        except (msgspec.DecodeError, BucketError) as error:
            raise CatalogError(f"no catalog: {error}") from None
        if size != packed.size:
            raise CatalogError("a catalog of another size than it says")
        return Catalog(size, packed.entries, packed.owners)


def _read(bucket: Bucket) -> tuple[Entry, ...]:
    return _entries.decode(unseal(bucket))


class _Tally:
    """What a change adds up to."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.removed = 0  # endpoints that were usable, and are not there or gone
        self.shifts: dict[str, int] = defaultdict(int)  # of usable endpoints, by owner


def _rewritten(bucket: Bucket, changes: Mapping[str, Entry | None], tally: _Tally) -> Bucket:
    """A bucket after the changes to its entries. Raises UnknownEntry."""
    rows = {entry.name: entry for entry in _read(bucket)}
    tally.size -= len(rows)
    for name, after in changes.items():
        before = rows.get(name)
        remains = after is not None and after.state != GONE
        if before is not None and before.state != GONE:
            tally.shifts[before.owner] -= 1
            tally.removed += not remains
        if after is not None:
            rows[name] = after
            if remains:
                tally.shifts[after.owner] += 1
        elif before is not None:
            del rows[name]
        else:
            raise UnknownEntry(name)
    tally.size += len(rows)
    return seal([rows[name] for name in sorted(rows)])


def _moved(owners: Buckets, shifts: Mapping[str, int]) -> tuple[Buckets, tuple[str, ...]]:
    """The counts after these shifts, and the owners that are left with none."""
    touched: dict[int, dict[str, int]] = defaultdict(dict)
    for owner, shift in shifts.items():
        if shift:
            touched[number(owner)][owner] = shift
    buckets, unserved = list(owners), []
    for at, moves in touched.items():
        counts = dict(_owners.decode(unseal(buckets[at])))
        for owner, shift in moves.items():
            counts[owner] = counts.get(owner, 0) + shift
            if not counts[owner]:
                del counts[owner]
                unserved.append(owner)
        buckets[at] = seal(sorted(counts.items()))
    return tuple(buckets), tuple(sorted(unserved))


EMPTY = Catalog(0, (EMPTY_BUCKET,) * BUCKETS, (EMPTY_BUCKET,) * BUCKETS)
