"""A torn write at the end of a segment is no damage, neither at the next restart nor at later ones."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from brassweir.journal import frame, recover
from brassweir.journal.records import Intent, Record, Taken
from brassweir.journal.scan import Scan, scan, segment_name
from brassweir.journal.writer import Writer
from brassweir.lab.simulated import crash
from brassweir.lab.simulated.crash import sweep
from brassweir.lab.simulated.crash_world import BY_NAME
from brassweir.lab.simulated.disk import SimStorage
from tests.journal.samples import COUNT, SEED, TOTAL, taken_record

FIRST = segment_name(1)


def run_process(disk: SimStorage, *records: Record) -> Writer:
    """Run one process: it reads the journal, begins a segment and commits each record."""
    writer = Writer(disk, scan(disk))
    writer.open()
    for record in records:
        writer.add(record, None)
        group = writer.next_group()
        assert group is not None
        writer.group_committed(group, writer.commit(group))
    return writer


def planned_ids(result: Scan) -> tuple[list[int], list[int]]:
    """Return the ids of the messages that are resumed, and of those that end."""
    plan = recover.plan_recovery(result.state, result.holes, BY_NAME, 1000.0, 1e9, 0.0)
    return [message.taken.id for message in plan.resumed], [message.taken.id for message in plan.answered]


@pytest.mark.parametrize("cut", [1, 5, 30, 60])
@pytest.mark.parametrize("torn", [taken_record(3), Intent(2, 0, "e", 500.0)])
def test_a_torn_write_is_no_damage_even_after_later_segments(torn: Record, cut: int) -> None:
    disk = SimStorage()
    run_process(disk, taken_record(1), taken_record(2, "key"), torn)
    size = len(frame.encode_frame(3, torn))
    disk.synced[FIRST] = disk.synced[FIRST][: -min(cut, size - 1)]
    for next_id in (4, 5, 6):
        result = scan(disk)
        assert result.problems == [] and result.holes == [] and result.torn_bytes == size - min(cut, size - 1)
        assert planned_ids(result) == ([1, 2, *range(4, next_id)], []), "accepted messages are still resumed"
        run_process(disk, taken_record(next_id))


@pytest.mark.parametrize("left", [0, 7, frame.HEADER_BYTES - 1])
@pytest.mark.parametrize("starts", [1, 3])
@pytest.mark.parametrize("before", [[], [taken_record(1)]])
def test_a_segment_with_a_truncated_header_is_no_damage(before: list[Taken], starts: int, left: int) -> None:
    disk = SimStorage()
    if before:
        run_process(disk, *before)
    for _ in range(starts):  # a process that crashes repeatedly as it begins its segment
        name = run_process(disk).files.open_name
        disk.synced[name] = disk.synced[name][:left]
    assert run_process(disk, taken_record(9)) and not scan(disk).problems
    assert planned_ids(scan(disk)) == ([*(accepted.id for accepted in before), 9], [])


def truncate_record(data: bytes) -> bytes:
    return data[:-5]


def remove_record(data: bytes) -> bytes:
    return data[: -len(frame.encode_frame(2, Intent(1, 0, "e", 500.0)))]


def flip_byte(data: bytes) -> bytes:
    return data[:-1] + bytes([data[-1] ^ 0xFF])


@pytest.mark.parametrize("damage", [truncate_record, remove_record, flip_byte])
@pytest.mark.parametrize("later_records", [[], [taken_record(2)]])
def test_a_lost_record_that_was_complete_is_damage(
    damage: Callable[[bytes], bytes], later_records: list[Record]
) -> None:
    """The next segment shows that the intent was complete, so it must not count as never written."""
    disk = SimStorage()
    run_process(disk, taken_record(1), Intent(1, 0, "e", 500.0))
    run_process(disk, *later_records)
    disk.synced[FIRST] = damage(disk.synced[FIRST])
    result = scan(disk)
    assert result.problems and result.holes[0].last_id == 1
    assert planned_ids(result) == ([2] if later_records else [], [1])


def test_repeated_crashes_cause_no_damage(monkeypatch: pytest.MonkeyPatch) -> None:
    problems: list[str] = []

    def recording_scan(storage: SimStorage) -> Scan:
        result = scan(storage)
        problems.extend(result.problems)
        return result

    monkeypatch.setattr(crash, "scan", recording_scan)
    assert not sweep(SEED, COUNT, ["lost", "kept", "torn"], range(2, TOTAL + 1, 31), loops=8).problems
    assert problems == []
