"""Applies a recovery plan, which recover.py has made, to a new engine."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator

from brassweir.core.engine import Engine
from brassweir.core.ledger import MessageRecord, Waiter
from brassweir.core.ports import Answer, Fact, FinalAnswer, Payload, Submission
from brassweir.interface import RecoveryChange
from brassweir.journal.records import Taken
from brassweir.journal.recover import Plan, relevant_past
from brassweir.journal.store import JournalStore

ReceiptWaiterFactory = Callable[[int, Submission], Waiter | None]


def _submission(taken: Taken, destination: int, left: float) -> Submission:
    """Rebuild the submission of an accepted message, with ``left`` ms until its deadline."""
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


def _recovery_changes(plan: Plan, number_of: Callable[[str], int | None]) -> Iterator[RecoveryChange]:
    for recovery in plan.recoveries:
        number = number_of(recovery.destination)
        if number is not None:
            yield RecoveryChange(number, recovery.endpoint, recovery.recovery, recovery.ago)


def apply_plan(
    plan: Plan,
    engine: Engine,
    store: JournalStore,
    number_of: Callable[[str], int | None],
    make_waiter: ReceiptWaiterFactory,
) -> None:
    """Give the engine the endpoints' outcomes and the ended messages, then go on with open messages in order.

    From then on the engine's conclusions on outages go to the store.

    The engine must have its endpoint list. ``make_waiter`` returns the waiter that delivers a message's
    receipt, or None if it has none. Answers that the plan made are written to the journal before they are
    given. Times count from when the plan was made, so that a slow start extends no deadline and no window.
    """

    def place(name: str) -> Hashable:
        """Return what shares a circuit breaker: the endpoint itself, or its whole destination."""
        info = engine.endpoints.get(name)
        return name if info is None or info.kind in engine.apart else info.destination

    now = engine.clock.now() - max(0.0, store.wall() - plan.at)
    engine.restore_past(relevant_past(plan, place))
    engine.restore_past(_recovery_changes(plan, number_of))
    engine.on_recovery_changed = store.recovery_changed
    engine.ledger.last_id = max(engine.ledger.last_id, plan.last_id)
    for answered in sorted(plan.answered, key=lambda answered: -answered.ago):
        taken, final = answered.taken, answered.final
        submission = _submission(taken, number_of(taken.destination) or 0, 1.0)
        record = MessageRecord(taken.id, submission, now - answered.ago, now - answered.ago)
        record.first_run_at = None if answered.ran_ago is None else now - answered.ran_ago
        record.answer = FinalAnswer(Answer(final.answer), final.reason, final.retry_after)
        record.answered_at = now - answered.ago
        engine.ledger.restore(record)
        waiter = make_waiter(taken.id, submission) if answered.receipt_pending else None
        _give_answer(engine, store, record, waiter, answered.unpersisted)
    for resumed in plan.resumed:
        number = number_of(resumed.taken.destination)
        assert number is not None  # the plan has ended the messages of unknown destinations
        submission = _submission(resumed.taken, number, resumed.left)
        record = MessageRecord(resumed.taken.id, submission, now, now + resumed.left)
        record.first_run_at = None if resumed.ran_ago is None else now - resumed.ran_ago
        waiter = make_waiter(resumed.taken.id, submission) if resumed.taken.reply else None
        if waiter is not None:
            record.waiters.append(waiter)
        store.resumed(record.id, submission.class_name, resumed.number)
        engine.resume(record)


def _give_answer(
    engine: Engine, store: JournalStore, record: MessageRecord, waiter: Waiter | None, unpersisted: bool
) -> None:
    answer = record.answer
    assert answer is not None

    def notify() -> None:
        if waiter is not None:
            engine.clock.call_soon(lambda: waiter(answer))

    if unpersisted:
        store.persist(Fact.FINAL, record.id, answer, notify, lambda _: notify())
    else:
        notify()
