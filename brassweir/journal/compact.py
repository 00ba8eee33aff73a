"""Decides when to compact the journal, which messages fit into it, and what a snapshot keeps. Pure.

A snapshot is a segment that holds all live records and ends with a Whole record. The older segments are
removed only once that end is durable, so the directory holds a complete journal at every moment.
"""

from __future__ import annotations

from collections.abc import Iterator

from brassweir.journal.message import MessageState
from brassweir.journal.records import Record
from brassweir.journal.sizes import MIN_COMPACT_BYTES, SizeLimits
from brassweir.journal.state import JournalState

MAX_SIZE_RATIO = 2.0  # journal size / snapshot size, above which the journal is compacted


def should_compact(size: int, live_bytes: int, min_bytes: int = MIN_COMPACT_BYTES) -> bool:
    """Return whether to compact a journal of ``size`` bytes, of which a snapshot keeps ``live_bytes``."""
    return size > min_bytes and size > MAX_SIZE_RATIO * live_bytes


def should_make_room(size: int, live_bytes: int, room_wanted: bool, limits: SizeLimits) -> bool:
    """Return whether to compact a bounded journal because messages are, or soon will be, refused.

    ``room_wanted``: one was refused since the last compaction.
    """
    if not limits.max_bytes or size - live_bytes < limits.min_garbage_bytes:
        return False
    return room_wanted or size + live_bytes > limits.admit_bytes


def snapshot_fits(size: int, live_bytes: int, limits: SizeLimits) -> bool:
    """Return whether a snapshot can be written beside a journal of ``size`` bytes."""
    return not limits.max_bytes or size + live_bytes <= limits.max_bytes


def is_live(message: MessageState, now: float, retention_ms: float) -> bool:
    """Return whether a snapshot must keep a message: it is open, its receipt is pending, or its answer is not
    older than ``retention_ms``. One whose Taken record is lost was never accepted."""
    if message.taken is None:
        return False
    return message.final is None or message.receipt_pending or now - message.final.at <= retention_ms


def live_records(state: JournalState, now: float, retention_ms: float) -> Iterator[Record]:
    """Yield the records of a complete snapshot. Times in wall ms."""
    for message in list(state.by_id.values()):
        if is_live(message, now, retention_ms):
            yield from message.kept_records()
    for endpoint in state.history.endpoints():
        yield from state.history.records(endpoint)
    yield from state.recoveries.records()
