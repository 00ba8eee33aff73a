"""The engine's store on a journal: writes facts as records, and runs callbacks once they are durable."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from brassweir.core.ports import Attempt, Fact, FinalAnswer, Outcome, Payload, Submission
from brassweir.interface import MessageClass
from brassweir.journal import compact
from brassweir.journal.durability import waits_for_commit
from brassweir.journal.group import CommitGroup, JournalBroken, JournalStalled
from brassweir.journal.records import Began, Ended, Final, Intent, Record, Taken, Told
from brassweir.journal.writer import Writer

SLICE_MESSAGES = 2000  # per turn of the event loop in a compaction: one to two milliseconds


class IoRunner(Protocol):
    """Runs the journal's I/O, one call at a time and in order, and reports the result on the event loop."""

    def run(
        self,
        work: Callable[[], object],
        done: Callable[[object], None],
        failed: Callable[[BaseException], None],
    ) -> None:
        """Run ``work``; then, on the event loop, ``done`` with the result or ``failed`` with the error."""

    def later(self, callback: Callable[[], None]) -> None:
        """Run ``callback`` on the event loop after a pause, to retry a failed write."""


class JournalStore:
    """Stores the engine's facts in a journal.

    ``wall`` returns the time in ms since 1970; ``name_of`` the name of a destination's number. Answers are
    kept for ``retention_ms``. ``broken`` is called once, when the journal can no longer be written or
    trusted; after that nothing is stored and no waiting callback runs.
    """

    def __init__(
        self,
        writer: Writer,
        io: IoRunner,
        classes: Mapping[str, MessageClass],
        wall: Callable[[], float],
        name_of: Callable[[int], str],
        broken: Callable[[BaseException], None],
        retention_ms: float,
        note: Callable[[str, dict[str, object]], None] = lambda event, details: None,
    ) -> None:
        self.note = note
        self.stalled = False  # a failed write is being retried: no new message is accepted
        self.unrecorded: set[int] = set()  # refused messages of which nothing was written
        self.writer, self.io, self.classes, self.wall = writer, io, classes, wall
        self.name_of, self.broken, self.retention_ms = name_of, broken, retention_ms
        self.effects = {cls.name: cls.effect for cls in classes.values()}
        self.class_names: dict[int, str] = {}  # of open messages
        self.earlier_attempts: dict[int, int] = {}  # of open messages, by earlier processes
        self.failed = self.compacting = False
        self.checked_at = 0.0

    def record_start(self, sender: str) -> None:
        """Record that a process begins to write."""
        self.writer.add(Began(self.wall(), sender), None)
        self._commit_next()

    def resumed(self, ident: int, class_name: str, attempts: int) -> None:
        """Note that a message of an earlier process goes on under its id, after so many attempts."""
        self.class_names[ident], self.earlier_attempts[ident] = class_name, attempts

    def persist(
        self,
        fact: Fact,
        message: int,
        detail: object,
        then: Callable[[], None],
        unable: Callable[[str], None],
    ) -> None:
        """Store one fact (see :class:`brassweir.core.ports.Store`)."""
        if self.failed:
            return  # the engine must not go on: the fact will never be durable
        if self.stalled and fact is Fact.TAKEN:
            self.unrecorded.add(message)
            unable("the journal takes no write now")
            return
        if fact is Fact.FINAL and message in self.unrecorded:
            self.unrecorded.discard(message)
            then()
            return
        now = self.wall()
        if isinstance(detail, Submission):
            self.class_names[message] = detail.class_name
            payload = detail.payload if isinstance(detail.payload, Payload) else Payload("", b"")
            record = Taken(
                message,
                detail.owner,
                detail.identity,
                detail.class_name,
                self.name_of(detail.destination),
                detail.key,
                now + detail.time_left,
                payload.content_type,
                payload.subject,
                payload.content,
                detail.reply_to,
                0.0 if detail.ran_ago is None else now - detail.ran_ago,
            )
            self._add(record, fact, then, unable)
        elif isinstance(detail, Attempt):
            self._add(Intent(message, self._attempt_number(detail), detail.endpoint.name, now), fact, then)
        elif isinstance(detail, FinalAnswer):
            self._add(Final(message, detail.answer.value, detail.reason, detail.retry_after, now), fact, then)
            self.class_names.pop(message, None)
            self.earlier_attempts.pop(message, None)
        else:
            assert isinstance(detail, tuple)
            attempt, outcome = detail
            assert isinstance(attempt, Attempt) and isinstance(outcome, Outcome)
            ended = Ended(
                message,
                self._attempt_number(attempt),
                attempt.endpoint.name,
                outcome.result.value,
                now,
                outcome.wait,
            )
            self._add(ended, fact, then)
        self._commit_next()

    def receipt_delivered(self, message: int) -> None:
        """Record that the receipt of a message was delivered."""
        if not self.failed:
            self.writer.add(Told(message), None)
            self._commit_next()

    def _attempt_number(self, attempt: Attempt) -> int:
        return attempt.number + self.earlier_attempts.get(attempt.id, 0)

    def _add(
        self,
        record: Taken | Intent | Ended | Final,
        fact: Fact,
        then: Callable[[], None],
        unable: Callable[[str], None] | None = None,
    ) -> None:
        effect = self.effects.get(self.class_names.get(record.id, ""))
        if effect is None or waits_for_commit(fact, effect):
            self.writer.add(record, then, unable)
        else:
            self.writer.add(record, None, unable)
            then()

    # ---- groups

    def _commit_next(self) -> None:
        group = self.writer.next_group()
        if group is not None:
            self._commit(group)

    def _commit(self, group: CommitGroup) -> None:
        self.io.run(
            lambda: self.writer.commit(group),
            lambda refused: self._committed(group, refused),
            lambda error: self._commit_failed(group, error),
        )

    def _commit_failed(self, group: CommitGroup, error: BaseException) -> None:
        """Retry a stalled group after a pause; any other error ends the store."""
        if not isinstance(error, JournalStalled):
            self._fail(error)
            return
        if not self.stalled:
            self.stalled = True
            self.note("journal_stalled", {"error": str(error)})
        self.io.later(lambda: self._commit(group))

    def _committed(self, group: CommitGroup, refused: object) -> None:
        if self.failed:
            return
        if self.stalled:
            self.stalled = False
            self.note("journal_goes_on", {"refused": len(self.unrecorded)})
        assert isinstance(refused, list)
        self.writer.group_committed(group, refused)
        self._commit_next()
        self._compact_if_due()

    def _fail(self, error: BaseException) -> None:
        if not self.failed:
            self.failed = True
            self.broken(
                error
                if isinstance(error, JournalBroken)
                else JournalBroken(f"{type(error).__name__}: {error}")
            )

    def _compact_if_due(self) -> None:
        """Compact the journal if it is time; checked once per ``check_interval_ms``."""
        now = self.wall()
        if self.compacting or abs(now - self.checked_at) < self.writer.limits.check_interval_ms:
            return
        self.checked_at = now
        if self.writer.should_compact():
            self.compact(now)

    def compact(self, now: float) -> None:
        """Replace the journal's segments by a snapshot of the live records, while commits go on.

        A new segment is begun first, so that records written meanwhile follow the snapshot. The messages are
        then collected in slices, each in a turn of the event loop of its own. What changes about a message
        after its slice is in the new segment.
        """
        state, self.compacting = self.writer.state, True
        ids, records = list(state.by_id), list[Record]()

        def collect(number: int, start: int) -> None:
            for ident in ids[start : start + SLICE_MESSAGES]:
                message = state.by_id.get(ident)
                if message is not None and compact.is_live(message, now, self.retention_ms):
                    records.extend(compact.message_records(message))
                elif message is not None:
                    state.forget(ident)
            if start + SLICE_MESSAGES < len(ids):
                self.io.run(_nothing, lambda _: collect(number, start + SLICE_MESSAGES), self._fail)
                return
            records.extend(compact.endpoint_records(state))
            self.io.run(lambda: self.writer.snapshot(records, number), done, self._fail)

        def segment_closed(number: object) -> None:
            assert isinstance(number, int)
            collect(number, 0)

        def done(_: object) -> None:
            self.compacting = False

        def cannot_begin(error: BaseException) -> None:
            self.compacting = False
            if not isinstance(error, JournalStalled):
                self._fail(error)

        self.io.run(self.writer.close_segment, segment_closed, cannot_begin)


def _nothing() -> None:
    """Do nothing: gives the event loop a turn."""
