"""The ledger: one message per identity, one final answer per message, and when a retry is allowed."""

from __future__ import annotations

import pytest

from brassweir import interface as api
from brassweir.core.ledger import Ledger, MessageRecord, SubmitStatus
from brassweir.core.ports import Answer, FinalAnswer, Outcome, Submission

CLASSES = {
    "pay": api.MessageClass("pay", 1000.0, 5000.0, api.Effect.UNSAFE),
    "key": api.MessageClass("key", 1000.0, 5000.0, api.Effect.KEYED, window=3000.0),
    "zone": api.MessageClass("zone", 1000.0, 5000.0, api.Effect.KEYED, group="zone", window=3000.0),
    "safe": api.MessageClass("safe", 1000.0, 5000.0, api.Effect.SAFE),
}
REFUSED = FinalAnswer(Answer.REFUSED, "not now", 1000.0)
DELIVERED = FinalAnswer(Answer.DELIVERED)


def submit(
    ledger: Ledger, now: float, cls: str = "pay", name: str = "m", owner: str = "o"
) -> tuple[SubmitStatus, MessageRecord]:
    return ledger.accept(Submission(owner, name, cls, 1, 5000.0, payload=b"x"), now, lambda _: None)


def make_ledger(retention_ms: float = 60_000.0, max_ended: int = 100) -> Ledger:
    return Ledger(CLASSES, retention_ms, max_ended)


def test_identity_is_unique_per_owner() -> None:
    ledger = make_ledger()
    assert submit(ledger, 0.0)[0] is SubmitStatus.NEW
    assert submit(ledger, 1.0)[0] is SubmitStatus.JOINED
    assert submit(ledger, 1.0, owner="other")[0] is SubmitStatus.NEW
    record = ledger.by_identity["o", "m"]
    waiters = ledger.finish(record.id, DELIVERED, 2.0)
    assert waiters is not None and len(waiters) == 2
    assert submit(ledger, 3.0) == (SubmitStatus.ENDED, record)


def test_first_final_answer_is_kept() -> None:
    ledger = make_ledger()
    record = submit(ledger, 0.0)[1]
    assert ledger.finish(record.id, DELIVERED, 1.0) is not None
    assert ledger.finish(record.id, REFUSED, 1.0) is None
    assert record.answer == DELIVERED


@pytest.mark.parametrize(
    ("cls", "may_have_run", "at", "window"),
    [
        ("pay", False, 1500.0, float("inf")),
        ("pay", False, 500.0, 0.0),  # its requested wait is not over
        ("pay", True, 1500.0, 0.0),  # it may have run, and a repeat is never safe
        ("safe", True, 1500.0, float("inf")),
        ("key", True, 1500.0, 1600.0),  # the rest of the window that began with the attempt at 100
        ("key", True, 3101.0, 0.0),
        ("zone", False, 1500.0, float("inf")),
        (
            "zone",
            True,
            1500.0,
            0.0,
        ),  # its key holds only in the first attempt's zone, which is not known any more
    ],
)
def test_retry_window_of_a_refused_message(cls: str, may_have_run: bool, at: float, window: float) -> None:
    ledger = make_ledger()
    record = submit(ledger, 0.0, cls)[1]
    if may_have_run:
        number = ledger.add_attempt(record.id, "e", 100.0)
        assert ledger.record_outcome(record.id, number, Outcome(api.Result.TIMEOUT))
    ledger.finish(record.id, REFUSED, 0.0)
    assert ledger.retry_window(record, at) == window
    status, repeated = submit(ledger, at, cls)
    assert status is (SubmitStatus.NEW if window else SubmitStatus.ENDED)
    if window:
        assert repeated.submission.time_left == min(5000.0, window) and repeated.submission.resent
        assert repeated.first_run_at == record.first_run_at  # the window still counts from the first attempt


def test_no_retry_while_an_attempt_is_in_flight_or_after_a_failure() -> None:
    ledger = make_ledger()
    record = submit(ledger, 0.0, "safe")[1]
    number = ledger.add_attempt(record.id, "e", 10.0)
    ledger.finish(record.id, REFUSED, 20.0)
    assert ledger.retry_window(record, 5000.0) == 0.0
    assert ledger.record_outcome(record.id, number, Outcome(api.Result.BUSY))
    assert not ledger.record_outcome(record.id, number, Outcome(api.Result.OK)), "a second outcome is ignored"
    assert ledger.retry_window(record, 5000.0) > 0.0
    other = submit(ledger, 0.0, name="n")[1]
    ledger.finish(other.id, FinalAnswer(Answer.FAILED), 1.0)
    assert ledger.retry_window(other, 1e9) == 0.0


def test_ended_messages_lose_their_content_at_once_and_are_forgotten_by_age_and_number() -> None:
    ledger = make_ledger(retention_ms=1000.0, max_ended=3)
    records = []
    for i in range(5):
        record = submit(ledger, float(i), name=f"m{i}")[1]
        ledger.finish(record.id, DELIVERED, float(i))
        ledger.drop_content(record)
        records.append(record)
    assert all(record.submission.payload is None for record in records)
    assert list(ledger.ended) == [record.id for record in records[2:]] and ledger.dropped_early == 2
    late = submit(ledger, 2000.0, name="late")[1]
    ledger.finish(late.id, DELIVERED, 2000.0)
    assert list(ledger.ended) == [late.id] and ledger.dropped_early == 2
    assert len(ledger.by_id) == len(ledger.by_identity) == 1


@pytest.mark.parametrize(
    ("cls", "result", "answer"),
    [
        ("pay", None, Answer.REFUSED),
        ("pay", api.Result.BUSY, Answer.REFUSED),
        ("pay", api.Result.RESET, Answer.FAILED),
        ("key", api.Result.RESET, Answer.FAILED),
        ("safe", api.Result.RESET, Answer.REFUSED),
    ],
)
def test_answer_of_a_message_that_is_open_when_the_sender_stops(
    cls: str, result: api.Result | None, answer: Answer
) -> None:
    ledger = make_ledger()
    record = submit(ledger, 0.0, cls)[1]
    if result is not None:
        number = ledger.add_attempt(record.id, "e", 1.0)
        if cls != "safe":
            assert ledger.closing_answer(record).answer is Answer.FAILED, "an attempt in flight may have run"
        ledger.record_outcome(record.id, number, Outcome(result))
    assert ledger.closing_answer(record).answer is answer
