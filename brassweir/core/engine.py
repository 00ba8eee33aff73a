"""Drives one ``control.Sender``: facts in, one ``handle`` call a turn, actions carried out.

The engine decides nothing on delivery and knows no protocol. What it adds to the module is bookkeeping: the
ledger makes each answer final once, the store is asked before each step that must not be forgotten, and an
outcome that comes after the answer is recorded and changes nothing.
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

LATE = 5.0  # ms: a time-out that comes later than this shows that the loop stood still
READ_FIRST = 2.0  # ms until it counts then: the sockets are read before that


class Engine:
    """One sender's bookkeeping around the decision module.

    ``carrier_for`` gives the carrier of an endpoint's kind; ``remember`` and ``most`` bound the memory of
    ended messages (see :class:`Ledger`); ``watch_list`` is called when the module asks for the list.
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
        self.facts: list[api.Event | MessageRecord] = []  # a record: a message that the module is to hold
        self.apart = frozenset(kind.name for kind in settings.kinds if kind.separate_routes)
        self.unstarted = UnstartedAttempts(self.apart)
        self.recalls: list[Callable[[], None]] = []  # by what the module hears in the next turn
        self.admission_callbacks: dict[int, Callable[[], None]] = {}  # see :meth:`when_admitted`
        self.turning = False
        self.stopping = False
        # Asked of each new message before anything is kept of it: a refusal, if it is not to be taken here.
        self.admission_check: Callable[[Submission], FinalAnswer | None] = lambda _: None
        self.on_turn: Callable[[float, list[api.Event], list[api.Action]], None] | None = None
        self._turn_soon()  # the first turn lets the module set its first timer

    # ---- facts in

    def submit(self, submission: Submission, waiter: Waiter) -> tuple[SubmitStatus, MessageRecord]:
        """Take one message; ``waiter`` gets its one final answer, never from inside this call.

        Raises ValueError if the class is unknown or the time left is no positive number.
        """
        if submission.class_name not in self.ledger.classes:
            raise ValueError(f"unknown class {submission.class_name!r}")
        if not 0.0 < submission.time_left < float("inf"):
            raise ValueError(f"time left {submission.time_left!r} is no positive number")
        how, record = self.ledger.accept(submission, self.clock.now(), waiter)
        self.observer.submitted(record, how)
        if how is SubmitStatus.ENDED:
            answer = record.answer
            assert answer is not None
            self.clock.call_soon(lambda: waiter(answer))
        elif how is SubmitStatus.NEW:
            if self.stopping:
                self._finish(record, FinalAnswer(Answer.REFUSED, "the sender is stopping"))
                return how, record
            refusal = self.admission_check(record.submission)
            if refusal is not None:
                self._finish(record, refusal)
                return how, record

            def kept() -> None:
                if record.answer is not None:
                    return  # withdrawn before it was written down: the module is not to hear of it
                record.persisted = True
                for keeper in record.persist_callbacks:
                    keeper()
                record.persist_callbacks.clear()
                self._fact(record)

            self.store.persist(
                Fact.TAKEN,
                record.id,
                record.submission,
                kept,
                lambda why: self._finish(
                    record, FinalAnswer(Answer.REFUSED, why, self.settings.max_retry_after)
                ),
            )
        return how, record

    def knows(self, owner: str, identity: str) -> bool:
        """Would a hand-in of this message join it or be told its answer, rather than be taken as new?"""
        record = self.ledger.by_identity.get((owner, identity))
        return record is not None and (
            record.answer is None or self.ledger.retry_window(record, self.clock.now()) <= 0.0
        )

    def restore_past_attempts(self, known: Iterable[api.PastAttempt]) -> None:
        """Tell what was known of endpoints before a restart; after the list, before any message."""
        for one in known:
            self._fact(one)

    def resume(self, record: MessageRecord) -> None:
        """Go on with a message from before a restart, under its old id, without writing it down again."""
        self.ledger.put(record)
        record.persisted = record.resumed = True
        self.observer.submitted(record, SubmitStatus.NEW)
        self._fact(record)

    def update_list(self, news: api.ListUpdate) -> None:
        """Pass on news of the endpoint list."""
        self.first_byte.update(news)
        self._tell(news, lambda: self.unstarted.cancelled_by_list(news.entries), cancel.NOT_READY)

    def _fact(self, event: api.Event | MessageRecord) -> None:
        self.facts.append(event)
        self._turn_soon()

    def _turn_soon(self) -> None:
        if not self.turning:
            self.turning = True
            self.clock.call_soon(self._turn)

    # ---- one turn

    def _turn(self) -> None:
        self.turning = False
        recalls, self.recalls = self.recalls, []
        before = thread_time()  # for the watcher only: nothing is decided by it
        now = self.clock.now()
        events = [one.new_message(now) if isinstance(one, MessageRecord) else one for one in self.facts]
        self.facts = []
        actions = self.sender.handle(now, events)
        self.observer.turn(len(events), len(actions), thread_time() - before)
        if self.on_turn is not None:
            self.on_turn(now, events, actions)
        if self.admission_callbacks:
            self._promise(events, actions)
        for action in actions:
            self._carry_out(action)
        for again in recalls:
            again()
        for event in events:
            if isinstance(event, api.ListUpdate):
                self._forget(event)

    def _forget(self, news: api.ListUpdate) -> None:
        """Let go of endpoints that the module now knows to be gone: it names them no more."""
        for info in news.entries:
            known = self.endpoints.get(info.name)
            if info.state is api.EntryState.GONE and known is not None and known.state is api.EntryState.GONE:
                del self.endpoints[info.name]

    def _promise(self, events: list[api.Event], actions: list[api.Action]) -> None:
        """Before anything goes out: tell who waits for it that a message is held."""
        ended = {one.id for one in actions if isinstance(one, api.Refuse | api.Fail)}
        for event in events:
            if isinstance(event, api.NewMessage):
                promise = self.admission_callbacks.pop(event.id, None)
                if promise is not None and event.id not in ended:
                    promise()

    def _carry_out(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.Refuse):
            self._answer(action.id, FinalAnswer(Answer.REFUSED, "not now", action.retry_after))
        elif isinstance(action, api.Fail):
            self._answer(action.id, FinalAnswer(Answer.FAILED, "not delivered in time"))
        elif isinstance(action, api.SetTimer):
            self.clock.call_at(action.at, lambda: self._fact(api.TimerDue()))
        elif isinstance(action, api.CloseIdle):
            info = self.endpoints.get(action.endpoint)
            if info is not None:
                self.carrier_for(info).close_idle(action.endpoint)
        else:
            self.watch_list()

    def _send(self, action: api.Send) -> None:
        record = self.ledger.by_id[action.id]
        info = self.endpoints[action.endpoint]
        until, repeat = self.ledger.repeat_deadline(record), record.first_run_at is not None
        number = self.ledger.add_attempt(action.id, action.endpoint, self.clock.now())
        attempt = Attempt(
            action.id,
            number,
            record.submission,
            info,
            action.abandon_at,
            repeat,
            StartGuard(
                lambda: self.first_byte.block(record, action.endpoint, self.clock.now(), until),
                lambda: self.observer.began(record, number),  # not of the attempt: that would be a cycle
            ),
        )
        started = self.clock.now()
        limit: Handle | None = None

        def done(outcome: Outcome) -> None:
            if limit is not None:
                limit.cancel()
            if attempt.start_guard.block is not None:
                outcome = Outcome(api.Result.NOT_STARTED, attempt.start_guard.block.value)
            self.unstarted.remove(attempt)
            self.unstarted.cancel(self.unstarted.cancelled_by_wait(attempt, outcome), cancel.MUST_WAIT)
            self._ended(attempt, started, outcome)

        def over() -> None:
            nonlocal limit
            now = self.clock.now()
            if now > attempt.abandon_at + LATE:
                # The loop stood still: an answer that came in time may lie in its socket. It is read first.
                limit = self.clock.call_at(now + READ_FIRST, end)
            else:
                end()

        def end() -> None:
            if attempt.start_guard.cancel():  # not a byte was written, so nothing can have run
                done(Outcome(api.Result.NO_CONNECTION, "no connection in time"))
            else:
                done(Outcome(api.Result.TIMEOUT, "no whole answer in time"))

        def go() -> None:
            nonlocal limit
            if attempt.start_guard.cancelled:
                return  # while its intent was kept
            self.observer.sent(attempt)
            # Kept here and not by the carrier: one that hangs must not hold an answer back.
            limit = self.clock.call_at(attempt.abandon_at, over)
            self.carrier_for(info).start(attempt, done)

        def unable(why: str) -> None:
            done(Outcome(api.Result.NO_CONNECTION, why))

        self.unstarted.add(attempt, done)
        self.store.persist(Fact.INTENT, action.id, attempt, go, unable)

    def _tell(self, event: api.Event, which: Callable[[], list[Attempt]], why: str) -> None:
        """Tell what may call attempts back: now, and after the turn that hears it and may not heed it yet."""

        def again() -> None:
            self.unstarted.cancel(which(), why)

        again()
        self.recalls.append(again)
        self._fact(event)

    def _ended(self, attempt: Attempt, started: float, outcome: Outcome) -> None:
        record = self.ledger.by_id.get(attempt.id)
        if record is not None and not self.ledger.record_outcome(attempt.id, attempt.number, outcome):
            self._afterwards(record, attempt, outcome)
            return
        latency = max(0.0, self.clock.now() - started)
        served = outcome.result is api.Result.OK
        if record is not None:
            self.observer.outcome(record, attempt.number, outcome, record.answer is not None)

        def tell() -> None:
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
            self._tell(ended, lambda: self.unstarted.cancelled_by_wait(attempt, outcome), cancel.MUST_WAIT)

        self.store.persist(Fact.OUTCOME, attempt.id, (attempt, outcome), tell, lambda _: tell())

    def _afterwards(self, record: MessageRecord, attempt: Attempt, outcome: Outcome) -> None:
        """An attempt that had its outcome has another one: after its time, or a second receipt.

        It is recorded. If it says that the message was delivered after all, and no answer was given yet, that
        is the answer: another attempt could only do the work twice.
        """
        if outcome.result is api.Result.TIMEOUT or attempt.start_guard.cancelled:
            return  # the two clocks of one time-out; or what a carrier makes of having been called back
        self.observer.late_outcome(record, attempt.number, outcome)
        if outcome.result is api.Result.OK and not outcome.rejected and record.answer is None:
            self._finish(record, FinalAnswer(Answer.DELIVERED, "the receipt came late"))
            self._fact(api.Withdrawn(record.id))

    # ---- answers out

    def _answer(self, ident: int, answer: FinalAnswer) -> None:
        record = self.ledger.by_id.get(ident)
        if record is not None:
            self._finish(record, answer)

    def _finish(self, record: MessageRecord, answer: FinalAnswer) -> None:
        waiters = self.ledger.finish(record.id, answer, self.clock.now())
        if waiters is None:
            return  # it had one: the first stays
        self.admission_callbacks.pop(record.id, None)
        self.ledger.drop_content(record)
        self.observer.final(record)

        def give() -> None:
            for waiter in waiters:
                self.clock.call_soon(lambda waiter=waiter: waiter(answer))  # type: ignore[misc]

        # An answer there is no room to keep is given all the same: it was promised in time.
        self.store.persist(Fact.FINAL, record.id, answer, give, lambda _: give())

    # ---- stopping

    def announce_exit(self, at: float) -> None:
        """Tell that this process ends at a time (engine clock), and another goes on from its journal."""
        self._fact(api.StopScheduled(at))

    def stop_accepting(self) -> None:
        """From now on new messages are refused; open ones go on."""
        self.stopping = True

    def when_persisted(self, record: MessageRecord, keeper: Callable[[], None]) -> None:
        """Call ``keeper`` once a message is written down, perhaps at once."""
        if record.persisted:
            keeper()
        else:
            record.persist_callbacks.append(keeper)

    def when_admitted(self, record: MessageRecord, promise: Callable[[], None]) -> None:
        """Call ``promise`` once a message just handed in is written down and the module holds it: before any
        attempt goes out, and never if its first turn ends it."""
        if record.answer is None:
            self.admission_callbacks[record.id] = promise

    def withdraw(self, record: MessageRecord) -> None:
        """Nobody waits for a message any more, and nobody was told that it is taken on."""
        if record.answer is None:
            self._fact(api.Withdrawn(record.id))
            self._finish(record, self.ledger.closing_answer(record))

    def close(self) -> int:
        """Answer everything still open with what can be promised, and return how many that were."""
        left: Iterable[MessageRecord] = self.ledger.open_messages()
        count = 0
        for record in left:
            self._fact(api.Withdrawn(record.id))
            self._finish(record, self.ledger.closing_answer(record))
            count += 1
        return count
