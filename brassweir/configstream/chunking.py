"""Splits a large delta into chunks, each a packed delta that can be applied by itself. Pure.

Entries are sorted by the catalog's buckets, so that each chunk rewrites few buckets.
"""

from __future__ import annotations

from collections.abc import Iterable

from brassweir.configstream import delta
from brassweir.configstream.buckets import bucket_index
from brassweir.configstream.delta import Delta
from brassweir.configstream.entries import Entry

FILL_FRACTION = 0.97  # of a chunk's bytes, as a target; the size is known only after packing
SHRINK_FACTOR = 0.9  # of the item count, at least, after a chunk that was too large

SortKey = tuple[int, str]  # bucket index, name


def sort_key(name: str) -> SortKey:
    """Key by which the entries of a delta are sorted."""
    return bucket_index(name), name


def split_delta(change: Delta, max_bytes: int) -> list[bytes]:
    """Split a delta into packed deltas of at most ``max_bytes`` each; one entry is never split."""
    items: list[tuple[SortKey, Entry | None]] = [(sort_key(entry.name), entry) for entry in change.changed]
    items += [(sort_key(name), None) for name in change.removed]
    items.sort(key=lambda item: item[0])
    chunks: list[bytes] = []
    start, count = 0, len(items)
    while start < len(items):
        body = _packed(items[start : start + count])
        while len(body) > max_bytes and count > 1:
            count = max(1, int(count * min(SHRINK_FACTOR, FILL_FRACTION * max_bytes / len(body))))
            body = _packed(items[start : start + count])
        chunks.append(body)
        start += count
        count = max(1, int(count * FILL_FRACTION * max_bytes / len(body)))
    return chunks


def _packed(items: Iterable[tuple[SortKey, Entry | None]]) -> bytes:
    items = list(items)
    changed = tuple(entry for _, entry in items if entry is not None)
    return delta.pack(Delta(changed, tuple(name for (_, name), entry in items if entry is None)))
