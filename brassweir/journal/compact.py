"""When to rewrite the journal and what to keep. Pure.

A snapshot is a segment that holds all that still matters and ends with a record that says so. Until that end
is durable the older segments stand; after it they go. So at every moment the directory holds one whole
history.
"""

from __future__ import annotations

from collections.abc import Iterator

from brassweir.interface import Result
from brassweir.journal.records import Ended, Record, Told
from brassweir.journal.sizes import MIN_COMPACT_BYTES
from brassweir.journal.state import JournalState, MessageState

GARBAGE = 2.0  # x what a snapshot would hold: the journal is rewritten when it is larger
ANSWER = 200  # bytes that an ended message takes in a snapshot, about


def should_compact(size: int, live: int, least: int = MIN_COMPACT_BYTES) -> bool:
    """Is it time to rewrite a journal of ``size`` bytes of which about ``live`` matter?"""
    return size > least and size > GARBAGE * live


def is_live(life: MessageState, now: float, remember: float) -> bool:
    """Is a message still asked for: open, owed a receipt, or within the memory of answers?"""
    if life.final is None or (life.taken is not None and life.taken.reply and not life.receipt_delivered):
        return True
    return now - life.final.at <= remember


def live_records(lives: JournalState, now: float, remember: float) -> Iterator[Record]:
    """The records of a whole snapshot."""
    for life in list(lives.by_id.values()):
        if is_live(life, now, remember):
            yield from message_records(life)
    yield from endpoint_records(lives)


def message_records(life: MessageState) -> Iterator[Record]:
    """What a snapshot holds of one message. Ended ones keep name, answer and first attempt, not their
    content."""
    if life.taken is not None:
        yield life.taken
    if life.final is None:
        yield from life.intents.values()
        yield from life.ended.values()
    else:
        yield life.final
        if life.receipt_delivered:
            yield Told(life.id)


def endpoint_records(lives: JournalState) -> Iterator[Record]:
    """Endings of messages that are forgotten still say how an endpoint fared: its last pass, and what came
    since."""
    for endpoint, at in lives.passed.items():
        yield Ended(0, 0, endpoint, Result.OK.value, at)
    for trail in lives.recent_outcomes.values():
        for one in trail:
            yield Ended(0, 0, one.endpoint, one.result, one.at, one.wait)
