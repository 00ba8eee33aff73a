"""The ledger: one message a name, one final answer a message, and what may be tried again."""

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
DONE = FinalAnswer(Answer.DELIVERED)


def hand_in(
    ledger: Ledger, now: float, cls: str = "pay", name: str = "m", owner: str = "o"
) -> tuple[SubmitStatus, MessageRecord]:
    return ledger.accept(Submission(owner, name, cls, 1, 5000.0, payload=b"x"), now, lambda _: None)


def ledger(retention_ms: float = 60_000.0, max_ended: int = 100) -> Ledger:
    return Ledger(CLASSES, retention_ms, max_ended)


def test_the_same_name_is_the_same_message_of_one_owner_only() -> None:
    book = ledger()
    assert hand_in(book, 0.0)[0] is SubmitStatus.NEW
    assert hand_in(book, 1.0)[0] is SubmitStatus.JOINED
    assert hand_in(book, 1.0, owner="other")[0] is SubmitStatus.NEW
    record = book.by_identity["o", "m"]
    waiters = book.finish(record.id, DONE, 2.0)
    assert waiters is not None and len(waiters) == 2
    assert hand_in(book, 3.0) == (SubmitStatus.ENDED, record)


def test_the_first_answer_stays() -> None:
    book = ledger()
    record = hand_in(book, 0.0)[1]
    assert book.finish(record.id, DONE, 1.0) is not None
    assert book.finish(record.id, REFUSED, 1.0) is None
    assert record.answer == DONE


@pytest.mark.parametrize(
    ("cls", "ran", "at", "allowed"),
    [
        ("pay", False, 1500.0, float("inf")),
        ("pay", False, 500.0, 0.0),  # its told wait is not over
        ("pay", True, 1500.0, 0.0),  # it may have run: never again
        ("safe", True, 1500.0, float("inf")),
        ("key", True, 1500.0, 1600.0),  # what is left of the window since the attempt at 100
        ("key", True, 3101.0, 0.0),
        ("zone", False, 1500.0, float("inf")),
        (
            "zone",
            True,
            1500.0,
            0.0,
        ),  # its key holds where the first attempt went, and nobody knows that any more
    ],
)
def test_what_a_refused_message_may_still_do(cls: str, ran: bool, at: float, allowed: float) -> None:
    book = ledger()
    record = hand_in(book, 0.0, cls)[1]
    if ran:
        number = book.add_attempt(record.id, "e", 100.0)
        assert book.record_outcome(record.id, number, Outcome(api.Result.TIMEOUT))
    book.finish(record.id, REFUSED, 0.0)
    assert book.retry_window(record, at) == allowed
    how, again = hand_in(book, at, cls)
    assert how is (SubmitStatus.NEW if allowed else SubmitStatus.ENDED)
    if allowed:
        assert again.submission.time_left == min(5000.0, allowed) and again.submission.resent
        assert again.first_run_at == record.first_run_at  # the window goes on counting from the first attempt


def test_nothing_reopens_while_an_attempt_is_out_or_after_another_answer() -> None:
    book = ledger()
    record = hand_in(book, 0.0, "safe")[1]
    number = book.add_attempt(record.id, "e", 10.0)
    book.finish(record.id, REFUSED, 20.0)
    assert book.retry_window(record, 5000.0) == 0.0
    assert book.record_outcome(record.id, number, Outcome(api.Result.BUSY))
    assert not book.record_outcome(record.id, number, Outcome(api.Result.OK)), (
        "a second outcome counts for nothing"
    )
    assert book.retry_window(record, 5000.0) > 0.0
    other = hand_in(book, 0.0, name="n")[1]
    book.finish(other.id, FinalAnswer(Answer.FAILED), 1.0)
    assert book.retry_window(other, 1e9) == 0.0


def test_ended_messages_are_forgotten_by_age_and_number_and_their_content_at_once() -> None:
    book = ledger(retention_ms=1000.0, max_ended=3)
    records = []
    for i in range(5):
        record = hand_in(book, float(i), name=f"m{i}")[1]
        book.finish(record.id, DONE, float(i))
        book.drop_content(record)
        records.append(record)
    assert all(record.submission.payload is None for record in records)
    assert list(book.ended) == [record.id for record in records[2:]] and book.dropped_early == 2
    fresh = hand_in(book, 2000.0, name="late")[1]
    book.finish(fresh.id, DONE, 2000.0)
    assert list(book.ended) == [fresh.id] and book.dropped_early == 2
    assert len(book.by_id) == len(book.by_identity) == 1


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
def test_what_is_promised_of_a_message_that_the_end_cuts_off(
    cls: str, result: api.Result | None, answer: Answer
) -> None:
    book = ledger()
    record = hand_in(book, 0.0, cls)[1]
    if result is not None:
        number = book.add_attempt(record.id, "e", 1.0)
        if cls != "safe":
            assert book.closing_answer(record).answer is Answer.FAILED, "one is out: it may run"
        book.record_outcome(record.id, number, Outcome(result))
    assert book.closing_answer(record).answer is answer
