"""What was concluded of destinations outlives kills, snapshots and further restarts."""

from __future__ import annotations

import pytest

from brassweir.interface import Recovery
from brassweir.journal import compact, records
from brassweir.journal.frame import frame_bytes
from brassweir.journal.records import Recovering
from brassweir.journal.recover import plan_recovery
from brassweir.journal.recovery_states import PastRecovery, RecoveryStates
from brassweir.journal.scan import scan, segment_name
from brassweir.journal.writer import Writer
from brassweir.lab.simulated.crash_world import BY_NAME
from brassweir.lab.simulated.disk import SimStorage
from tests.journal.samples import taken_record

SUSPECTED = Recovering("1", "", "suspected", 100.0)
STARTED = Recovering("1", "", "slow_start", 900.0)


def opened(disk: SimStorage) -> Writer:
    """Return the writer of a new process."""
    writer = Writer(disk, scan(disk))
    writer.open()
    return writer


def commit(writer: Writer, *added: records.Record) -> None:
    """Write records in one group."""
    for record in added:
        writer.add(record, None)
    group = writer.next_group()
    assert group is not None
    writer.group_committed(group, writer.commit(group))


def planned(disk: SimStorage, now: float = 2000.0) -> list[PastRecovery]:
    """Return the recoveries with which a restart goes on."""
    return plan_recovery(scan(disk).state, (), BY_NAME, now, 1e9, 0.0).recoveries


# Guards against review/9: nothing of a slow start was in the journal.
@pytest.mark.parametrize("snapshots", [0, 1, 2])
def test_a_slow_start_outlives_restarts_and_snapshots(snapshots: int) -> None:
    disk = SimStorage()
    commit(opened(disk), taken_record(1), SUSPECTED, STARTED, Recovering("2", "e", "suspected", 50.0))
    for _ in range(snapshots):
        writer = opened(disk)
        before = writer.state.live_bytes
        writer.snapshot(list(compact.live_records(writer.state, 0.0, 1e9)), writer.close_segment())
        assert scan(disk).state.live_bytes == before
    opened(disk)
    assert planned(disk) == [
        PastRecovery("1", "", Recovery.SLOW_START, 1100.0),
        PastRecovery("2", "e", Recovery.SUSPECTED, 1950.0),
    ]


def test_killed_at_any_byte_the_last_whole_conclusion_counts() -> None:
    disk = SimStorage()
    writer = opened(disk)
    commit(writer, SUSPECTED)
    suspected_end = disk.size(segment_name(1))
    commit(writer, STARTED)
    complete = disk.read(segment_name(1))
    for length in range(suspected_end, len(complete)):
        disk.synced[segment_name(1)] = complete[:length]
        assert [past.recovery for past in planned(disk)] == [Recovery.SUSPECTED]


def test_one_that_is_over_is_not_kept() -> None:
    disk = SimStorage()
    commit(opened(disk), SUSPECTED, STARTED, Recovering("1", "", "none", 1500.0))
    assert planned(disk) == [] and scan(disk).state.live_bytes == 0


def test_what_is_kept_is_bounded_and_the_newest_stay() -> None:
    states = RecoveryStates()
    states.limit(10 * frame_bytes(Recovering("10", "", "suspected", 1.0)))
    for number in range(10, 90):
        states.add(Recovering(str(number), "", "suspected", 1.0))
    assert [record.destination for record in states.records()] == [str(number) for number in range(80, 90)]
    assert states.kept_bytes == sum(map(frame_bytes, states.records()))


def test_an_unknown_recovery_is_an_invalid_record() -> None:
    with pytest.raises(ValueError, match="unknown recovery"):
        records.decode(records.encode(Recovering("1", "", "better", 1.0)))
