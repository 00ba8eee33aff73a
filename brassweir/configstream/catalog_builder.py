"""The next catalog in the making: entries are put into its buckets, in one step or in several. Pure.

Steps that name different entries may come in any order: the outcome is the same.
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
    """An entry is to be removed that is not there."""


def read_entries(bucket: Bucket) -> tuple[Entry, ...]:
    """The entries of a bucket."""
    return _entries.decode(unpack_bucket(bucket))


def read_owners(bucket: Bucket) -> tuple[tuple[str, int], ...]:
    """The owners of a bucket, each with the number of its usable endpoints."""
    return _owners.decode(unpack_bucket(bucket))


class CatalogBuilder:
    """The buckets as they will be, and what the changes so far add up to."""

    def __init__(self, size: int, buckets: Buckets) -> None:
        self.size = size
        self.buckets = list(buckets)
        self.removed = 0  # endpoints that were usable, and are not there or gone
        self.owner_count_changes: dict[str, int] = defaultdict(int)  # of usable endpoints, by owner

    def add(self, changed: Iterable[Entry], removed: Iterable[str]) -> None:
        """Put these in. Each name may stand once in all steps. Raises UnknownEntry: then it is of no use."""
        wanted: dict[int, dict[str, Entry | None]] = defaultdict(dict)
        for name in removed:
            wanted[bucket_index(name)][name] = None
        for entry in changed:
            wanted[bucket_index(entry.name)][entry.name] = entry
        for at, changes in wanted.items():
            self.buckets[at] = self._updated_bucket(self.buckets[at], changes)

    def _updated_bucket(self, bucket: Bucket, changes: Mapping[str, Entry | None]) -> Bucket:
        """A bucket after the changes to its entries. Raises UnknownEntry."""
        rows = {entry.name: entry for entry in read_entries(bucket)}
        self.size -= len(rows)
        for name, after in changes.items():
            before = rows.get(name)
            remains = after is not None and after.state != GONE
            if before is not None and before.state != GONE:
                self.owner_count_changes[before.owner] -= 1
                self.removed += not remains
            if after is not None:
                rows[name] = after
                if remains:
                    self.owner_count_changes[after.owner] += 1
            elif before is not None:
                del rows[name]
            else:
                raise UnknownEntry(name)
        self.size += len(rows)
        return pack_bucket([rows[name] for name in sorted(rows)])


def shift_owner_counts(owners: Buckets, shifts: Mapping[str, int]) -> tuple[Buckets, tuple[str, ...]]:
    """The counts after these shifts, and the owners that are left with none."""
    touched: dict[int, dict[str, int]] = defaultdict(dict)
    for owner, shift in shifts.items():
        if shift:
            touched[bucket_index(owner)][owner] = shift
    buckets, unserved = list(owners), []
    for at, moves in touched.items():
        counts = dict(read_owners(buckets[at]))
        for owner, shift in moves.items():
            counts[owner] = counts.get(owner, 0) + shift
            if not counts[owner]:
                del counts[owner]
                unserved.append(owner)
        buckets[at] = pack_bucket(sorted(counts.items()))
    return tuple(buckets), tuple(sorted(unserved))
