"""The life of each message in log lines: handed in, each attempt's first byte and ending, its answer.

With the lines of the endpoint list these say, for any request, on what knowledge it left and why it ended.
Each event is bounded (see :mod:`brassweir.observe.json_log`): a flood costs no more than its bound.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from brassweir.core.ledger import MessageRecord, SubmitStatus
from brassweir.core.ports import Outcome
from brassweir.service.node_stats import Counting

HANDED_IN, BEGAN, ENDED, ANSWERED = "handed_in", "attempt_began", "attempt_ended", "answered"
FREQUENT = frozenset({HANDED_IN, BEGAN, ENDED, ANSWERED})  # events with the larger bound


class Tracing(Counting):
    """Counts what passes, and writes a line for each step. ``knowledge`` tells what the list rests on now."""

    def __init__(self, log: Any, knowledge: Callable[[], dict[str, object]]) -> None:
        super().__init__()
        self.log, self.knowledge = log, knowledge

    def submitted(self, record: MessageRecord, how: SubmitStatus) -> None:
        """A message was handed in, or goes on from before a restart."""
        given = record.submission
        self.log.info(
            HANDED_IN,
            message=record.id,
            id=given.identity,
            how="recovered" if record.resumed else how.name.lower(),
            cls=given.class_name,
            destination=given.destination,
            left_ms=round(given.time_left),
        )

    def began(self, record: MessageRecord, number: int) -> None:
        """The first byte of an attempt at a message leaves now."""
        self.log.info(
            BEGAN,
            message=record.id,
            id=record.submission.identity,
            attempt=number,
            endpoint=record.attempts[number].endpoint,
            **self.knowledge(),
        )

    def outcome(self, record: MessageRecord, number: int, outcome: Outcome, late: bool) -> None:
        """An attempt ended."""
        super().outcome(record, number, outcome, late)
        self.log.info(
            ENDED,
            message=record.id,
            id=record.submission.identity,
            attempt=number,
            endpoint=record.attempts[number].endpoint,
            result=outcome.result.value,
            reason=outcome.reason,
            wait_ms=round(outcome.wait),
        )

    def final(self, record: MessageRecord) -> None:
        """A message has its answer."""
        super().final(record)
        answer = record.answer
        assert answer is not None
        self.log.info(
            ANSWERED,
            message=record.id,
            id=record.submission.identity,
            answer=answer.answer.value,
            reason=answer.reason,
            retry_after_ms=round(answer.retry_after),
            attempts=len(record.attempts),
            age_ms=round(record.answered_at - record.accepted_at),
        )
