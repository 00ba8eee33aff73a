"""The cost of a start with a full journal, in reads and calls instead of time."""

from __future__ import annotations

import sys
from collections import Counter
from types import FrameType

import pytest

from brassweir import interface as api
from brassweir.core.clock import SimClock
from brassweir.core.engine import Engine
from brassweir.journal import compact, frame, recover
from brassweir.journal.records import Ended, Final, Intent, Record, Taken, Told
from brassweir.journal.restart import apply_plan
from brassweir.journal.scan import scan
from brassweir.journal.sizes import ENDING_BYTES, limits_within
from brassweir.journal.writer import Writer
from brassweir.lab.simulated.disk import SimStorage
from tests.core.engines import SlowCarrier, Store

NOW = 100_000.0
CLASSES = (
    api.MessageClass("pay", 1500.0, 6000.0, api.Effect.UNSAFE),
    api.MessageClass("safe", 1500.0, 6000.0, api.Effect.SAFE),
)


def records(ident: int, ended: bool) -> list[Record]:
    """Return the records of one message, open or ended."""
    accepted = Taken(
        ident,
        "o",
        f"m{ident}",
        "pay" if ident % 2 else "safe",
        str(ident % 4 + 1),
        "",
        NOW + 4000.0,
        "a/b",
        "",
        b"x" * 40,
        b"n",
    )
    following: list[Record] = [
        Intent(ident, 0, "d1-0", NOW),
        Ended(ident, 0, "d1-0", "ok", NOW + 5.0),
        Final(ident, "delivered", "", 0.0, NOW + 6.0),
        Told(ident),
    ]
    return [accepted, *(following if ended else [])]


def commit(writer: Writer, *added: Record) -> bool:
    """Commit a group; return False if it was refused because the disk is full."""
    refused: list[str] = []
    for record in added:
        writer.add(record, None, refused.append)
    group = writer.next_group()
    assert group is not None
    writer.group_committed(group, writer.commit(group))
    return not refused


def started(disk: SimStorage) -> tuple[Engine, SimClock]:
    """Start a sender on this journal, up to the end of the decision module's first turn."""
    result, clock = scan(disk), SimClock(NOW + 700.0)
    carrier = SlowCarrier(clock)
    engine = Engine(
        api.Settings(classes=CLASSES, slots=8, max_open=60), 1, clock, lambda _: carrier, store=Store(clock)
    )
    engine.update_list(
        api.ListUpdate(
            api.ListKind.CACHED,
            tuple(api.EndpointInfo(f"d{i}-{j}", i, "") for i in (1, 2, 3, 4) for j in (0, 1)),
        )
    )
    plan = recover.plan_recovery(
        result.state, result.holes, {cls.name: cls for cls in CLASSES}, clock.now(), 3000.0, 0.0
    )
    apply_plan(plan, engine, Store(clock), int, lambda *_: lambda _: None)  # type: ignore[arg-type]
    clock.run(clock.now())
    return engine, clock


@pytest.mark.parametrize("compacted", [False, True])
def test_each_segment_is_read_once_and_a_snapshot_twice(
    monkeypatch: pytest.MonkeyPatch, compacted: bool
) -> None:
    disk, ident = SimStorage(), 0
    writer = Writer(disk, scan(disk), limits_within(256 * 1024))
    writer.open()
    while commit(writer, *records(ident := ident + 1, ident % 4 > 0)):
        if compacted and ident == 300:
            writer.snapshot(list(compact.live_records(writer.state, NOW, 1e9)), writer.close_segment())
    read, decoded = Counter[str](), Counter[int]()
    real_read, real_read_frame = SimStorage.read, frame._read_frame

    def counted_read(self: SimStorage, name: str) -> bytes:
        read[name] += 1
        return real_read(self, name)

    def read_frame(data: bytes, at: int, key: bytes) -> object:
        decoded[1] += 1
        return real_read_frame(data, at, key)

    monkeypatch.setattr(SimStorage, "read", counted_read)
    monkeypatch.setattr(frame, "_read_frame", read_frame)
    result = scan(disk)
    snapshot = sum(name.endswith(".snap") for name in read)
    assert snapshot == compacted and all(times == 1 + name.endswith(".snap") for name, times in read.items())
    assert result.records <= decoded[1] <= 2 * result.records
    limits = writer.limits
    claimed = result.size + result.state.live_bytes + 2 * ENDING_BYTES * result.state.open_count
    assert 0.9 * limits.admit_bytes < claimed <= limits.admit_bytes, "the journal is full"
    assert 80_000 < result.size and len(result.state.by_id) > 300


@pytest.mark.parametrize("ended", [False, True])
def test_the_cost_of_a_start_grows_linearly_with_the_messages(ended: bool) -> None:
    def calls(count: int) -> int:
        disk = SimStorage()
        writer = Writer(disk, scan(disk))
        writer.open()
        commit(writer, *(record for ident in range(1, count + 1) for record in records(ident, ended)))
        call_count = 0

        def count_call(_: FrameType, event: str, __: object) -> None:
            nonlocal call_count
            call_count += event == "call"

        sys.setprofile(count_call)
        try:
            engine, _ = started(disk)
        finally:
            sys.setprofile(None)
        assert len(engine.ledger.by_id) == count and len(engine.sender.messages) == (0 if ended else count)
        return call_count

    few, many = calls(200), calls(800)
    assert many < 4.4 * few
    assert many < 800 * 120
