"""Writes the engine's events to the log and the metrics; every log line of a message carries its id."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from brassweir.core.ledger import MessageRecord, SubmitStatus
from brassweir.core.observer import EngineObserver
from brassweir.core.ports import Attempt, Clock, Outcome
from brassweir.observe.metrics import Metrics


class Observer(EngineObserver):
    """Logs and counts the events of one sender's engine."""

    def __init__(self, log: Any, metrics: Metrics, clock: Clock, endpoint_kind: Callable[[str], str]) -> None:
        self.log, self.metrics, self.clock, self.endpoint_kind = log, metrics, clock, endpoint_kind

    def submitted(self, record: MessageRecord, how: SubmitStatus) -> None:
        """A message was submitted."""
        submission = record.submission
        self.metrics.submissions.labels(submission.class_name, how.name.lower()).inc()
        if how is SubmitStatus.NEW:
            self.metrics.open.inc()
        self.log.info(
            "taken",
            message=record.id,
            how=how.name.lower(),
            owner=submission.owner,
            identity=submission.identity.partition("\n")[2] or submission.identity,
            class_name=submission.class_name,
            destination=submission.destination,
            left_ms=round(submission.time_left),
        )

    def sent(self, attempt: Attempt) -> None:
        """An attempt starts."""
        self.metrics.in_flight.inc()
        self.log.info(
            "sent",
            message=attempt.id,
            attempt=attempt.number,
            endpoint=attempt.endpoint.name,
            for_ms=round(attempt.abandon_at - self.clock.now()),
        )

    def outcome(self, record: MessageRecord, number: int, outcome: Outcome, late: bool) -> None:
        """An attempt ended."""
        self.metrics.in_flight.dec()
        endpoint = record.attempts[number].endpoint
        self.metrics.attempts.labels(self.endpoint_kind(endpoint), outcome.result.value).inc()
        self.log.info(
            "ended",
            message=record.id,
            attempt=number,
            endpoint=endpoint,
            result=outcome.result.value,
            reason=outcome.reason,
            wait_ms=round(outcome.wait),
            rejected=outcome.rejected,
            late=late,
        )

    def late_outcome(self, record: MessageRecord, number: int, outcome: Outcome) -> None:
        """An outcome arrived for an attempt that already had one."""
        self.metrics.late_outcomes.inc()
        self.log.warning(
            "late_outcome",
            message=record.id,
            attempt=number,
            result=outcome.result.value,
            reason=outcome.reason,
            answered=record.answer is not None,
        )

    def final(self, record: MessageRecord) -> None:
        """A message got its final answer."""
        answer = record.answer
        assert answer is not None
        age = record.answered_at - record.accepted_at
        labels = (record.submission.class_name, answer.answer.value)
        self.metrics.open.dec()
        self.metrics.answers.labels(*labels).inc()
        self.metrics.answer_age.labels(*labels).observe(age / 1000.0)
        self.log.info(
            "final",
            message=record.id,
            answer=answer.answer.value,
            reason=answer.reason,
            retry_after_ms=round(answer.retry_after),
            age_ms=round(age),
            attempts=len(record.attempts),
        )

    def turn(self, events: int, actions: int, spent: float) -> None:
        """The decision module was called once, for ``spent`` seconds of CPU."""
        self.metrics.decision_cpu.inc(spent)
        self.metrics.turns.inc()
        self.metrics.events.inc(events)

    def note(self, event: str, details: dict[str, object]) -> None:
        """Any other event: logged as a warning and counted by name."""
        self.metrics.notes.labels(event).inc()
        self.log.warning(event, **details)
