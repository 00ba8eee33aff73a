"""Carries a recovery plan out on a fresh engine. What it decides was decided in recover.py."""

from __future__ import annotations

from collections.abc import Callable, Hashable

from brassweir.core.engine import Engine
from brassweir.core.ledger import Record, Waiter
from brassweir.core.ports import Answer, Fact, FinalAnswer, Payload, Submission
from brassweir.journal.records import Taken
from brassweir.journal.recover import Plan, standing
from brassweir.journal.store import JournalStore

Owing = Callable[[int, Submission], Waiter | None]


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


def carry_out(
    plan: Plan, engine: Engine, store: JournalStore, number_of: Callable[[str], int | None], owing: Owing
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
    engine.past(standing(plan, place))
    engine.ledger.last_id = max(engine.ledger.last_id, plan.last_id)
    for one in sorted(plan.answered, key=lambda one: -one.ago):
        taken, final = one.taken, one.final
        submission = _submission(taken, number_of(taken.destination) or 0, 1.0)
        record = Record(taken.id, submission, now - one.ago, now - one.ago)
        record.ran = None if one.ran_ago is None else now - one.ran_ago
        record.answer = FinalAnswer(Answer(final.answer), final.reason, final.retry_after)
        record.answered = now - one.ago
        engine.ledger.restore(record)
        waiter = owing(taken.id, submission) if one.owed else None
        _give(engine, store, record, waiter, one.fresh)
    for again in plan.again:
        number = number_of(again.taken.destination)
        assert number is not None  # the plan was made knowing which destinations are gone
        submission = _submission(again.taken, number, again.left)
        record = Record(again.taken.id, submission, now, now + again.left)
        record.ran = None if again.ran_ago is None else now - again.ran_ago
        waiter = owing(again.taken.id, submission) if again.taken.reply else None
        if waiter is not None:
            record.waiters.append(waiter)
        store.resumed(record.id, submission.class_name, again.number)
        engine.resume(record)


def _give(engine: Engine, store: JournalStore, record: Record, waiter: Waiter | None, fresh: bool) -> None:
    answer = record.answer
    assert answer is not None

    def tell() -> None:
        if waiter is not None:
            engine.clock.call_soon(lambda: waiter(answer))

    if fresh:
        store.keep(Fact.FINAL, record.id, answer, tell, lambda _: tell())
    else:
        tell()
