"""The journal: files, snapshots, which facts wait for the commit, and bounded directories."""

from __future__ import annotations

from functools import partial
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.core.ports import Fact
from brassweir.interface import Effect
from brassweir.journal import compact, durability, frame, records
from brassweir.journal.frame import FramedRecord
from brassweir.journal.records import Final, Intent, Taken, Told
from brassweir.journal.scan import scan
from brassweir.journal.sizes import MIN_COMPACT_BYTES, limits_within
from brassweir.journal.state import JournalState
from brassweir.journal.storage import DirectoryStorage, StorageLocked
from brassweir.journal.writer import Writer
from brassweir.lab.simulated.crash import Run
from brassweir.lab.simulated.crash_world import Script
from brassweir.lab.simulated.disk import SimStorage
from tests.journal.samples import taken_record


def test_one_process_at_a_time(tmp_path: Path) -> None:
    first = DirectoryStorage(tmp_path / "j")
    with pytest.raises(StorageLocked):
        DirectoryStorage(tmp_path / "j")
    DirectoryStorage(tmp_path / "j", write=False).names()
    first.close()
    DirectoryStorage(tmp_path / "j").close()


def test_real_files_behave_as_the_simulated_ones(tmp_path: Path) -> None:
    files = DirectoryStorage(tmp_path / "j")
    writer = Writer(files, scan(files))
    writer.open()
    for ident in (1, 2, 3):
        writer.add(taken_record(ident), None)
    writer.add(Final(1, "failed", "", 0.0, 5.0), None)
    group = writer.next_group()
    assert group is not None and writer.next_group() is None, "one group at a time"
    writer.group_committed(group, writer.commit(group))
    writer.snapshot(list(compact.live_records(writer.state, 5.0, 1e9)), writer.close_segment())
    files.close()
    result = scan(DirectoryStorage(tmp_path / "j"))
    assert (
        sorted(result.state.by_id) == [1, 2, 3]
        and not result.problems
        and len(result.segments) == 2
        and result.segments[0].endswith(".snap")
    )


def test_a_snapshot_keeps_live_messages_and_no_content_of_ended_ones() -> None:
    state = JournalState()
    for record in (
        taken_record(1),
        Intent(1, 0, "e", 5.0),
        Final(1, "failed", "", 0.0, 50.0),
        taken_record(2),
        taken_record(3),
        Final(3, "delivered", "", 0.0, 10.0),
        taken_record(4, reply=b"r"),
        Final(4, "failed", "", 0.0, 10.0),
    ):
        state.apply(record)
    kept = list(compact.live_records(state, 100.0, 60.0))
    assert {record.id: len(record.content) for record in kept if isinstance(record, Taken)} == {
        1: 0,
        2: 7,
        4: 0,
    }
    assert next(record for record in kept if isinstance(record, Taken) and record.id == 1).ran == 5.0
    assert compact.should_compact(10 * MIN_COMPACT_BYTES, MIN_COMPACT_BYTES) and not compact.should_compact(
        MIN_COMPACT_BYTES, 0
    )


@pytest.mark.parametrize("fact", Fact)
@pytest.mark.parametrize("effect", Effect)
def test_which_facts_wait_for_the_commit(fact: Fact, effect: Effect) -> None:
    immediate = fact is Fact.OUTCOME or (fact is Fact.INTENT and effect is Effect.SAFE)
    assert durability.waits_for_commit(fact, effect) != immediate


