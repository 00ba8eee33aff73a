"""The guards of a bounded directory one by one: what counts, what waits for a compaction, what a snapshot keeps."""

from __future__ import annotations

from random import Random

import pytest

from brassweir.interface import Effect, MessageClass
from brassweir.journal import frame, recover
from brassweir.journal.endpoint_history import EndpointHistory
from brassweir.journal.group import CommitGroup, JournalStalled
from brassweir.journal.records import Began, Ended, Final, Intent, Record, Taken, Told
from brassweir.journal.scan import scan
from brassweir.journal.sizes import SizeLimits, limits_within
from brassweir.journal.state import JournalState
from brassweir.journal.writer import Writer
from tests.journal.bounded_storage import BoundedStorage
from tests.journal.samples import taken_record

LIMITS = limits_within(256 * 1024)
EIO = 5


def bounded_writer() -> Writer:
    """Return a writer on an empty bounded directory."""
    storage = BoundedStorage(Random(1))
    writer = Writer(storage, scan(storage), LIMITS, retry_writes=True)
    writer.open()
    return writer


def commit(writer: Writer, *records: Record) -> CommitGroup:
    """Commit records in one group, or raise what its commit raises."""
    for record in records:
        writer.add(record, None)
    group = writer.next_group()
    assert group is not None
    writer.writing = False
    writer.group_committed(group, writer.commit(group))
    return group


