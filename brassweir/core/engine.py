"""Drives the decision module: events in, one ``control.Sender.handle`` call a turn, actions executed.

The engine makes no delivery decision and depends on no protocol. It does the bookkeeping: the ledger gives
each message one final answer, the store persists a fact before any step that relies on it, and an outcome
that comes after the final answer is recorded without changing it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from time import thread_time

from brassweir import interface as api
from brassweir.control import Sender
from brassweir.core import cancel
from brassweir.core.first_byte import FirstByteCheck
from brassweir.core.ledger import Ledger, MessageRecord, SubmitStatus, Waiter
from brassweir.core.observer import EngineObserver
from brassweir.core.ports import (
    Answer,
    Attempt,
    Carrier,
    Clock,
    Fact,
    FinalAnswer,
    Handle,
    MemoryStore,
    Outcome,
    StartGuard,
    Store,
    Submission,
)
from brassweir.core.unstarted import UnstartedAttempts

STALL_MS = 5.0  # a time-out that fires later than this means that the event loop was blocked
READ_GRACE_MS = 2.0  # delay of such a time-out, so that the loop first reads answers that wait in sockets


class Engine:
    """Connects one sender's decision module with its ledger, store and carriers.

    ``carrier_for`` returns an endpoint's carrier; ``retention_ms`` and ``max_ended`` bound the memory of
    ended messages (see :class:`Ledger`); ``watch_list`` is called when the module asks for the endpoint list.
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        clock: Clock,
        carrier_for: Callable[[api.EndpointInfo], Carrier],
        *,
        store: Store | None = None,
        observer: EngineObserver | None = None,
        retention_ms: float = 3_600_000.0,
        max_ended: int = 200_000,
        watch_list: Callable[[], None] = lambda: None,
    ) -> None:
        self.clock, self.carrier_for, self.watch_list = clock, carrier_for, watch_list
        self.store: Store = store or MemoryStore()
        self.observer: EngineObserver = observer or EngineObserver()
        self.settings = settings
        self.sender = Sender(settings, seed, clock.now())
        self.ledger = Ledger({cls.name: cls for cls in settings.classes}, retention_ms, max_ended)
        self.first_byte = FirstByteCheck()
        self.endpoints = self.first_byte.endpoints
        self.inbox: list[api.Event | MessageRecord] = []  # a record: a new message
        self.apart = frozenset(kind.name for kind in settings.kinds if kind.separate_routes)
        self.unstarted = UnstartedAttempts(self.apart)
        self.rechecks: list[Callable[[], None]] = []  # run after the next turn, see :meth:`_notify`
        self.admission_callbacks: dict[int, Callable[[], None]] = {}  # see :meth:`when_admitted`
        self.turn_scheduled = False
        self.stopping = False
        # Called for each new message before it is persisted; a returned answer refuses the message.
        self.admission_check: Callable[[Submission], FinalAnswer | None] = lambda _: None
        self.on_recovery_changed: Callable[[api.RecoveryChange], None] = lambda _: None
        self.on_turn: Callable[[float, list[api.Event], list[api.Action]], None] | None = None
        self._schedule_turn()  # so that the module sets its first timer

    # ---- events in

    def submit(self, submission: Submission, waiter: Waiter) -> tuple[SubmitStatus, MessageRecord]:
        """Accept a message; ``waiter`` receives its final answer, but never before this method has returned.

        Raises ValueError if the class is unknown or the time left is not a positive number.
        """
        if submission.class_name not in self.ledger.classes:
            raise ValueError(f"unknown class {submission.class_name!r}")
        if not 0.0 < submission.time_left < float("inf"):
            raise ValueError(f"time left {submission.time_left!r} is not a positive number")
        status, record = self.ledger.accept(submission, self.clock.now(), waiter)
        self.observer.submitted(record, status)
        if status is SubmitStatus.ENDED:
            answer = record.answer
            assert answer is not None
            self.clock.call_soon(lambda: waiter(answer))
        elif status is SubmitStatus.NEW:
            if self.stopping:
                self._finish(record, FinalAnswer(Answer.REFUSED, "the sender is stopping"))
                return status, record
            refusal = self.admission_check(record.submission)
            if refusal is not None:
                self._finish(record, refusal)
                return status, record

            def on_durable() -> None:
                if record.answer is not None:
                    return  # withdrawn before it was persisted: the module never receives it
                record.persisted = True
                for callback in record.persist_callbacks:
                    callback()
                record.persist_callbacks.clear()
                self._add_event(record)

            self.store.persist(
                Fact.TAKEN,
                record.id,
                record.submission,
                on_durable,
                lambda reason: self._finish(
                    record, FinalAnswer(Answer.REFUSED, reason, self.settings.max_retry_after)
                ),
            )
        return status, record

    def knows(self, owner: str, identity: str) -> bool:
        """Whether a submission of this message would join the open one or return its answer."""
        record = self.ledger.by_identity.get((owner, identity))
        return record is not None and (
            record.answer is None or self.ledger.retry_window(record, self.clock.now()) <= 0.0
        )

    def restore_past(self, known: Iterable[api.PastAttempt | api.RecoveryChange]) -> None:
        """Pass on what is known from before a restart; call it after the endpoint list, before messages."""
        for past in known:
            self._add_event(past)

    def resume(self, record: MessageRecord) -> None:
        """Continue a message from before a restart under its old id, without persisting it again."""
        self.ledger.put(record)
        record.persisted = record.resumed = True
        self.observer.submitted(record, SubmitStatus.NEW)
        self._add_event(record)

    def update_list(self, update: api.ListUpdate) -> None:
        """Pass on an update of the endpoint list, and cancel unstarted attempts that it rules out."""
        self.first_byte.update(update)
        self._notify(update, lambda: self.unstarted.cancelled_by_list(update.entries), cancel.NOT_READY)

    def _add_event(self, event: api.Event | MessageRecord) -> None:
        self.inbox.append(event)
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.clock.call_soon(self._turn)

    # ---- one turn

    def _turn(self) -> None:
        self.turn_scheduled = False
        rechecks, self.rechecks = self.rechecks, []
        cpu_before = thread_time()  # only reported to the observer, never an input to decisions
        now = self.clock.now()
        events = [item.new_message(now) if isinstance(item, MessageRecord) else item for item in self.inbox]
        self.inbox = []
        actions = self.sender.handle(now, events)
        for change in self.sender.recovery_changes:
            self.on_recovery_changed(change)
        self.observer.turn(len(events), len(actions), thread_time() - cpu_before)
        if self.on_turn is not None:
            self.on_turn(now, events, actions)
        if self.admission_callbacks:
            self._call_admitted(events, actions)
        for action in actions:
            self._execute(action)
        for recheck in rechecks:
            recheck()
        self._forget_gone(event for event in events if isinstance(event, api.ListUpdate))

    def _forget_gone(self, updates: Iterable[api.ListUpdate]) -> None:
        """Drop removed endpoints; the module has processed their removal and no longer refers to them."""
        for info in (info for update in updates for info in update.entries):
            known = self.endpoints.get(info.name)
            if info.state is api.EntryState.GONE and known is not None and known.state is api.EntryState.GONE:
                del self.endpoints[info.name]

    def _call_admitted(self, events: list[api.Event], actions: list[api.Action]) -> None:
        """Call the admission callbacks of the new messages of a turn, except those that the turn ended."""
        ended = {action.id for action in actions if isinstance(action, api.Refuse | api.Fail)}
        for event in events:
            if isinstance(event, api.NewMessage):
                callback = self.admission_callbacks.pop(event.id, None)
                if callback is not None and event.id not in ended:
                    callback()

    def _execute(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.Refuse):
            self._answer(action.id, FinalAnswer(Answer.REFUSED, "not now", action.retry_after))
        elif isinstance(action, api.Fail):
            self._answer(action.id, FinalAnswer(Answer.FAILED, "not delivered in time"))
        elif isinstance(action, api.SetTimer):
            self.clock.call_at(action.at, lambda: self._add_event(api.TimerDue()))
        elif isinstance(action, api.CloseIdle):
            info = self.endpoints.get(action.endpoint)
            if info is not None:
                self.carrier_for(info).close_idle(action.endpoint)
        else:
            self.watch_list()

    def _send(self, action: api.Send) -> None:
        record = self.ledger.by_id[action.id]
        info = self.endpoints[action.endpoint]
        repeat_until, is_repeat = self.ledger.repeat_deadline(record), record.first_run_at is not None
        number = self.ledger.add_attempt(action.id, action.endpoint, self.clock.now())
        attempt = Attempt(
            action.id,
            number,
            record.submission,
            info,
            action.abandon_at,
            is_repeat,
            StartGuard(
                lambda: self.first_byte.block(record, action.endpoint, self.clock.now(), repeat_until),
                lambda: self.observer.began(record, number),  # the number: the attempt would be a cycle
            ),
        )
        started = self.clock.now()
        timer: Handle | None = None

        def done(outcome: Outcome) -> None:
            if timer is not None:
                timer.cancel()
            if attempt.start_guard.block is not None:
                outcome = Outcome(api.Result.NOT_STARTED, attempt.start_guard.block.value)
            self.unstarted.remove(attempt)
            self.unstarted.cancel(self.unstarted.cancelled_by_wait(attempt, outcome), cancel.MUST_WAIT)
            self._on_outcome(attempt, started, outcome)

        def timer_fired() -> None:
            nonlocal timer
            now = self.clock.now()
            if now > attempt.abandon_at + STALL_MS:
                # The loop was blocked: an answer that came in time may still be unread in its socket.
                timer = self.clock.call_at(now + READ_GRACE_MS, end_timed_out)
            else:
                end_timed_out()

        def end_timed_out() -> None:
            if attempt.start_guard.cancel():  # no byte was written, so it cannot have taken effect
                done(Outcome(api.Result.NO_CONNECTION, "no connection in time"))
            else:
                done(Outcome(api.Result.TIMEOUT, "no whole answer in time"))

        def start_attempt() -> None:
            nonlocal timer
            if attempt.start_guard.cancelled:
                return  # cancelled while its intent was persisted
            self.observer.sent(attempt)
            # The engine sets this timer itself: a carrier that hangs must not delay the final answer.
            timer = self.clock.call_at(attempt.abandon_at, timer_fired)
            self.carrier_for(info).start(attempt, done)

        def on_rejected(reason: str) -> None:
            done(Outcome(api.Result.NO_CONNECTION, reason))

        self.unstarted.add(attempt, done)
        self.store.persist(Fact.INTENT, action.id, attempt, start_attempt, on_rejected)

    def _notify(self, event: api.Event, affected: Callable[[], list[Attempt]], reason: str) -> None:
        """Pass on an event; cancel unstarted attempts that it affects now, and again after the next turn."""

        def recheck() -> None:
            self.unstarted.cancel(affected(), reason)

        recheck()
        self.rechecks.append(recheck)
        self._add_event(event)

    def _on_outcome(self, attempt: Attempt, started: float, outcome: Outcome) -> None:
        record = self.ledger.by_id.get(attempt.id)
        if record is not None and not self.ledger.record_outcome(attempt.id, attempt.number, outcome):
            self._on_late_outcome(record, attempt, outcome)
            return
        latency = max(0.0, self.clock.now() - started)
        served = outcome.result is api.Result.OK
        if record is not None:
            self.observer.outcome(record, attempt.number, outcome, record.answer is not None)

        def on_durable() -> None:
            closed = True
            if record is not None:
                if (served or outcome.rejected) and record.answer is None:
                    answer = Answer.FAILED if outcome.rejected else Answer.DELIVERED
                    self._finish(record, FinalAnswer(answer, outcome.reason))
                self.ledger.drop_content(record)
                closed = record.answer is not None
            ended = api.AttemptEnded(
                attempt.id,
                attempt.number,
                attempt.endpoint.name,
                outcome.result,
                latency,
                closed,
                outcome.wait,
                outcome.limit_left,
                outcome.limit,
            )
            self._notify(ended, lambda: self.unstarted.cancelled_by_wait(attempt, outcome), cancel.MUST_WAIT)

        self.store.persist(Fact.OUTCOME, attempt.id, (attempt, outcome), on_durable, lambda _: on_durable())

    def _on_late_outcome(self, record: MessageRecord, attempt: Attempt, outcome: Outcome) -> None:
        """Record another outcome of an attempt that already has one: a late answer, or a second receipt.

        If it proves delivery and the message is still open, the message ends as delivered: another attempt
        could only deliver it twice.
        """
        if outcome.result is api.Result.TIMEOUT or attempt.start_guard.cancelled:
            return  # the carrier's own time-out of this attempt, or its reaction to the cancellation
        self.observer.late_outcome(record, attempt.number, outcome)
        if outcome.result is api.Result.OK and not outcome.rejected and record.answer is None:
            self._finish(record, FinalAnswer(Answer.DELIVERED, "the receipt came late"))
            self._add_event(api.Withdrawn(record.id))

    # ---- answers out

    def _answer(self, ident: int, answer: FinalAnswer) -> None:
        record = self.ledger.by_id.get(ident)
        if record is not None:
            self._finish(record, answer)

    def _finish(self, record: MessageRecord, answer: FinalAnswer) -> None:
        waiters = self.ledger.finish(record.id, answer, self.clock.now())
        if waiters is None:
            return  # the message already has its final answer
        self.admission_callbacks.pop(record.id, None)
        self.ledger.drop_content(record)
        self.observer.final(record)

        def call_waiters() -> None:
            for waiter in waiters:
                self.clock.call_soon(lambda waiter=waiter: waiter(answer))  # type: ignore[misc]

        # Given even if the store has no capacity for it: clients were promised an answer in time.
        self.store.persist(Fact.FINAL, record.id, answer, call_waiters, lambda _: call_waiters())

    # ---- stopping

    def announce_exit(self, at: float) -> None:
        """Announce that this process exits at ``at`` (engine clock); its journal is resumed later."""
        self._add_event(api.StopScheduled(at))

    def stop_accepting(self) -> None:
        """Refuse new messages from now on; open ones continue."""
        self.stopping = True

    def when_persisted(self, record: MessageRecord, callback: Callable[[], None]) -> None:
        """Call ``callback`` once the message is persisted, perhaps before this method returns."""
        if record.persisted:
            callback()
        else:
            record.persist_callbacks.append(callback)

    def when_admitted(self, record: MessageRecord, callback: Callable[[], None]) -> None:
        """Call ``callback`` once the message is persisted and the module admits it, before any attempt."""
        if record.answer is None:
            self.admission_callbacks[record.id] = callback

    def withdraw(self, record: MessageRecord) -> None:
        """End a message without waiters, whose acceptance was not reported to its client."""
        if record.answer is None:
            self._add_event(api.Withdrawn(record.id))
            self._finish(record, self.ledger.closing_answer(record))

    def close(self) -> int:
        """Give each open message the strongest final answer that holds, and return how many there were."""
        still_open: Iterable[MessageRecord] = self.ledger.open_messages()
        count = 0
        for record in still_open:
            self._add_event(api.Withdrawn(record.id))
            self._finish(record, self.ledger.closing_answer(record))
            count += 1
        return count
