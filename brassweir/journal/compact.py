"""When to rewrite the journal and what to keep. Pure.

A snapshot is a segment that holds all that still matters and ends with a record that says so. Until that end
is durable the older segments stand; after it they go. So at every moment the directory holds one whole
history.
"""

from __future__ import annotations

from collections.abc import Iterator

from brassweir.interface import Result
from brassweir.journal.life import Life, Lives
from brassweir.journal.records import Ended, Record, Told
from brassweir.journal.sizes import LEAST

GARBAGE = 2.0  # x what a snapshot would hold: the journal is rewritten when it is larger
ANSWER = 200  # bytes that an ended message takes in a snapshot, about


def due(size: int, live: int, least: int = LEAST) -> bool:
    """Is it time to rewrite a journal of ``size`` bytes of which about ``live`` matter?"""
    return size > least and size > GARBAGE * live


def matters(life: Life, now: float, remember: float) -> bool:
    """Is a message still asked for: open, owed a receipt, or within the memory of answers?"""
    if life.final is None or (life.taken is not None and life.taken.reply and not life.told):
        return True
    return now - life.final.at <= remember


def kept(lives: Lives, now: float, remember: float) -> Iterator[Record]:
    """The records of a whole snapshot."""
    for life in list(lives.by_id.values()):
        if matters(life, now, remember):
            yield from kept_of(life)
    yield from trails(lives)


def kept_of(life: Life) -> Iterator[Record]:
    """What a snapshot holds of one message. Ended ones keep name, answer and first attempt, not their
    content."""
    if life.taken is not None:
        yield life.taken
    if life.final is None:
        yield from life.intents.values()
        yield from life.ended.values()
    else:
        yield life.final
        if life.told:
            yield Told(life.id)


def trails(lives: Lives) -> Iterator[Record]:
    """Endings of messages that are forgotten still say how an endpoint fared: its last pass, and what came
    since."""
    for endpoint, at in lives.passed.items():
        yield Ended(0, 0, endpoint, Result.OK.value, at)
    for trail in lives.trails.values():
        for one in trail:
            yield Ended(0, 0, one.endpoint, one.result, one.at, one.wait)
