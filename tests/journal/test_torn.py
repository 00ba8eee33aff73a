"""The end of a segment that was being written when its process died: no damage, and none at later restarts either."""

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
from tests.journal.made import COUNT, SEED, TOTAL, taken

FIRST = segment_name(1)


def life(disk: SimStorage, *records: Record) -> Writer:
    """One process: it reads the journal, begins a segment and writes."""
    writer = Writer(disk, scan(disk))
    writer.open()
    for record in records:
        writer.add(record, None)
        group = writer.next_group()
        assert group is not None
        writer.group_committed(group, writer.commit(group))
    return writer


def goes_on(found: Scan) -> tuple[list[int], list[int]]:
    """Ids that are tried again, and those that are given up."""
    plan = recover.plan_recovery(found.state, found.holes, BY_NAME, 1000.0, 1e9, 0.0)
    return [one.taken.id for one in plan.resumed], [one.taken.id for one in plan.answered]


@pytest.mark.parametrize("cut", [1, 5, 30, 60])
@pytest.mark.parametrize("torn", [taken(3), Intent(2, 0, "e", 500.0)])
def test_a_torn_end_stays_no_damage_when_another_segment_follows(torn: Record, cut: int) -> None:
    disk = SimStorage()
    life(disk, taken(1), taken(2, "key"), torn)
    size = len(frame.encode_frame(3, torn))
    disk.synced[FIRST] = disk.synced[FIRST][: -min(cut, size - 1)]
    for more in (4, 5, 6):
        found = scan(disk)
        assert found.problems == [] and found.holes == [] and found.torn_bytes == size - min(cut, size - 1)
        assert goes_on(found) == ([1, 2, *range(4, more)], []), (
            "what was taken on and is untried is still tried"
        )
        life(disk, taken(more))


@pytest.mark.parametrize("left", [0, 7, frame.HEADER_BYTES - 1])
@pytest.mark.parametrize("starts", [1, 3])
@pytest.mark.parametrize("before", [[], [taken(1)]])
def test_a_segment_that_got_no_whole_header_is_no_damage_either(
    before: list[Taken], starts: int, left: int
) -> None:
    disk = SimStorage()
    if before:
        life(disk, *before)
    for _ in range(starts):  # a process that dies again and again as it begins its segment
        name = life(disk).name
        disk.synced[name] = disk.synced[name][:left]
    assert life(disk, taken(9)) and not scan(disk).problems
    assert goes_on(scan(disk)) == ([*(one.id for one in before), 9], [])


def cut_record(data: bytes) -> bytes:
    return data[:-5]


def whole_record(data: bytes) -> bytes:
    return data[: -len(frame.encode_frame(2, Intent(1, 0, "e", 500.0)))]


def flipped(data: bytes) -> bytes:
    return data[:-1] + bytes([data[-1] ^ 0xFF])


@pytest.mark.parametrize("spoil", [cut_record, whole_record, flipped])
@pytest.mark.parametrize("more", [[], [taken(2)]])
def test_what_was_whole_once_and_is_lost_is_damage(
    spoil: Callable[[bytes], bytes], more: list[Record]
) -> None:
    """The next segment began behind it: an intent that is lost so must not be taken for one never written."""
    disk = SimStorage()
    life(disk, taken(1), Intent(1, 0, "e", 500.0))
    life(disk, *more)
    disk.synced[FIRST] = spoil(disk.synced[FIRST])
    found = scan(disk)
    assert found.problems and found.holes[0].last_id == 1
    assert goes_on(found) == ([2] if more else [], [1])


def test_processes_that_die_one_after_another_find_no_damage(monkeypatch: pytest.MonkeyPatch) -> None:
    problems: list[str] = []

    def noted(storage: SimStorage) -> Scan:
        found = scan(storage)
        problems.extend(found.problems)
        return found

    monkeypatch.setattr(crash, "scan", noted)
    assert not sweep(SEED, COUNT, ["lost", "kept", "torn"], range(2, TOTAL + 1, 31), loops=8).problems
    assert problems == []
