"""A disk that other programs have filled: what is refused leaves no trace, and a compaction frees what it can."""

from __future__ import annotations

import errno

from brassweir.core.clock import SimClock
from brassweir.core.ports import Answer, Fact, FinalAnswer, Payload, Submission
from brassweir.journal.records import Final, Taken
from brassweir.journal.scan import scan
from brassweir.journal.sizes import SizeLimits
from brassweir.journal.store import JournalStore
from brassweir.journal.writer import Writer
from brassweir.lab.simulated.crash_world import BY_NAME
from brassweir.lab.simulated.disk import SimIo, SimStorage
from tests.journal.samples import taken_record

RESERVE_BYTES = 20_000
LIMITS = SizeLimits(min_compact_bytes=8000, reserve_bytes=RESERVE_BYTES, check_bytes=10**6)
RETENTION_MS = 1000.0
CLS = next(iter(BY_NAME))


class Sender:
    """A store on a disk with so many bytes of room, and the answers that it gave."""

    def __init__(self, room: int) -> None:
        self.storage, self.clock = SimStorage(), SimClock(1000.0)
        self.storage.room = room
        self.broken: list[BaseException] = []
        writer = Writer(self.storage, scan(self.storage), LIMITS)
        writer.open()
        self.store = JournalStore(
            writer, SimIo(self.clock, 0.0), BY_NAME, self.clock.now, str, self.broken.append, RETENTION_MS
        )
        self.store.record_start("s")
        self.accepted: list[int] = []
        self.refused: list[int] = []
        self.last_id = 0

    def submit(self, body: int = 200) -> None:
        """Hand one message in; one that is refused gets its answer, as the engine gives it."""
        self.last_id += 1
        ident = self.last_id
        submission = Submission("o", f"m{ident}", CLS, 1, 500.0, payload=Payload("a/b", bytes(body)))

        def unable(reason: str) -> None:
            self.refused.append(ident)
            self.answer(ident, Answer.REFUSED)

        self.store.persist(Fact.TAKEN, ident, submission, lambda: self.accepted.append(ident), unable)
        self.run(1.0)

    def answer(self, ident: int, answer: Answer) -> None:
        """Give a message its final answer."""
        self.store.persist(Fact.FINAL, ident, FinalAnswer(answer), lambda: None, lambda _: None)

    def run(self, span: float) -> None:
        """Let time pass."""
        self.clock.run(self.clock.now() + span)


def test_refusals_on_a_full_disk_leave_the_reserve_to_accepted_messages() -> None:
    """Guards against refusals that use up the reserve, after which the process could only end."""
    sender = Sender(RESERVE_BYTES + 4000)
    for _ in range(2000):
        sender.submit()
    assert len(sender.refused) > 1900 and not sender.broken
    for ident in sender.accepted:
        sender.answer(ident, Answer.DELIVERED)
    sender.run(10.0)
    assert not sender.broken
    state = scan(sender.storage).state
    assert sorted(state.by_id) == sender.accepted and not any(one.is_open for one in state.by_id.values())


def test_a_full_disk_is_compacted_and_messages_are_accepted_again() -> None:
    """Guards against a full disk that no compaction frees: everything was refused until a restart."""
    sender = Sender(RESERVE_BYTES + 60_000)
    while not sender.refused:
        sender.submit()
    for ident in sender.accepted:
        sender.answer(ident, Answer.DELIVERED)
    sender.run(RETENTION_MS + 100.0)
    for _ in range(3):
        sender.submit()
        sender.run(LIMITS.retry_compact_ms)
    assert sender.accepted[-1] == sender.last_id and not sender.broken


def test_a_snapshot_that_fills_the_disk_gives_way_to_accepted_messages() -> None:
    """Guards against a commit that fails for want of the room that an unfinished snapshot takes."""
    disk = SimStorage()
    writer = Writer(disk, scan(disk), LIMITS)
    writer.open()
    assert writer.snapshots.begin(writer.close_segment(), 0)
    assert writer.snapshots.add([taken_record(ident) for ident in range(1, 30)])
    writer.reserve.release()
    disk.room = disk._size() + 10
    writer.add(Final(1, "failed", "", 0.0, 5.0), None)
    group = writer.next_group()
    assert group is not None
    writer.group_committed(group, writer.commit(group))
    assert not writer.snapshots.finish() and not any(name.endswith(".new") for name in disk.names())


def test_a_refused_message_is_in_no_snapshot() -> None:
    """Guards against a message that is refused, kept by a snapshot taken meanwhile, and sent after a restart."""
    sender = Sender(10**6)
    writer = sender.store.writer
    refused: list[str] = []
    sender.run(1.0)
    writer.add(taken_record(77), None, refused.append)
    group = writer.next_group()
    assert group is not None
    sender.store.compact(sender.clock.now())
    sender.run(5.0)
    assert not sender.store.compacting
    writer.reserve.release()
    sender.storage.room = 0
    writer.group_committed(group, writer.commit(group))
    assert refused and 77 not in writer.state.by_id
    assert 77 not in scan(sender.storage).state.by_id


def test_a_withdrawn_message_that_is_refused_leaves_no_trace() -> None:
    """Its answer is in the group of its acceptance, or in the one after that."""
    for answer_in_next_group in (False, True):
        disk = SimStorage()
        writer = Writer(disk, scan(disk), LIMITS)
        writer.open()
        writer.reserve.release()
        disk.room = disk._size() + 200
        taken: Taken = taken_record(5)
        final = Final(5, "refused", "", 0.0, 5.0)
        writer.add(taken, None, lambda _: None)
        if not answer_in_next_group:
            writer.add(final, None)
        group = writer.next_group()
        assert group is not None
        if answer_in_next_group:
            writer.add(final, None)
        writer.group_committed(group, writer.commit(group))
        assert writer.next_group() is None and 5 not in scan(disk).state.by_id


def test_an_error_that_is_not_for_want_of_room_still_ends_the_journal() -> None:
    sender = Sender(10**6)

    def fail(name: str, data: bytes) -> None:
        raise OSError(errno.EIO, "Input/output error")

    sender.storage.append = fail  # type: ignore[method-assign]
    sender.submit()
    assert sender.broken
