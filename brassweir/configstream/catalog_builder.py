"""Builds the buckets of the next catalog, in one step or in several. Pure.

Steps that name different entries may come in any order; the result is the same.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping

import msgspec

from brassweir.configstream.buckets import Bucket, bucket_index, pack_bucket, unpack_bucket
from brassweir.configstream.entries import GONE, Entry

Buckets = tuple[Bucket, ...]

_entries = msgspec.msgpack.Decoder(tuple[Entry, ...])
_owners = msgspec.msgpack.Decoder(tuple[tuple[str, int], ...])


class UnknownEntry(KeyError):
    """A change removes an entry that does not exist."""


def read_entries(bucket: Bucket) -> tuple[Entry, ...]:
    """Decode the entries of a bucket."""
    return _entries.decode(unpack_bucket(bucket))


def read_owners(bucket: Bucket) -> tuple[tuple[str, int], ...]:
    """Decode the owners of a bucket, each with the number of its usable endpoints."""
    return _owners.decode(unpack_bucket(bucket))


class CatalogBuilder:
    """The next catalog's buckets, and the sums of the changes so far."""

    def __init__(self, size: int, buckets: Buckets) -> None:
        self.size = size
        self.buckets = list(buckets)
        self.removed = 0  # endpoints that were usable, and now are missing or gone
        self.owner_count_changes: dict[str, int] = defaultdict(int)  # by owner, of usable endpoints

    def add(self, changed: Iterable[Entry], removed: Iterable[str]) -> None:
        """Apply changes, each name at most once over all calls. After UnknownEntry, discard the builder."""
        changes_by_bucket: dict[int, dict[str, Entry | None]] = defaultdict(dict)
        for name in removed:
            changes_by_bucket[bucket_index(name)][name] = None
        for entry in changed:
            changes_by_bucket[bucket_index(entry.name)][entry.name] = entry
        for index, changes in changes_by_bucket.items():
            self.buckets[index] = self._updated_bucket(self.buckets[index], changes)

    def _updated_bucket(self, bucket: Bucket, changes: Mapping[str, Entry | None]) -> Bucket:
        """Return a bucket with its entries changed (None removes). Raises UnknownEntry."""
        entries = {entry.name: entry for entry in read_entries(bucket)}
        self.size -= len(entries)
        for name, after in changes.items():
            before = entries.get(name)
            usable = after is not None and after.state != GONE
            if before is not None and before.state != GONE:
                self.owner_count_changes[before.owner] -= 1
                self.removed += not usable
            if after is not None:
                entries[name] = after
                if usable:
                    self.owner_count_changes[after.owner] += 1
            elif before is not None:
                del entries[name]
            else:
                raise UnknownEntry(name)
        self.size += len(entries)
        return pack_bucket([entries[name] for name in sorted(entries)])


def shift_owner_counts(owners: Buckets, count_changes: Mapping[str, int]) -> tuple[Buckets, tuple[str, ...]]:
    """Return the owners' buckets after these changes of counts, and the owners left with no endpoint."""
    changes_by_bucket: dict[int, dict[str, int]] = defaultdict(dict)
    for owner, change in count_changes.items():
        if change:
            changes_by_bucket[bucket_index(owner)][owner] = change
    buckets, unserved = list(owners), []
    for index, changes in changes_by_bucket.items():
        counts = dict(read_owners(buckets[index]))
        for owner, change in changes.items():
            counts[owner] = counts.get(owner, 0) + change
            if not counts[owner]:
                del counts[owner]
                unserved.append(owner)
        buckets[index] = pack_bucket(sorted(counts.items()))
    return tuple(buckets), tuple(sorted(unserved))
