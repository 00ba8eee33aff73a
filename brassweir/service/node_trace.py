"""Logs the life of each message: its submission, each attempt's first byte and outcome, and its final answer.

Together with the log lines of the endpoint list they show which list an attempt was based on. The JSON log
limits how many lines of each event it writes, so that a flood of messages cannot flood the log.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from brassweir.core.ledger import MessageRecord, SubmitStatus
from brassweir.core.ports import Outcome
from brassweir.service.node_stats import CountingObserver

SUBMITTED, BEGAN, ENDED, ANSWERED = "handed_in", "attempt_began", "attempt_ended", "answered"
FREQUENT_EVENTS = frozenset(
    {SUBMITTED, BEGAN, ENDED, ANSWERED}
)  # events with the higher limit in the JSON log


class TracingObserver(CountingObserver):
    """Counts, and logs a line for each step of a message.

    ``describe_list`` returns the list's state as log fields.
    """

    def __init__(self, log: Any, describe_list: Callable[[], dict[str, object]]) -> None:
        super().__init__()
        self.log, self.describe_list = log, describe_list

    def submitted(self, record: MessageRecord, how: SubmitStatus) -> None:
        """Log a message that was submitted or recovered from the journal."""
        submission = record.submission
        self.log.info(
            SUBMITTED,
            message=record.id,
            id=submission.identity,
            how="recovered" if record.resumed else how.name.lower(),
            cls=submission.class_name,
            destination=submission.destination,
            left_ms=round(submission.time_left),
        )

    def began(self, record: MessageRecord, number: int) -> None:
        """Log the first byte of an attempt."""
        self.log.info(
            BEGAN,
            message=record.id,
            id=record.submission.identity,
            attempt=number,
            endpoint=record.attempts[number].endpoint,
            **self.describe_list(),
        )

    def outcome(self, record: MessageRecord, number: int, outcome: Outcome, late: bool) -> None:
        """Log the outcome of an attempt."""
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
            **_exchange_fields(outcome),
        )

    def final(self, record: MessageRecord) -> None:
        """Log the final answer of a message."""
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


def _exchange_fields(outcome: Outcome) -> dict[str, object]:
    """Return the connection of an answered attempt as log fields."""
    exchange = outcome.exchange
    if exchange is None:
        return {}
    return {
        "connection": exchange.connection,
        "earlier_calls": exchange.earlier_calls,
        "answer_ms": round(exchange.answer_ms, 1),
    }