def file_bytes(writer: Writer) -> int:
    """Return what the journal's files take, in blocks."""
    storage = writer.storage
    return sum(-(-storage.size(name) // 512) * 512 for name in storage.names() if name != "reserve")


@pytest.mark.parametrize("length", [0, 1, 255, 256, 65535, 65536])
def test_the_size_of_a_record_is_that_of_its_frame(length: int) -> None:
    record = Taken(7, "o", "m7", "pay", "1", "k", 9e9, "a/b", "s", bytes(length), b"n")
    assert frame.frame_bytes(record) == len(frame.encode_frame(1, record))


def test_the_state_counts_the_bytes_of_a_snapshot() -> None:
    """Guards against a count that a compaction does not reach: the journal is then never compacted, or again
    and again."""
    writer = bounded_writer()
    for ident in range(1, 40):
        commit(writer, taken_record(ident, reply=b"n"))
        for number in range(ident % 9):
            commit(writer, Intent(ident, number, "e", 5.0), Ended(ident, number, "e", "timeout", 6.0))
        if ident % 3 == 0:
            commit(writer, Final(ident, "failed", "", 0.0, 7.0))
        if ident % 6 == 0:
            commit(writer, Told(ident))
    records: list[Record] = [
        record for message in writer.state.by_id.values() for record in message.kept_records()
    ]
    records += [
        one for name in writer.state.history.endpoints() for one in writer.state.history.records(name)
    ]
    number = writer.close_segment()
    writer.snapshot(records, number)
    (snapshot,) = [name for name in writer.storage.names() if name.endswith(".snap")]
    ends = frame.KEYED_HEADER_BYTES + frame.FRAME_HEADER_BYTES
    assert 0 < writer.storage.size(snapshot) - ends - writer.state.live_bytes < 10, (
        "the Whole record's payload"
    )


def test_what_is_owed_waits_for_a_compaction_while_it_would_take_the_room_of_a_snapshot() -> None:
    """Guards against a journal so large that no snapshot fits beside it: nothing can ever be freed again."""
    writer = bounded_writer()
    ids = range(1, 61)
    commit(writer, *(taken_record(ident) for ident in ids))
    written = 0
    with pytest.raises(JournalStalled):
        for number in range(1000):
            commit(writer, *(Ended(ident, number, "e", "timeout", 6.0) for ident in ids))
            written += 1
    assert written > 10
    assert writer.files.disk_bytes + writer.state.live_bytes <= LIMITS.max_bytes
    assert writer.should_compact()


def test_a_snapshot_that_would_exceed_the_bound_is_discarded() -> None:
    writer = bounded_writer()
    commit(writer, *(taken_record(ident) for ident in range(1, 1001)))
    assert writer.snapshots.begin(writer.close_segment(), 0)
    large = [Taken(9, "o", "m", "pay", "1", "", 9e9, "a/b", "", bytes(60_000))]
    added = [writer.snapshots.add(large) for _ in range(4)]
    assert added[0] and not added[-1] and not any(name.endswith(".new") for name in writer.storage.names())


def test_files_that_cannot_be_removed_count_until_they_are() -> None:
    """Guards against segments that a snapshot has replaced, and that a failing disk still holds."""
    writer = bounded_writer()
    storage = writer.storage
    assert isinstance(storage, BoundedStorage)
    commit(writer, *(taken_record(ident) for ident in range(1, 500)))
    number, remove = writer.close_segment(), storage.remove

    def fail(name: str) -> None:
        raise OSError(EIO, "Input/output error")

    storage.remove = fail  # type: ignore[method-assign]
    writer.snapshot([taken_record(1)], number)
    assert writer.files.disk_bytes >= file_bytes(writer) > 10_000
    storage.remove = remove  # type: ignore[method-assign]
    commit(writer, Began(5.0, "s"))
    assert file_bytes(writer) <= writer.files.disk_bytes < 3000


def test_what_a_failed_write_left_counts_until_it_is_truncated() -> None:
    writer = bounded_writer()
    storage = writer.storage
    assert isinstance(storage, BoundedStorage)
    storage.failing = EIO
    for _ in range(20):
        with pytest.raises(JournalStalled):
            writer.commit(CommitGroup(records=[taken_record(ident) for ident in range(1, 90)]))
        assert writer.files.disk_bytes >= file_bytes(writer)


def test_a_compaction_after_a_failed_write_leaves_no_record_of_it() -> None:
    """Guards against records that were never committed, and come back from the segment that was closed."""
    writer = bounded_writer()
    storage = writer.storage
    assert isinstance(storage, BoundedStorage)
    append = storage.append

    def append_and_fail(name: str, data: bytes) -> None:
        append(name, data)
        raise OSError(EIO, "Input/output error")

    storage.append = append_and_fail  # type: ignore[method-assign]
    with pytest.raises(JournalStalled):
        writer.commit(CommitGroup(records=[taken_record(77)]))
    storage.append = append  # type: ignore[method-assign]
    writer.close_segment()
    commit(writer, taken_record(1))
    found = scan(storage)
    assert list(found.state.by_id) == [1] and not found.problems


def test_a_snapshot_keeps_of_attempts_that_are_over_what_a_restart_needs() -> None:
    """Guards against a number that is used twice, and against attempts that a snapshot forgets to have run."""
    state, again = JournalState(), JournalState()
    for record in (
        taken_record(1, "key", 9000.0),
        Intent(1, 0, "e", 10.0),
        Ended(1, 0, "e", "full", 11.0),
        Intent(1, 1, "e", 20.0),
        Ended(1, 1, "e", "timeout", 25.0),
        Intent(1, 2, "e", 30.0),
        Ended(1, 2, "e", "full", 35.0),
    ):
        state.apply(record)
    kept = list(state.by_id[1].kept_records())
    for one in kept:
        again.apply(one)
    assert len(kept) == 2 and again.by_id[1].first_run_at == state.by_id[1].first_run_at == 20.0
    classes = {"key": MessageClass("key", 1000.0, 9000.0, Effect.KEYED, window=9000.0)}
    plans = [recover.plan_recovery(state_read, (), classes, 40.0, 1e9, 0.0) for state_read in (state, again)]
    assert [plan.resumed[0].number for plan in plans] == [3, 3]
    assert [plan.resumed[0].ran_ago for plan in plans] == [20.0, 20.0]


def test_the_endpoints_heard_of_longest_ago_are_forgotten_first() -> None:
    """Guards against endpoints that were replaced and stay in every snapshot."""
    history = EndpointHistory()
    history.limit(2000)
    for number in range(1000):
        history.add(Ended(number, 0, f"e{number}", ("ok", "timeout")[number % 2], float(number)))
        history.add(Ended(number, 1, "busy", "ok", float(number)))
    assert history.kept_bytes <= 2000 and {"busy", "e999", "e990"} <= set(history.endpoints())
    assert "e0" not in history.last_success_at and "e1" not in history.recent_outcomes
    counted = sum(frame.frame_bytes(one) for name in history.endpoints() for one in history.records(name))
    assert counted == history.kept_bytes


def test_without_a_bound_everything_fits() -> None:
    storage = BoundedStorage(Random(1))
    writer = Writer(storage, scan(storage), SizeLimits(), retry_writes=True)
    writer.open()
    for ident in range(1, 200):
        commit(writer, Taken(ident, "o", f"m{ident}", "pay", "1", "", 9e9, "a/b", "", bytes(60_000)))
    assert writer.files.disk_bytes > 10_000_000
