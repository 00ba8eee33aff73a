"""A large delta as pieces: each a delta of its own that can be put into a draft as it comes. Pure.

Entries go in the order of a catalog's buckets, so that each piece rewrites few of these.
"""

from __future__ import annotations

from collections.abc import Iterable

from brassweir.configstream import delta
from brassweir.configstream.buckets import bucket_index
from brassweir.configstream.delta import Delta
from brassweir.configstream.entries import Entry

FILL_FRACTION = (
    0.97  # of the bytes that a piece may have: aimed at, as its size is known only once it is packed
)
SHRINK_FACTOR = 0.9  # of the items, if they were too many

SortKey = tuple[int, str]  # the bucket of a name, and the name


def sort_key(name: str) -> SortKey:
    """What pieces are in the order of."""
    return bucket_index(name), name


def split_delta(whole: Delta, most: int) -> list[bytes]:
    """Packed deltas of at most ``most`` bytes each, or of one entry, which together are ``whole``."""
    items: list[tuple[SortKey, Entry | None]] = [(sort_key(entry.name), entry) for entry in whole.changed]
    items += [(sort_key(name), None) for name in whole.removed]
    items.sort(key=lambda item: item[0])
    bodies: list[bytes] = []
    at, count = 0, len(items)
    while at < len(items):
        body = _packed(items[at : at + count])
        while len(body) > most and count > 1:
            count = max(1, int(count * min(SHRINK_FACTOR, FILL_FRACTION * most / len(body))))
            body = _packed(items[at : at + count])
        bodies.append(body)
        at += count
        count = max(1, int(count * FILL_FRACTION * most / len(body)))
    return bodies


def _packed(items: Iterable[tuple[SortKey, Entry | None]]) -> bytes:
    items = list(items)
    changed = tuple(entry for _, entry in items if entry is not None)
    return delta.pack(Delta(changed, tuple(name for (_, name), entry in items if entry is None)))
