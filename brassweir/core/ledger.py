"""The ledger of messages: each submission, its attempts, and its one final answer.

Pure: no clock, no I/O. Only the ledger makes an answer final. In whatever order outcomes, time-outs and
repeated submissions arrive, a message has one final answer, which each repeated submission receives.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto

from brassweir.core.ports import Answer, FinalAnswer, Outcome, Submission
from brassweir.interface import Effect, MessageClass, NewMessage

Waiter = Callable[[FinalAnswer], None]


@dataclass(slots=True)
class AttemptRecord:
    """One attempt; ``sent_at`` is in ms, and ``outcome`` is None while the attempt is in flight."""

    endpoint: str
    sent_at: float
    outcome: Outcome | None = None


@dataclass(slots=True)
class MessageRecord:
    """One message and its state; times are engine clock, in ms.

    ``first_run_at`` is when the first attempt that may have taken effect was sent. ``resumed`` means that the
    message was accepted before a restart.
    """

    id: int
    submission: Submission
    accepted_at: float
    deadline: float
    attempts: list[AttemptRecord] = field(default_factory=list)
    waiters: list[Waiter] = field(default_factory=list)
    answer: FinalAnswer | None = None
    answered_at: float = 0.0
    first_run_at: float | None = None
    persisted: bool = False  # from then on its client may rely on it
    persist_callbacks: list[Callable[[], None]] = field(default_factory=list)  # called once it is persisted
    resumed: bool = False

    @property
    def in_flight(self) -> bool:
        """Whether an attempt has no outcome yet."""
        return any(attempt.outcome is None for attempt in self.attempts)

    def new_message(self, now: float) -> NewMessage:
        """Return the decision module's event for this message.

        Its time left is what remains until the deadline now, after the message was persisted or restored.
        """
        submission = self.submission
        return NewMessage(
            self.id,
            submission.class_name,
            submission.destination,
            self.deadline - now,
            submission.key,
            submission.resent,
            admitted=self.resumed,
        )


class SubmitStatus(Enum):
    """What a submission was."""

    NEW = auto()
    JOINED = auto()  # a repetition of a message that is still open
    ENDED = auto()  # a repetition of a message that has its final answer


class Ledger:
    """All messages of one sender that are open or ended recently.

    ``retention_ms`` is how long a repeated submission of an ended message still receives its answer; clients
    must stop repeating a submission before. ``max_ended`` bounds how many ended messages are remembered.
    """

    def __init__(self, classes: Mapping[str, MessageClass], retention_ms: float, max_ended: int) -> None:
        self.classes, self.retention_ms, self.max_ended = classes, retention_ms, max_ended
        self.by_identity: dict[tuple[str, str], MessageRecord] = {}
        self.by_id: dict[int, MessageRecord] = {}
        self.ended: OrderedDict[int, MessageRecord] = OrderedDict()
        self.last_id = 0
        self.dropped_early = 0  # ended records dropped before their time, because of max_ended

    def accept(
        self, submission: Submission, now: float, waiter: Waiter
    ) -> tuple[SubmitStatus, MessageRecord]:
        """Record a submission; return what it is, and the record of the message that it belongs to.

        A refused message may be submitted again after its requested wait, provided that a repeat is harmless
        (see :meth:`retry_window`). It then counts as a new message with the same owner and identity.
        """
        name = (submission.owner, submission.identity)
        earlier = self.by_identity.get(name)
        if earlier is not None and earlier.answer is None:
            earlier.waiters.append(waiter)
            return SubmitStatus.JOINED, earlier
        left = submission.time_left
        if earlier is not None:
            window = self.retry_window(earlier, now)
            if window <= 0.0:
                return SubmitStatus.ENDED, earlier
            left = min(left, window)
        self.last_id += 1
        new_submission = Submission(
            submission.owner,
            submission.identity,
            submission.class_name,
            submission.destination,
            left,
            submission.key,
            submission.resent or earlier is not None,
            submission.payload,
            submission.reply_to,
            now - earlier.first_run_at if earlier is not None and earlier.first_run_at is not None else None,
            submission.created_at,
        )
        record = MessageRecord(self.last_id, new_submission, now, now + left, waiters=[waiter])
        record.first_run_at = earlier.first_run_at if earlier else None
        if earlier is not None:
            self._remove(earlier)
        self.by_identity[name] = self.by_id[record.id] = record
        return SubmitStatus.NEW, record

    @property
    def open_count(self) -> int:
        """The number of messages without a final answer."""
        return len(self.by_id) - len(self.ended)

    def retry_window(self, record: MessageRecord, now: float) -> float:
        """Return for how long (ms) an ended message may be submitted and attempted again; 0 means not at all.

        Only a refused message may be, and only after the wait requested with the refusal. If an attempt may
        have taken effect, a keyed message may be attempted again only within the idempotency window that
        began with it.
        """
        answer = record.answer
        if answer is None or answer.answer is not Answer.REFUSED:
            return 0.0
        if now < record.answered_at + answer.retry_after:
            return 0.0
        cls = self.classes[record.submission.class_name]
        if record.in_flight:
            return 0.0  # the attempt in flight may still deliver the message
        if record.first_run_at is None or cls.effect is Effect.SAFE:
            return float("inf")
        if cls.effect is Effect.KEYED and cls.group == "all":  # the module forgets the zone tried
            return max(0.0, self.repeat_deadline(record) - now)
        return 0.0

    def repeat_deadline(self, record: MessageRecord) -> float:
        """Return until when another attempt may begin: a keyed message's window, else infinity."""
        cls = self.classes[record.submission.class_name]
        keyed = cls.effect is Effect.KEYED and record.first_run_at is not None
        return record.first_run_at + cls.window if keyed and record.first_run_at is not None else float("inf")

    def add_attempt(self, ident: int, endpoint: str, now: float) -> int:
        """Record an attempt and return its number, counted from 0."""
        record = self.by_id[ident]
        record.attempts.append(AttemptRecord(endpoint, now))
        return len(record.attempts) - 1

    def record_outcome(self, ident: int, number: int, outcome: Outcome) -> bool:
        """Record an outcome; return false if the attempt is unknown or has one (as with a second receipt)."""
        record = self.by_id.get(ident)
        if record is None or number >= len(record.attempts) or record.attempts[number].outcome is not None:
            return False
        note = record.attempts[number]
        note.outcome = outcome
        if outcome.may_have_run and (record.first_run_at is None or note.sent_at < record.first_run_at):
            record.first_run_at = note.sent_at
        return True

    def finish(self, ident: int, answer: FinalAnswer, now: float) -> list[Waiter] | None:
        """Make an answer final and return its waiters; None if the message is unknown or already has one."""
        record = self.by_id.get(ident)
        if record is None or record.answer is not None:
            return None
        record.answer, record.answered_at = answer, now
        waiters, record.waiters = record.waiters, []
        self.ended[ident] = record
        self._evict_ended(now)
        return waiters

    def drop_content(self, record: MessageRecord) -> None:
        """Free the payload of an ended message without attempts in flight, and keep its answer."""
        if record.answer is not None and not record.in_flight:
            old = record.submission
            record.submission = Submission(
                old.owner,
                old.identity,
                old.class_name,
                old.destination,
                old.time_left,
                old.key,
                old.resent,
                None,
                old.reply_to,
            )

    def restore(self, record: MessageRecord) -> None:
        """Add a message that ended before a restart; call it in the order of the answers, oldest first."""
        assert record.answer is not None
        self.put(record)
        self.ended[record.id] = record

    def put(self, record: MessageRecord) -> None:
        """Add a message from before a restart under its old id."""
        self.by_identity[record.submission.owner, record.submission.identity] = self.by_id[record.id] = record
        self.last_id = max(self.last_id, record.id)

    def closing_answer(self, record: MessageRecord) -> FinalAnswer:
        """Return the final answer for a message that is still open when its sender stops.

        It is a refusal only if submitting the message again is harmless.
        """
        effect = self.classes[record.submission.class_name].effect
        if effect is Effect.SAFE or (record.first_run_at is None and not record.in_flight):
            return FinalAnswer(Answer.REFUSED, "the sender is stopping")
        return FinalAnswer(Answer.FAILED, "the sender stopped while an attempt may have run")

    def open_messages(self) -> list[MessageRecord]:
        """Return all messages without a final answer, in the order of their submission."""
        return [record for record in self.by_id.values() if record.answer is None]

    def _evict_ended(self, now: float) -> None:
        while self.ended:
            record = next(iter(self.ended.values()))
            expired = now - record.answered_at >= self.retention_ms
            if not expired and len(self.ended) <= self.max_ended:
                return
            self.dropped_early += not expired
            self._remove(record)

    def _remove(self, record: MessageRecord) -> None:
        self.ended.pop(record.id, None)
        self.by_id.pop(record.id, None)
        name = (record.submission.owner, record.submission.identity)
        if self.by_identity.get(name) is record:
            del self.by_identity[name]
