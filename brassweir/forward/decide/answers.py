"""What a source is told of each of the three final answers, in a protocol that only has a word for one.

Acked: delivered, or kept here for the operator; the source may forget the chunk. Closed: not delivered, and a
later try is harmless; the source sends it again, which is all that shippers know to do, and finds us not
reading until the told wait is over. Why so is in docs/design-forward.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from brassweir.core.ports import Answer, FinalAnswer

# A chunk that our own settings have no place for comes again until they have: not more often than this.
MISPLACED = 5000.0  # ms


class Tell(Enum):
    """What to do towards the source."""

    ACK = auto()
    KEEP = auto()  # write it to the undelivered store, and ack once it is there
    CLOSE = auto()


@dataclass(frozen=True, slots=True)
class Told:
    """``pause`` (ms) is how long its source is not read from after a CLOSE."""

    tell: Tell
    reason: str = ""
    pause: float = 0.0


def final(answer: FinalAnswer, asked: bool) -> Told:
    """What a final answer becomes; ``asked`` says that the source wants an ack, and so will send it again.

    A failed chunk is never asked for again: its effect may have taken place beyond the time in which a repeat
    is dropped, or its destination has said no for good.
    """
    if answer.answer is Answer.DELIVERED:
        return Told(Tell.ACK)
    if answer.answer is Answer.FAILED or not asked:
        return Told(Tell.KEEP, answer.reason)
    return Told(Tell.CLOSE, answer.reason, answer.retry_after)


def unreadable(reason: str) -> Told:
    """A chunk whose entries cannot be read: sent again it would be no better."""
    return Told(Tell.KEEP, reason)


def misplaced(reason: str, asked: bool) -> Told:
    """A chunk that no rule or listed destination takes: the settings or the list may yet."""
    return Told(Tell.CLOSE, reason, MISPLACED) if asked else Told(Tell.KEEP, reason)
