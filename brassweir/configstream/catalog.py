"""The immutable, compressed set of all endpoints of one version. Pure.

Entries are kept in 1,024 compressed hash buckets by name, and the number of usable endpoints of each owner in
as many more. A change repacks only the buckets that it touches; versions share the others.
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
    """Bytes that do not decode to a catalog."""


class _Packed(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    size: int
    entries: Buckets
    owners: Buckets


class CatalogUpdate(msgspec.Struct, frozen=True):
    """The result of a change: the next catalog, and what the change takes away."""

    catalog: Catalog
    removed: int  # endpoints that were usable, and now are missing or gone
    unserved: tuple[str, ...]  # owners that lost their last usable endpoint


class OwnerCounts(Mapping[str, int]):
    """Maps each owner with a usable endpoint to their number, reading buckets on demand."""

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
    """The endpoints of one version; immutable. ``size`` is the number of entries."""

    __slots__ = ("_digest", "_entries", "_owners", "size")

    def __init__(self, size: int, entries: Buckets, owners: Buckets) -> None:
        self.size = size
        self._entries = entries
        self._owners = owners
        self._digest = ""

    @property
    def owner_counts(self) -> Mapping[str, int]:
        """Number of usable endpoints of each owner that has one."""
        return OwnerCounts(self._owners)

    @property
    def plain_bytes(self) -> int:
        """Bytes of all entries before compression."""
        return sum(bucket.length for bucket in self._entries)

    def get(self, name: str) -> Entry | None:
        """Return the entry of that name, or None."""
        return next(
            (entry for entry in read_entries(self._entries[bucket_index(name)]) if entry.name == name), None
        )

    def entries(self) -> Iterator[Entry]:
        """Yield all entries, in the same order for equal catalogs."""
        for bucket in self._entries:
            yield from read_entries(bucket)

    def differing_buckets(self, other: Catalog) -> Iterator[tuple[tuple[Entry, ...], tuple[Entry, ...]]]:
        """Yield the entries of each bucket that differs, here and in ``other``; skip equal buckets."""
        for bucket, other_bucket in zip(self._entries, other._entries, strict=True):
            if bucket.checksum != other_bucket.checksum:
                yield read_entries(bucket), read_entries(other_bucket)

    def digest(self) -> str:
        """Digest of the entries, independent of their compression."""
        if not self._digest:
            checksums = b"".join(bucket.checksum for bucket in self._entries)
            self._digest = hashlib.sha256(checksums).hexdigest()[:32]
        return self._digest

    def apply(self, changed: Iterable[Entry], removed: Iterable[str]) -> CatalogUpdate:
        """Return the next catalog; each name may occur once. Raises UnknownEntry."""
        builder = self.builder()
        builder.add(changed, removed)
        return self.build(builder)

    def builder(self) -> CatalogBuilder:
        """Return a builder for the next catalog, to which changes are added in steps."""
        return CatalogBuilder(self.size, self._entries)

    def build(self, builder: CatalogBuilder) -> CatalogUpdate:
        """Return the next catalog from a builder of this one."""
        owners, unserved = shift_owner_counts(self._owners, builder.owner_count_changes)
        return CatalogUpdate(Catalog(builder.size, tuple(builder.buckets), owners), builder.removed, unserved)

    def pack(self) -> bytes:
        """Encode the catalog."""
        return msgspec.msgpack.encode(_Packed(self.size, self._entries, self._owners))

    @staticmethod
    def unpack(data: bytes) -> Catalog:
        """Decode ``pack``'s bytes and verify all checksums. Raises CatalogError."""
        try:
            packed = msgspec.msgpack.decode(data, type=_Packed)
            if not len(packed.entries) == len(packed.owners) == BUCKET_COUNT:
                raise CatalogError("wrong number of buckets")
            size = sum(len(read_entries(bucket)) for bucket in packed.entries)
            for bucket in packed.owners:
                read_owners(bucket)
        except (msgspec.DecodeError, BucketError) as error:
            raise CatalogError(f"not a catalog: {error}") from None
        if size != packed.size:
            raise CatalogError("the number of entries differs from the stated size")
        return Catalog(size, packed.entries, packed.owners)


EMPTY = Catalog(0, (EMPTY_BUCKET,) * BUCKET_COUNT, (EMPTY_BUCKET,) * BUCKET_COUNT)

__all__ = ["EMPTY", "CatalogUpdate", "Catalog", "CatalogError", "OwnerCounts", "UnknownEntry"]