def test_the_size_follows_live_messages_and_not_history(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(compact, "MIN_COMPACT_BYTES", 20_000)
    sizes = []
    for count in (60, 180):
        run = Run(Script.draw(3, count, 400.0 * count), 3, SimStorage(), remember=5000.0)
        run.storage.room = None
        assert run.life(400.0 * count + 20_000.0)
        sizes.append(sum(len(run.storage.read(name)) for name in run.storage.names() if name != "reserve"))
    assert sizes[1] < 1.6 * sizes[0] + 20_000


def test_records_after_a_snapshot_are_no_hole_and_delivered_receipts_stay_delivered(tmp_path: Path) -> None:
    files = DirectoryStorage(tmp_path / "j", synced=False)
    writer = Writer(files, scan(files))
    writer.open()

    def write(*facts: records.Record) -> None:
        for fact in facts:
            writer.add(fact, None)
        group = writer.next_group()
        assert group is not None
        writer.group_committed(group, writer.commit(group))

    write(*(taken_record(ident, reply=b"n") for ident in range(1, 9)))
    write(Final(1, "failed", "", 0.0, 5.0), Told(1))
    writer.snapshot(list(compact.live_records(writer.state, 5.0, 1e9)), writer.close_segment())
    write(Final(2, "failed", "", 0.0, 6.0))
    files.close()
    result = scan(DirectoryStorage(tmp_path / "j"))
    assert not result.problems and not result.holes
    assert result.state.by_id[1].receipt_delivered and not result.state.by_id[2].receipt_delivered
    log = next(path for path in (tmp_path / "j").glob("*.log"))
    data = log.read_bytes()
    header = frame.read_header(data)
    assert header is not None
    content = frame.encode_header(header.segment, header.first, header.key)
    parts = [part for part in frame.read_frames(data) if isinstance(part, FramedRecord)]
    for part in parts[1:]:
        content += frame.encode_frame(part.sequence, part.record, header.key, len(content))
    log.write_bytes(content + frame.encode_frame(99, taken_record(10), header.key, len(content)))
    assert scan(DirectoryStorage(tmp_path / "j", write=False)).holes, (
        "a record missing after the snapshot is still detected"
    )


@settings(max_examples=20, derandomize=True, deadline=None)
@given(st.integers(0, 10**6))
def test_a_bounded_directory_is_never_exceeded_and_open_messages_still_end(seed: int) -> None:
    rng, bound, now = Random(seed), 256 * 1024, 0.0
    disk = SimStorage()
    sizes = limits_within(bound)
    writer = Writer(disk, scan(disk), sizes)
    writer.open()
    open_ids, refused, last, max_used = set[int](), list[int](), 0, 0

    def used_bytes() -> int:
        """The size of the directory in blocks of 512 bytes."""
        return sum(-(-len(disk.read(name)) // 512) * 512 for name in disk.names())

    for _ in range(400):
        now += 50.0
        group_ids = []
        for _ in range(rng.randint(0, 6)):
            last += 1
            new = Taken(
                last, "o", f"m{last}", "pay", "1", "k", 9e9, "a/b", "", bytes(rng.randint(0, 4000)), b"n"
            )
            group_ids.append(last)
            writer.add(
                new, partial(open_ids.add, last), partial(lambda ident, reason: refused.append(ident), last)
            )
        for ident in [ident for ident in open_ids if rng.random() < 0.1]:
            open_ids.discard(ident)
            writer.add(Final(ident, "failed", "", 0.0, now), None)
            writer.add(Told(ident), None)
        group = writer.next_group()
        if group is not None:
            writer.group_committed(group, writer.commit(group))
        for ident in refused:
            writer.state.forget(ident)
        max_used = max(max_used, used_bytes())
        if writer.should_compact():
            number = writer.close_segment()
            for message in list(writer.state.by_id.values()):
                if not compact.is_live(message, now, 300.0):
                    writer.state.forget(message.id)
            writer.snapshot(list(compact.live_records(writer.state, now, 300.0)), number)
            max_used = max(max_used, used_bytes())
    assert max_used <= bound and last > len(refused) > 0
    result = scan(disk)
    assert not result.problems and open_ids <= result.state.by_id.keys()


def test_a_bound_that_is_too_small_is_refused() -> None:
    with pytest.raises(ValueError, match="262144"):
        limits_within(1000)
