"""The engine's store on a journal: facts become records, and what waits for them runs once they last."""

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

SLICE = 2000  # lives gone through in one turn of the loop: a millisecond or two


class IoRunner(Protocol):
    """Runs I/O on the one thread that may, and tells the loop's side when it is done."""

    def run(
        self,
        work: Callable[[], object],
        done: Callable[[object], None],
        failed: Callable[[BaseException], None],
    ) -> None:
        """Run ``work``; then ``done`` with its result, or ``failed``, on the loop's side."""

    def later(self, what: Callable[[], None]) -> None:
        """Run ``what`` on the loop's side after a pause, for a disk that took no write."""


class JournalStore:
    """Keeps facts in a journal.

    ``wall`` is the time in ms since 1970; ``name_of`` the name of a destination's number; ``broken`` is
    called when the disk can no longer be trusted, after which nothing more is kept and nothing waiting goes
    on.
    """

    def __init__(
        self,
        writer: Writer,
        io: IoRunner,
        classes: Mapping[str, MessageClass],
        wall: Callable[[], float],
        name_of: Callable[[int], str],
        broken: Callable[[BaseException], None],
        remember: float,
        note: Callable[[str, dict[str, object]], None] = lambda event, details: None,
    ) -> None:
        self.note = note
        self.stalled = False  # the disk takes no write now: nothing new is taken on
        self.unkept: set[int] = set()  # refused messages of which nothing was written
        self.writer, self.io, self.classes, self.wall = writer, io, classes, wall
        self.name_of, self.broken, self.remember = name_of, broken, remember
        self.effects = {cls.name: cls.effect for cls in classes.values()}
        self.classed: dict[int, str] = {}  # open messages' classes
        self.before: dict[int, int] = {}  # attempts of open messages in earlier lives of the process
        self.dead = self.compacting = False
        self.looked = 0.0

    def record_start(self, sender: str) -> None:
        """Note that a process begins to write."""
        self.writer.add(Began(self.wall(), sender), None)
        self._pump()

    def resumed(self, ident: int, class_name: str, attempts: int) -> None:
        """A message from before goes on under its id."""
        self.classed[ident], self.before[ident] = class_name, attempts

    def persist(
        self,
        fact: Fact,
        message: int,
        detail: object,
        then: Callable[[], None],
        unable: Callable[[str], None],
    ) -> None:
        """Keep one fact (see :class:`brassweir.core.ports.Store`)."""
        if self.dead:
            return  # nothing may go on as if it had been written
        if self.stalled and fact is Fact.TAKEN:
            self.unkept.add(message)
            unable("the journal takes no write now")
            return
        if fact is Fact.FINAL and message in self.unkept:
            self.unkept.discard(message)
            then()
            return
        now = self.wall()
        if isinstance(detail, Submission):
            self.classed[message] = detail.class_name
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
            self._add(Intent(message, self._number(detail), detail.endpoint.name, now), fact, then)
        elif isinstance(detail, FinalAnswer):
            self._add(Final(message, detail.answer.value, detail.reason, detail.retry_after, now), fact, then)
            self.classed.pop(message, None)
            self.before.pop(message, None)
        else:
            assert isinstance(detail, tuple)
            attempt, outcome = detail
            assert isinstance(attempt, Attempt) and isinstance(outcome, Outcome)
            ended = Ended(
                message, self._number(attempt), attempt.endpoint.name, outcome.result.value, now, outcome.wait
            )
            self._add(ended, fact, then)
        self._pump()

    def receipt_delivered(self, message: int) -> None:
        """The receipt owed for a message was brought."""
        if not self.dead:
            self.writer.add(Told(message), None)
            self._pump()

    def _number(self, attempt: Attempt) -> int:
        return attempt.number + self.before.get(attempt.id, 0)

    def _add(
        self,
        record: Taken | Intent | Ended | Final,
        fact: Fact,
        then: Callable[[], None],
        unable: Callable[[str], None] | None = None,
    ) -> None:
        effect = self.effects.get(self.classed.get(record.id, ""))
        if effect is None or waits_for_commit(fact, effect):
            self.writer.add(record, then, unable)
        else:
            self.writer.add(record, None, unable)
            then()

    # ---- groups

    def _pump(self) -> None:
        group = self.writer.next_group()
        if group is not None:
            self._commit(group)

    def _commit(self, group: CommitGroup) -> None:
        self.io.run(
            lambda: self.writer.commit(group),
            lambda refused: self._done(group, refused),
            lambda error: self._stall(group, error),
        )

    def _stall(self, group: CommitGroup, error: BaseException) -> None:
        """The disk took no write: the group is tried again, and what waits for it waits on."""
        if not isinstance(error, JournalStalled):
            self._failed(error)
            return
        if not self.stalled:
            self.stalled = True
            self.note("journal_stalled", {"error": str(error)})
        self.io.later(lambda: self._commit(group))

    def _done(self, group: CommitGroup, refused: object) -> None:
        if self.dead:
            return
        if self.stalled:
            self.stalled = False
            self.note("journal_goes_on", {"refused": len(self.unkept)})
        assert isinstance(refused, list)
        self.writer.group_committed(group, refused)
        self._pump()
        self._snapshot()

    def _failed(self, error: BaseException) -> None:
        if not self.dead:
            self.dead = True
            self.broken(
                error
                if isinstance(error, JournalBroken)
                else JournalBroken(f"{type(error).__name__}: {error}")
            )

    def _snapshot(self) -> None:
        """Rewrite the journal if it is time; looked at once a second."""
        now = self.wall()
        if self.compacting or abs(now - self.looked) < self.writer.limits.check_interval_ms:
            return
        self.looked = now
        if self.writer.should_compact():
            self.compact(now)

    def compact(self, now: float) -> None:
        """Rewrite the journal with what still matters, beside the groups that go on.

        First a new segment is begun, so that whatever comes meanwhile stands behind the snapshot. Then lives
        are gone through by slices, each in a turn of the loop of its own; one that learns more after its
        slice has that in the new segment.
        """
        lives, self.compacting = self.writer.state, True
        ids, found = list(lives.by_id), list[Record]()

        def slices(number: int, at: int) -> None:
            for ident in ids[at : at + SLICE]:
                life = lives.by_id.get(ident)
                if life is not None and compact.is_live(life, now, self.remember):
                    found.extend(compact.message_records(life))
                elif life is not None:
                    lives.forget(ident)
            if at + SLICE < len(ids):
                self.io.run(_nothing, lambda _: slices(number, at + SLICE), self._failed)
                return
            found.extend(compact.endpoint_records(lives))
            self.io.run(lambda: self.writer.snapshot(found, number), done, self._failed)

        def begun(number: object) -> None:
            assert isinstance(number, int)
            slices(number, 0)

        def done(_: object) -> None:
            self.compacting = False

        def not_now(error: BaseException) -> None:
            self.compacting = False
            if not isinstance(error, JournalStalled):
                self._failed(error)

        self.io.run(self.writer.close_segment, begun, not_now)


def _nothing() -> None:
    """Only a turn."""
