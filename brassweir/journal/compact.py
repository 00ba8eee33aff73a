"""Decides when to compact the journal and which records a snapshot keeps. Pure.

A snapshot is a segment that holds all live records and ends with a Whole record. The older segments are
removed only once that end is durable, so the directory holds a complete journal at every moment.
"""

from __future__ import annotations

from collections.abc import Iterator

from brassweir.interface import Result
from brassweir.journal.records import Ended, Record, Told
from brassweir.journal.sizes import MIN_COMPACT_BYTES
from brassweir.journal.state import JournalState, MessageState

MAX_SIZE_RATIO = 2.0  # journal size / snapshot size, above which the journal is compacted
ENDED_BYTES = 200  # estimated size of an ended message in a snapshot


def should_compact(size: int, live_bytes: int, min_bytes: int = MIN_COMPACT_BYTES) -> bool:
    """Return whether to compact a journal of ``size`` bytes of which about ``live_bytes`` are live."""
    return size > min_bytes and size > MAX_SIZE_RATIO * live_bytes


def is_live(message: MessageState, now: float, retention_ms: float) -> bool:
    """Return whether a snapshot must keep a message: it is open, its receipt is pending, or its answer is not
    older than ``retention_ms``."""
    if message.final is None or (
        message.taken is not None and message.taken.reply and not message.receipt_delivered
    ):
        return True
    return now - message.final.at <= retention_ms


def live_records(state: JournalState, now: float, retention_ms: float) -> Iterator[Record]:
    """Yield the records of a complete snapshot. Times in wall ms."""
    for message in list(state.by_id.values()):
        if is_live(message, now, retention_ms):
            yield from message_records(message)
    yield from endpoint_records(state)


def message_records(message: MessageState) -> Iterator[Record]:
    """Yield what a snapshot keeps of one message. An ended one keeps its identity, its answer and the time of
    its first attempt, not its content."""
    if message.taken is not None:
        yield message.taken
    if message.final is None:
        yield from message.intents.values()
        yield from message.ended.values()
    else:
        yield message.final
        if message.receipt_delivered:
            yield Told(message.id)


def endpoint_records(state: JournalState) -> Iterator[Record]:
    """Yield each endpoint's last success and its outcomes since then, with message id 0.

    The engine needs them after a restart even if the messages are no longer kept.
    """
    for endpoint, at in state.last_success_at.items():
        yield Ended(0, 0, endpoint, Result.OK.value, at)
    for outcomes in state.recent_outcomes.values():
        for outcome in outcomes:
            yield Ended(0, 0, outcome.endpoint, outcome.result, outcome.at, outcome.wait)
