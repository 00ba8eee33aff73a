"""The limits on the sizes of a journal's parts. Pure.

By default only the disk limits the journal. On a platform that limits the size of the directory, all its
files together must never exceed that bound, each counted in whole blocks: limits_within divides it so that
the segments and the snapshot that is to replace them fit at the same time.
"""

from __future__ import annotations

from dataclasses import dataclass

from brassweir.journal import endpoint_history

BLOCK_BYTES = 512  # the unit in which a bounded directory counts its files
SEGMENT_BYTES = 16 * 1024 * 1024
MIN_COMPACT_BYTES = 4 * 1024 * 1024
RESERVE_BYTES = 1 << 20
CHECK_BYTES = 64 * 1024
RETRY_COMPACT_MS = 1000.0
# Room kept for each open message, for the attempts that a snapshot keeps of it and for its ending.
ENDING_BYTES = 128

# Shares of a bounded directory. What the reserve, the saved endpoint list and the small files leave is for
# the journal and its snapshot.
SEGMENT_SHARE = 1 / 16
MIN_COMPACT_SHARE = 1 / 5
RESERVE_SHARE = 1 / 64
LIST_SHARE = 1 / 16
SMALL_FILES_BYTES = 8 * BLOCK_BYTES  # clock, lock and their temporary files
OWED_SHARE = 7 / 8
ADMIT_SHARE = 13 / 16
HISTORY_SHARE = 1 / 16
MIN_GARBAGE_SHARE = 1 / 32
CHECK_SHARE = 1 / 256
BOUNDED_RETRY_COMPACT_MS = 100.0  # a small directory fills in seconds


@dataclass(frozen=True, slots=True)
class SizeLimits:
    """The limits of one journal; sizes in bytes.

    A segment is closed at ``segment_bytes``. Whether to compact is checked after each ``check_bytes``; a
    journal under ``min_compact_bytes`` is not compacted. A compaction that failed is tried again after
    ``retry_compact_ms``. ``reserve_bytes`` are set aside in a file, which is
    removed on a full disk so that open messages can still be ended. ``history_bytes`` limits what is kept of
    the endpoints.

    ``max_bytes`` bounds the journal and the snapshot that replaces it, together; 0 means no limit but the
    disk. No message is accepted that could bring both over ``admit_bytes``. What is written of those accepted
    before may, but over ``owed_bytes`` it waits for a compaction. Where room is wanted, the journal is
    compacted if that frees ``min_garbage_bytes``.
    """

    segment_bytes: int = SEGMENT_BYTES
    min_compact_bytes: int = MIN_COMPACT_BYTES
    check_bytes: int = CHECK_BYTES
    reserve_bytes: int = RESERVE_BYTES
    max_bytes: int = 0
    owed_bytes: int = 0
    admit_bytes: int = 0
    min_garbage_bytes: int = 0
    history_bytes: int = endpoint_history.MAX_BYTES
    retry_compact_ms: float = RETRY_COMPACT_MS


def limits_within(total_bytes: int) -> SizeLimits:
    """Return limits for a directory bounded to ``total_bytes``. Raises ValueError if that is too little."""
    if total_bytes < 256 * 1024:
        raise ValueError(
            f"a directory of {total_bytes} bytes is too small for a journal; the minimum is 262144"
        )
    return SizeLimits(
        segment_bytes=int(total_bytes * SEGMENT_SHARE),
        min_compact_bytes=int(total_bytes * MIN_COMPACT_SHARE),
        check_bytes=int(total_bytes * CHECK_SHARE),
        reserve_bytes=int(total_bytes * RESERVE_SHARE),
        max_bytes=int(total_bytes * (1.0 - RESERVE_SHARE - LIST_SHARE)) - SMALL_FILES_BYTES,
        owed_bytes=int(total_bytes * OWED_SHARE),
        admit_bytes=int(total_bytes * ADMIT_SHARE),
        min_garbage_bytes=int(total_bytes * MIN_GARBAGE_SHARE),
        history_bytes=int(total_bytes * HISTORY_SHARE),
        retry_compact_ms=BOUNDED_RETRY_COMPACT_MS,
    )
