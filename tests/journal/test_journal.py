"""The journal: files, snapshots, what waits for the disk, and small folders."""

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
from tests.journal.made import taken


def test_one_process_at_a_time(tmp_path: Path) -> None:
    first = DirectoryStorage(tmp_path / "j")
    with pytest.raises(StorageLocked):
        DirectoryStorage(tmp_path / "j")
    DirectoryStorage(tmp_path / "j", write=False).names()
    first.close()
    DirectoryStorage(tmp_path / "j").close()


def test_real_files_do_as_the_simulated_ones(tmp_path: Path) -> None:
    files = DirectoryStorage(tmp_path / "j")
    writer = Writer(files, scan(files))
    writer.open()
    for ident in (1, 2, 3):
        writer.add(taken(ident), None)
    writer.add(Final(1, "failed", "", 0.0, 5.0), None)
    group = writer.next_group()
    assert group is not None and writer.next_group() is None, "one group at a time"
    writer.group_committed(group, writer.commit(group))
    writer.snapshot(list(compact.live_records(writer.state, 5.0, 1e9)), writer.close_segment())
    files.close()
    found = scan(DirectoryStorage(tmp_path / "j"))
    assert (
        sorted(found.state.by_id) == [1, 2, 3]
        and not found.problems
        and len(found.segments) == 2
        and found.segments[0].endswith(".snap")
    )


def test_a_snapshot_keeps_what_matters_and_no_content_of_the_ended() -> None:
    lives = JournalState()
    for record in (
        taken(1),
        Intent(1, 0, "e", 5.0),
        Final(1, "failed", "", 0.0, 50.0),
        taken(2),
        taken(3),
        Final(3, "delivered", "", 0.0, 10.0),
        taken(4, reply=b"r"),
        Final(4, "failed", "", 0.0, 10.0),
    ):
        lives.apply(record)
    kept = list(compact.live_records(lives, 100.0, 60.0))
    assert {one.id: len(one.content) for one in kept if isinstance(one, Taken)} == {1: 0, 2: 7, 4: 0}
    assert next(one for one in kept if isinstance(one, Taken) and one.id == 1).ran == 5.0
    assert compact.should_compact(10 * MIN_COMPACT_BYTES, MIN_COMPACT_BYTES) and not compact.should_compact(
        MIN_COMPACT_BYTES, 0
    )


@pytest.mark.parametrize("fact", Fact)
@pytest.mark.parametrize("effect", Effect)
def test_the_table_of_what_waits(fact: Fact, effect: Effect) -> None:
    free = fact is Fact.OUTCOME or (fact is Fact.INTENT and effect is Effect.SAFE)
    assert durability.waits_for_commit(fact, effect) != free


def test_memory_and_size_follow_what_is_open_and_not_history(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(compact, "MIN_COMPACT_BYTES", 20_000)
    sizes = []
    for count in (60, 180):
        run = Run(Script.draw(3, count, 400.0 * count), 3, SimStorage(), remember=5000.0)
        run.storage.room = None
        assert run.life(400.0 * count + 20_000.0)
        sizes.append(sum(len(run.storage.read(name)) for name in run.storage.names() if name != "reserve"))
    assert sizes[1] < 1.6 * sizes[0] + 20_000


def test_what_stands_behind_a_snapshot_is_no_hole_and_what_was_told_stays_told(tmp_path: Path) -> None:
    files = DirectoryStorage(tmp_path / "j", synced=False)
    writer = Writer(files, scan(files))
    writer.open()

    def write(*facts: records.Record) -> None:
        for fact in facts:
            writer.add(fact, None)
        group = writer.next_group()
        assert group is not None
        writer.group_committed(group, writer.commit(group))

    write(*(taken(ident, reply=b"n") for ident in range(1, 9)))
    write(Final(1, "failed", "", 0.0, 5.0), Told(1))
    writer.snapshot(list(compact.live_records(writer.state, 5.0, 1e9)), writer.close_segment())
    write(Final(2, "failed", "", 0.0, 6.0))
    files.close()
    found = scan(DirectoryStorage(tmp_path / "j"))
    assert not found.problems and not found.holes
    assert found.state.by_id[1].receipt_delivered and not found.state.by_id[2].receipt_delivered
    log = next(path for path in (tmp_path / "j").glob("*.log"))
    data = log.read_bytes()
    first = next(part.end for part in frame.read_frames(data) if isinstance(part, FramedRecord))
    log.write_bytes(data[: frame.HEADER_BYTES] + data[first:] + frame.encode_frame(99, taken(10)))
    assert scan(DirectoryStorage(tmp_path / "j", write=False)).holes, (
        "one that is missing there is still seen"
    )


@settings(max_examples=20, derandomize=True, deadline=None)
@given(st.integers(0, 10**6))
def test_a_small_folder_is_never_overfilled_and_open_messages_still_end(seed: int) -> None:
    rng, bound, now = Random(seed), 256 * 1024, 0.0
    disk = SimStorage()
    sizes = limits_within(bound)
    writer = Writer(disk, scan(disk), sizes)
    writer.open()
    open_, refused, last, most = set[int](), list[int](), 0, 0

    def held() -> int:
        return sum(-(-len(disk.read(name)) // 512) * 512 for name in disk.names())

    for _ in range(400):
        now += 50.0
        group_ids = []
        for _ in range(rng.randint(0, 6)):
            last += 1
            fresh = Taken(
                last, "o", f"m{last}", "pay", "1", "k", 9e9, "a/b", "", bytes(rng.randint(0, 4000)), b"n"
            )
            group_ids.append(last)
            writer.add(
                fresh, partial(open_.add, last), partial(lambda ident, why: refused.append(ident), last)
            )
        for ident in [one for one in open_ if rng.random() < 0.1]:
            open_.discard(ident)
            writer.add(Final(ident, "failed", "", 0.0, now), None)
            writer.add(Told(ident), None)
        group = writer.next_group()
        if group is not None:
            writer.group_committed(group, writer.commit(group))
        for ident in refused:
            writer.state.forget(ident)
        most = max(most, held())
        if writer.should_compact():
            number = writer.close_segment()
            for life in list(writer.state.by_id.values()):
                if not compact.is_live(life, now, 300.0):
                    writer.state.forget(life.id)
            writer.snapshot(list(compact.live_records(writer.state, now, 300.0)), number)
            most = max(most, held())
    assert most <= bound and last > len(refused) > 0
    found = scan(disk)
    assert not found.problems and open_ <= found.state.by_id.keys()


def test_a_folder_too_small_to_work_in_is_refused() -> None:
    with pytest.raises(ValueError, match="262144"):
        limits_within(1000)
