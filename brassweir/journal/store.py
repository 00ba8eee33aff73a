"""The engine's store on a journal: writes facts as records, and runs callbacks once they are durable."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import cast

from brassweir.core.ports import Attempt, Fact, FinalAnswer, Outcome, Payload, Submission
from brassweir.interface import MessageClass, RecoveryChange
from brassweir.journal.compaction import Compaction, IoRunner
from brassweir.journal.durability import waits_for_commit
from brassweir.journal.group import Admission, CommitGroup, JournalBroken, JournalStalled
from brassweir.journal.records import Began, Ended, Final, Intent, Recovering, Taken, Told
from brassweir.journal.writer import Writer


class JournalStore:
    """Stores the engine's facts in a journal.

    Of a message that the journal does not hold, nothing is written: it was refused for lack of room, or its
    answer need not be kept any longer.

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
        self.refused_count = 0  # messages refused since the start, because nothing could be written
        self.writer, self.io, self.classes, self.wall = writer, io, classes, wall
        self.name_of, self.broken, self.retention_ms = name_of, broken, retention_ms
        self.effects = {cls.name: cls.effect for cls in classes.values()}
        self.class_names: dict[int, str] = {}  # of open messages
        self.earlier_attempts: dict[int, int] = {}  # of open messages, by earlier processes
        self.failed = False
        self.compaction = Compaction(writer, io, retention_ms, self._fail)

    @property
    def compacting(self) -> bool:
        """Whether a compaction is running."""
        return self.compaction.running

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
            self.refused_count += 1
            unable("the journal takes no write now")
            return
        if fact is not Fact.TAKEN and message not in self.writer.state.by_id:
            self._persist_unheld(message, detail)
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
            self._add(self._ended(message, detail, now), fact, then)
        self._commit_next()

    def _persist_unheld(self, message: int, detail: object) -> None:
        """Of a message that the journal does not hold, write no more than what its attempt tells of an
        endpoint."""
        self.class_names.pop(message, None)
        self.earlier_attempts.pop(message, None)
        if isinstance(detail, tuple):
            self.writer.add(self._ended(0, detail, self.wall()), None)
            self._commit_next()

    def _ended(self, message: int, detail: object, now: float) -> Ended:
        assert isinstance(detail, tuple)
        attempt, outcome = detail
        assert isinstance(attempt, Attempt) and isinstance(outcome, Outcome)
        return Ended(
            message,
            self._attempt_number(attempt) if message else 0,
            attempt.endpoint.name,
            outcome.result.value,
            now,
            outcome.wait,
        )

    def recovery_changed(self, change: RecoveryChange) -> None:
        """Record what the sender concluded of a destination."""
        if not self.failed:
            name, since = self.name_of(change.destination), self.wall() - change.ago
            self.writer.add(Recovering(name, change.endpoint, change.recovery.value, since), None)
            self._commit_next()

    def receipt_delivered(self, message: int) -> None:
        """Record that the receipt of a message was delivered."""
        if not self.failed and message in self.writer.state.by_id:
            self.writer.add(Told(message), None)
            self._commit_next()

    def log_fields(self) -> dict[str, int]:
        """Return the journal's size, what a snapshot would take of it, and two counts since the start."""
        return {
            "journal": self.writer.total_bytes,
            "journal_live": self.writer.state.live_bytes,
            "journal_refused": self.refused_count,
            "compactions": self.compaction.count,
        }

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
            lambda refused: self._committed(group, cast("list[Admission]", refused)),
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
        self.compaction.start_if_due(self.wall())
        self.io.later(lambda: self._commit(group))

    def _committed(self, group: CommitGroup, refused: list[Admission]) -> None:
        if self.failed:
            return
        if self.stalled:
            self.stalled = False
            self.note("journal_goes_on", {"refused": self.refused_count})
        self.refused_count += len(refused)
        self.writer.group_committed(group, refused)
        self._commit_next()
        self.compaction.start_if_due(self.wall())

    def _fail(self, error: BaseException) -> None:
        if not self.failed:
            self.failed = True
            self.broken(
                error
                if isinstance(error, JournalBroken)
                else JournalBroken(f"{type(error).__name__}: {error}")
            )

    def compact(self, now: float) -> None:
        """Replace the journal's segments by a snapshot of the live records, while commits go on."""
        self.compaction.start(now)
