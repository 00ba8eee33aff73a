"""The ledger of messages: who handed in what, which attempts went out, and the one final answer of each.

Pure: no clock, no I/O. It is the single place that makes an answer final, so that whatever order outcomes,
time-outs and repeats come in, a message has one answer and whoever asks again is told the same.
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
    """One attempt: where, when sent (ms), and how it ended (None while it is out)."""

    endpoint: str
    sent_at: float
    outcome: Outcome | None = None


@dataclass(slots=True)
class MessageRecord:
    """One message. ``until`` is when its time is up, ``ran`` when the first attempt that may have taken
    effect was sent; ``resumed`` says that it was taken on before a restart."""

    id: int
    submission: Submission
    accepted_at: float
    deadline: float
    attempts: list[AttemptRecord] = field(default_factory=list)
    waiters: list[Waiter] = field(default_factory=list)
    answer: FinalAnswer | None = None
    answered_at: float = 0.0
    first_run_at: float | None = None
    persisted: bool = False  # it was written down: its client may rely on it
    persist_callbacks: list[Callable[[], None]] = field(default_factory=list)  # who waits for that
    resumed: bool = False

    @property
    def in_flight(self) -> bool:
        """Is an attempt without outcome?"""
        return any(note.outcome is None for note in self.attempts)

    def new_message(self, now: float) -> NewMessage:
        """What the module is told of it: its time ran on while it was written down, or a start took long."""
        given = self.submission
        return NewMessage(
            self.id,
            given.class_name,
            given.destination,
            self.deadline - now,
            given.key,
            given.resent,
            admitted=self.resumed,
        )


class SubmitStatus(Enum):
    """What became of a hand-in."""

    NEW = auto()
    JOINED = auto()
    ENDED = auto()


class Ledger:
    """All messages of one sender, open and lately ended.

    ``remember`` (ms) is how long an ended message still answers for itself; it must be longer than any
    client goes on asking. ``most`` bounds how many ended messages are kept.
    """

    def __init__(self, classes: Mapping[str, MessageClass], retention_ms: float, max_ended: int) -> None:
        self.classes, self.retention_ms, self.max_ended = classes, retention_ms, max_ended
        self.by_identity: dict[tuple[str, str], MessageRecord] = {}
        self.by_id: dict[int, MessageRecord] = {}
        self.ended: OrderedDict[int, MessageRecord] = OrderedDict()
        self.last_id = 0
        self.dropped_early = 0  # ended records dropped for want of room before their time

    def accept(
        self, submission: Submission, now: float, waiter: Waiter
    ) -> tuple[SubmitStatus, MessageRecord]:
        """Take a hand-in: a new message, one that joins an open one, or one that has its answer.

        A refused message may be handed in again once its told wait has passed, if nothing rules out that a
        repeat is harmless (:meth:`reopens`); it is then taken as new, under its old name.
        """
        name = (submission.owner, submission.identity)
        known = self.by_identity.get(name)
        if known is not None and known.answer is None:
            known.waiters.append(waiter)
            return SubmitStatus.JOINED, known
        left = submission.time_left
        if known is not None:
            allowed = self.retry_window(known, now)
            if allowed <= 0.0:
                return SubmitStatus.ENDED, known
            left = min(left, allowed)
        self.last_id += 1
        fresh = Submission(
            submission.owner,
            submission.identity,
            submission.class_name,
            submission.destination,
            left,
            submission.key,
            submission.resent or known is not None,
            submission.payload,
            submission.reply_to,
            now - known.first_run_at if known is not None and known.first_run_at is not None else None,
            submission.created_at,
        )
        record = MessageRecord(self.last_id, fresh, now, now + left, waiters=[waiter])
        record.first_run_at = known.first_run_at if known else None
        if known is not None:
            self._drop(known)
        self.by_identity[name] = self.by_id[record.id] = record
        return SubmitStatus.NEW, record

    @property
    def open_count(self) -> int:
        """How many messages have no answer yet."""
        return len(self.by_id) - len(self.ended)

    def retry_window(self, record: MessageRecord, now: float) -> float:
        """For how long (ms) an ended message may be tried again; 0 if not.

        Only a refusal promises that a later try is harmless, and only after the wait that came with it. If
        an attempt may have run, a keyed message is sent again only within the window counted from it.
        """
        answer = record.answer
        if answer is None or answer.answer is not Answer.REFUSED:
            return 0.0
        if now < record.answered_at + answer.retry_after:
            return 0.0
        cls = self.classes[record.submission.class_name]
        if record.in_flight:
            return 0.0  # the old attempt may still end well: its outcome comes first
        if record.first_run_at is None or cls.effect is Effect.SAFE:
            return float("inf")
        if cls.effect is Effect.KEYED and cls.group == "all":  # the module is not told of an earlier zone
            return max(0.0, self.repeat_deadline(record) - now)
        return 0.0

    def repeat_deadline(self, record: MessageRecord) -> float:
        """Until when another attempt at a keyed message may begin at its endpoint: the end of the window."""
        cls = self.classes[record.submission.class_name]
        keyed = cls.effect is Effect.KEYED and record.first_run_at is not None
        return record.first_run_at + cls.window if keyed and record.first_run_at is not None else float("inf")

    def add_attempt(self, ident: int, endpoint: str, now: float) -> int:
        """Note an attempt and return its number, from 0."""
        record = self.by_id[ident]
        record.attempts.append(AttemptRecord(endpoint, now))
        return len(record.attempts) - 1

    def record_outcome(self, ident: int, number: int, outcome: Outcome) -> bool:
        """Note an outcome; false if that attempt already has one or is unknown (a second receipt, say)."""
        record = self.by_id.get(ident)
        if record is None or number >= len(record.attempts) or record.attempts[number].outcome is not None:
            return False
        note = record.attempts[number]
        note.outcome = outcome
        if outcome.may_have_run and (record.first_run_at is None or note.sent_at < record.first_run_at):
            record.first_run_at = note.sent_at
        return True

    def finish(self, ident: int, answer: FinalAnswer, now: float) -> list[Waiter] | None:
        """Make an answer final and return who waits for it; None if the message already has one."""
        record = self.by_id.get(ident)
        if record is None or record.answer is not None:
            return None
        record.answer, record.answered_at = answer, now
        waiters, record.waiters = record.waiters, []
        self.ended[ident] = record
        self._forget(now)
        return waiters

    def drop_content(self, record: MessageRecord) -> None:
        """Let go of the content of an ended message with nothing out: only its answer is still asked for."""
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
        """Put back a message that ended before a restart. Those restored go from the oldest answer on."""
        assert record.answer is not None
        self.put(record)
        self.ended[record.id] = record

    def put(self, record: MessageRecord) -> None:
        """Put back a message from before a restart, under its old id."""
        self.by_identity[record.submission.owner, record.submission.identity] = self.by_id[record.id] = record
        self.last_id = max(self.last_id, record.id)

    def closing_answer(self, record: MessageRecord) -> FinalAnswer:
        """The answer for a message still open when its sender stops: as much as can honestly be promised."""
        effect = self.classes[record.submission.class_name].effect
        if effect is Effect.SAFE or (record.first_run_at is None and not record.in_flight):
            return FinalAnswer(Answer.REFUSED, "the sender is stopping")
        return FinalAnswer(Answer.FAILED, "the sender stopped while an attempt may have run")

    def open_messages(self) -> list[MessageRecord]:
        """All messages without an answer, in the order taken."""
        return [record for record in self.by_id.values() if record.answer is None]

    def _forget(self, now: float) -> None:
        while self.ended:
            record = next(iter(self.ended.values()))
            old = now - record.answered_at >= self.retention_ms
            if not old and len(self.ended) <= self.max_ended:
                return
            self.dropped_early += not old
            self._drop(record)

    def _drop(self, record: MessageRecord) -> None:
        self.ended.pop(record.id, None)
        self.by_id.pop(record.id, None)
        name = (record.submission.owner, record.submission.identity)
        if self.by_identity.get(name) is record:
            del self.by_identity[name]
