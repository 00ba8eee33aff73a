"""Maps final answers to replies to the source. The protocol has only one, the ack.

An acked chunk was delivered, or is stored here for the operator; the source may discard it. A closed
connection means that the chunk was not delivered and may safely be sent again: the source retries, and we
do not read from it until the requested wait is over. docs/design-forward.md gives the reasons.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from brassweir.core.ports import Answer, FinalAnswer

UNROUTED_PAUSE_MS = 5000.0  # pause between retries of a chunk that has no route


class ReplyAction(Enum):
    """How to reply to the source."""

    ACK = auto()
    STORE = auto()  # save it in the undelivered store, then ack
    CLOSE = auto()


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply to the source. ``pause_ms``: after a CLOSE, how long the source is not read from."""

    action: ReplyAction
    reason: str = ""
    pause_ms: float = 0.0


def final(answer: FinalAnswer, ack_requested: bool) -> Reply:
    """Return the reply for a final answer. ``ack_requested``: without an ack the source resends.

    A failed chunk is stored, never requested again: it may have taken effect at a destination that no longer
    drops its repeats, or the destination has rejected it for good.
    """
    if answer.answer is Answer.DELIVERED:
        return Reply(ReplyAction.ACK)
    if answer.answer is Answer.FAILED or not ack_requested:
        return Reply(ReplyAction.STORE, answer.reason)
    return Reply(ReplyAction.CLOSE, answer.reason, answer.retry_after)


def unreadable(reason: str) -> Reply:
    """Return the reply for a chunk whose entries cannot be decoded: stored, since a resend would fail too."""
    return Reply(ReplyAction.STORE, reason)


def unrouted(reason: str, ack_requested: bool) -> Reply:
    """Return the reply for a chunk without a rule or known destination; a later retry may find one."""
    return (
        Reply(ReplyAction.CLOSE, reason, UNROUTED_PAUSE_MS)
        if ack_requested
        else Reply(ReplyAction.STORE, reason)
    )
