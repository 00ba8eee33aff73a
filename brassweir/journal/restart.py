"""Carries a recovery plan out on a fresh engine. What it decides was decided in recover.py."""

from __future__ import annotations

from collections.abc import Callable, Hashable

from brassweir.core.engine import Engine
from brassweir.core.ledger import MessageRecord, Waiter
from brassweir.core.ports import Answer, Fact, FinalAnswer, Payload, Submission
from brassweir.journal.records import Taken
from brassweir.journal.recover import Plan, relevant_past
from brassweir.journal.store import JournalStore

ReceiptWaiterFactory = Callable[[int, Submission], Waiter | None]


def _submission(taken: Taken, destination: int, left: float) -> Submission:
    payload = Payload(taken.content_type, taken.content, taken.subject) if taken.content_type else None
    return Submission(
        taken.owner,
        taken.identity,
        taken.class_name,
        destination,
        left,
        taken.key,
        True,
        payload,
        taken.reply,
    )


def apply_plan(
    plan: Plan,
    engine: Engine,
    store: JournalStore,
    number_of: Callable[[str], int | None],
    owing: ReceiptWaiterFactory,
) -> None:
    """Tell the engine the past, put back what ended, and go on with the rest, in the order taken.

    ``owing`` makes the waiter that brings a message's receipt, or None where none is owed. The engine has
    been given its list. Answers made now are written down before anybody is told them. Times count from when
    the plan was made: a start that takes long must not push a deadline or the end of a window out.
    """

    def place(name: str) -> Hashable:
        info = engine.endpoints.get(name)
        return name if info is None or info.kind in engine.apart else info.destination

    now = engine.clock.now() - max(0.0, store.wall() - plan.at)
    engine.restore_past_attempts(relevant_past(plan, place))
    engine.ledger.last_id = max(engine.ledger.last_id, plan.last_id)
    for one in sorted(plan.answered, key=lambda one: -one.ago):
        taken, final = one.taken, one.final
        submission = _submission(taken, number_of(taken.destination) or 0, 1.0)
        record = MessageRecord(taken.id, submission, now - one.ago, now - one.ago)
        record.first_run_at = None if one.ran_ago is None else now - one.ran_ago
        record.answer = FinalAnswer(Answer(final.answer), final.reason, final.retry_after)
        record.answered_at = now - one.ago
        engine.ledger.restore(record)
        waiter = owing(taken.id, submission) if one.receipt_pending else None
        _give(engine, store, record, waiter, one.unpersisted)
    for again in plan.resumed:
        number = number_of(again.taken.destination)
        assert number is not None  # the plan was made knowing which destinations are gone
        submission = _submission(again.taken, number, again.left)
        record = MessageRecord(again.taken.id, submission, now, now + again.left)
        record.first_run_at = None if again.ran_ago is None else now - again.ran_ago
        waiter = owing(again.taken.id, submission) if again.taken.reply else None
        if waiter is not None:
            record.waiters.append(waiter)
        store.resumed(record.id, submission.class_name, again.number)
        engine.resume(record)


def _give(
    engine: Engine, store: JournalStore, record: MessageRecord, waiter: Waiter | None, fresh: bool
) -> None:
    answer = record.answer
    assert answer is not None

    def tell() -> None:
        if waiter is not None:
            engine.clock.call_soon(lambda: waiter(answer))

    if fresh:
        store.persist(Fact.FINAL, record.id, answer, tell, lambda _: tell())
    else:
        tell()
