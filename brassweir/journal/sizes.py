"""How large a journal's parts may grow. Pure.

A disk of its own needs no bound but its own end; a small folder shared with nothing else has one that must
never be passed, counted over all files. What is derived here keeps a whole history and the snapshot that is
to replace it within that bound together.
"""

from __future__ import annotations

from dataclasses import dataclass

SEGMENT_BYTES = 16 * 1024 * 1024  # bytes after which a segment is closed
MIN_COMPACT_BYTES = 4 * 1024 * 1024  # bytes under which rewriting is not worth it
RESERVE_BYTES = 1 << 20  # bytes set aside, so that open messages still end on a full disk
CHECK_INTERVAL_MS = 1000.0  # ms between two looks at whether it is time to rewrite

# Shares of a bounded folder. At the worst moment there are the history, at most ``most`` and the endings of
# what it holds open (a fifth more), and its snapshot, at most half of that: nine tenths of the folder.
OF_SEGMENT = 1 / 16
OF_LEAST = 1 / 5
OF_RESERVE = 1 / 64
OF_MOST = 1 / 2
LOOK_SMALL = 100.0  # ms: a small folder fills in seconds


@dataclass(frozen=True, slots=True)
class SizeLimits:
    """Bytes. Over ``most`` nothing new is taken on, and what is open still ends; 0: the disk decides."""

    segment_bytes: int = SEGMENT_BYTES
    min_compact_bytes: int = MIN_COMPACT_BYTES
    reserve_bytes: int = RESERVE_BYTES
    max_bytes: int = 0
    check_interval_ms: float = CHECK_INTERVAL_MS


def limits_within(folder: int) -> SizeLimits:
    """Sizes for a folder that may hold so many bytes. Raises ValueError where that is too little."""
    if folder < 256 * 1024:
        raise ValueError(f"a folder of {folder} bytes is too small for a journal; 262144 is the least")
    return SizeLimits(
        int(folder * OF_SEGMENT),
        int(folder * OF_LEAST),
        int(folder * OF_RESERVE),
        int(folder * OF_MOST),
        LOOK_SMALL,
    )
