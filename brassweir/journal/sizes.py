"""The limits on the sizes of a journal's parts. Pure.

By default only the disk limits the journal. On a platform that limits the size of the directory, all its
files together must never exceed that bound: limits_within divides it so that the segments and the snapshot
that is to replace them fit at the same time.
"""

from __future__ import annotations

from dataclasses import dataclass

SEGMENT_BYTES = 16 * 1024 * 1024
MIN_COMPACT_BYTES = 4 * 1024 * 1024
RESERVE_BYTES = 1 << 20
CHECK_INTERVAL_MS = 1000.0

# Shares of a bounded directory. The worst case is at the end of a compaction: the segments (``max_bytes`` and
# a fifth more for the endings of open messages) and their snapshot (at most half of that) take nine tenths.
SEGMENT_SHARE = 1 / 16
MIN_COMPACT_SHARE = 1 / 5
RESERVE_SHARE = 1 / 64
MAX_SHARE = 1 / 2
BOUNDED_CHECK_INTERVAL_MS = 100.0  # a small directory fills in seconds


@dataclass(frozen=True, slots=True)
class SizeLimits:
    """The limits of one journal; sizes in bytes.

    A segment is closed at ``segment_bytes``. A journal under ``min_compact_bytes`` is not compacted; whether
    it is time for it is checked every ``check_interval_ms``. ``reserve_bytes`` are set aside in a file, which
    is removed on a full disk so that open messages can still be ended. Over ``max_bytes`` no new message is
    accepted, and open ones are still ended; 0 means no limit but the disk.
    """

    segment_bytes: int = SEGMENT_BYTES
    min_compact_bytes: int = MIN_COMPACT_BYTES
    reserve_bytes: int = RESERVE_BYTES
    max_bytes: int = 0
    check_interval_ms: float = CHECK_INTERVAL_MS


def limits_within(total_bytes: int) -> SizeLimits:
    """Return limits for a directory bounded to ``total_bytes``. Raises ValueError if that is too little."""
    if total_bytes < 256 * 1024:
        raise ValueError(
            f"a directory of {total_bytes} bytes is too small for a journal; the minimum is 262144"
        )
    return SizeLimits(
        int(total_bytes * SEGMENT_SHARE),
        int(total_bytes * MIN_COMPACT_SHARE),
        int(total_bytes * RESERVE_SHARE),
        int(total_bytes * MAX_SHARE),
        BOUNDED_CHECK_INTERVAL_MS,
    )
