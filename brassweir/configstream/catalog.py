"""All endpoints of one version, immutable and small: a change repacks only the buckets that it touches. Pure.

Entries stand in 1,024 compressed buckets by their names; beside them, by the same means, stands how many
usable endpoints each owner has. Neighbouring versions share all buckets that did not change between them.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from brassweir.configstream.buckets import BUCKET_COUNT, EMPTY_BUCKET, BucketError, bucket_index
from brassweir.configstream.catalog_builder import (
    Buckets,
    CatalogBuilder,
    UnknownEntry,
    read_entries,
    read_owners,
    shift_owner_counts,
)
from brassweir.configstream.entries import Entry


class CatalogError(ValueError):
    """Bytes that are no catalog."""


class _Packed(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    size: int
    entries: Buckets
    owners: Buckets


class CatalogUpdate(msgspec.Struct, frozen=True):
    """What a change makes of a catalog: the next one, and what is lost by it."""

    catalog: Catalog
    removed: int  # endpoints that were usable, and are not there or gone now
    unserved: tuple[str, ...]  # owners that had a usable endpoint, and have none now


class OwnerCounts(Mapping[str, int]):
    """The number of usable endpoints of each owner that has one."""

    def __init__(self, owners: Buckets) -> None:
        self._buckets = owners

    def __getitem__(self, owner: str) -> int:
        for name, count in read_owners(self._buckets[bucket_index(owner)]):
            if name == owner:
                return count
        raise KeyError(owner)

    def __iter__(self) -> Iterator[str]:
        for bucket in self._buckets:
            for name, _ in read_owners(bucket):
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
    def owner_counts(self) -> Mapping[str, int]:
        """How many usable endpoints each owner has."""
        return OwnerCounts(self._owners)

    @property
    def plain_bytes(self) -> int:
        """Bytes of all entries before compression."""
        return sum(bucket.length for bucket in self._entries)

    def get(self, name: str) -> Entry | None:
        """The entry of that name."""
        return next(
            (entry for entry in read_entries(self._entries[bucket_index(name)]) if entry.name == name), None
        )

    def entries(self) -> Iterator[Entry]:
        """All entries, in the same order for equal catalogs."""
        for bucket in self._entries:
            yield from read_entries(bucket)

    def differing_buckets(self, other: Catalog) -> Iterator[tuple[tuple[Entry, ...], tuple[Entry, ...]]]:
        """The buckets that are not alike, entries here and there: all differences, at the cost of these."""
        for mine, others in zip(self._entries, other._entries, strict=True):
            if mine.checksum != others.checksum:
                yield read_entries(mine), read_entries(others)

    def digest(self) -> str:
        """What two copies compare: equal if, and only if, the entries are."""
        if not self._digest:
            whole = b"".join(bucket.checksum for bucket in self._entries)
            self._digest = hashlib.sha256(whole).hexdigest()[:32]
        return self._digest

    def apply(self, changed: Iterable[Entry], removed: Iterable[str]) -> CatalogUpdate:
        """The next catalog. Each name may stand once. Raises UnknownEntry."""
        draft = self.builder()
        draft.add(changed, removed)
        return self.build(draft)

    def builder(self) -> CatalogBuilder:
        """A next catalog that is made in steps."""
        return CatalogBuilder(self.size, self._entries)

    def build(self, draft: CatalogBuilder) -> CatalogUpdate:
        """The next catalog of a draft of this one."""
        owners, unserved = shift_owner_counts(self._owners, draft.owner_count_changes)
        return CatalogUpdate(Catalog(draft.size, tuple(draft.buckets), owners), draft.removed, unserved)

    def pack(self) -> bytes:
        """All of it."""
        return msgspec.msgpack.encode(_Packed(self.size, self._entries, self._owners))

    @staticmethod
    def unpack(data: bytes) -> Catalog:
        """Read what ``pack`` made, checksums and all. Raises CatalogError."""
        try:
            packed = msgspec.msgpack.decode(data, type=_Packed)
            if not len(packed.entries) == len(packed.owners) == BUCKET_COUNT:
                raise CatalogError("not the number of buckets of a catalog")
            size = sum(len(read_entries(bucket)) for bucket in packed.entries)
            for bucket in packed.owners:
                read_owners(bucket)
        except (msgspec.DecodeError, BucketError) as error:
            raise CatalogError(f"no catalog: {error}") from None
        if size != packed.size:
            raise CatalogError("a catalog of another size than it says")
        return Catalog(size, packed.entries, packed.owners)


EMPTY = Catalog(0, (EMPTY_BUCKET,) * BUCKET_COUNT, (EMPTY_BUCKET,) * BUCKET_COUNT)

__all__ = ["EMPTY", "CatalogUpdate", "Catalog", "CatalogError", "OwnerCounts", "UnknownEntry"]
