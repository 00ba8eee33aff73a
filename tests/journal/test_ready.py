"""What a start costs with a full journal: counted as work done, not as time."""

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
from brassweir.journal.sizes import limits_within
from brassweir.journal.writer import Writer
from brassweir.lab.simulated.disk import SimStorage
from tests.core.engines import SlowCarrier, Store

NOW = 100_000.0
CLASSES = (
    api.MessageClass("pay", 1500.0, 6000.0, api.Effect.UNSAFE),
    api.MessageClass("safe", 1500.0, 6000.0, api.Effect.SAFE),
)


def records(ident: int, ended: bool) -> list[Record]:
    """One message, open or ended."""
    taken = Taken(
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
    rest: list[Record] = [
        Intent(ident, 0, "d1-0", NOW),
        Ended(ident, 0, "d1-0", "ok", NOW + 5.0),
        Final(ident, "delivered", "", 0.0, NOW + 6.0),
        Told(ident),
    ]
    return [taken, *(rest if ended else [])]


def put(writer: Writer, *some: Record) -> bool:
    """Write a group; false if it was refused for want of room."""
    refused: list[str] = []
    for one in some:
        writer.add(one, None, refused.append)
    group = writer.next_group()
    assert group is not None
    writer.group_committed(group, writer.commit(group))
    return not refused


def started(disk: SimStorage) -> tuple[Engine, SimClock]:
    """From the folder to the end of the module's first turn."""
    found, clock = scan(disk), SimClock(NOW + 700.0)
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
        found.state, found.holes, {cls.name: cls for cls in CLASSES}, clock.now(), 3000.0, 0.0
    )
    apply_plan(plan, engine, Store(clock), int, lambda *_: lambda _: None)  # type: ignore[arg-type]
    clock.run(clock.now())
    return engine, clock


@pytest.mark.parametrize("rewritten", [False, True])
def test_a_full_folder_is_read_once_and_a_snapshot_twice(
    monkeypatch: pytest.MonkeyPatch, rewritten: bool
) -> None:
    disk, ident = SimStorage(), 0
    writer = Writer(disk, scan(disk), limits_within(256 * 1024))
    writer.open()
    while put(writer, *records(ident := ident + 1, ident % 4 > 0)):
        if rewritten and ident == 300:
            writer.snapshot(list(compact.live_records(writer.state, NOW, 1e9)), writer.close_segment())
    read, decoded = Counter[str](), Counter[int]()
    real_read, real_one = SimStorage.read, frame._read_frame

    def reads(self: SimStorage, name: str) -> bytes:
        read[name] += 1
        return real_read(self, name)

    def one(data: bytes, at: int) -> object:
        decoded[1] += 1
        return real_one(data, at)

    monkeypatch.setattr(SimStorage, "read", reads)
    monkeypatch.setattr(frame, "_read_frame", one)
    found = scan(disk)
    snapshot = sum(name.endswith(".snap") for name in read)
    assert snapshot == rewritten and all(times == 1 + name.endswith(".snap") for name, times in read.items())
    assert found.records <= decoded[1] <= 2 * found.records
    assert 100_000 < found.size <= 160_000 and len(found.state.by_id) > 300


@pytest.mark.parametrize("ended", [False, True])
def test_a_start_costs_in_proportion_to_what_it_finds(ended: bool) -> None:
    def calls(count: int) -> int:
        disk = SimStorage()
        writer = Writer(disk, scan(disk))
        writer.open()
        put(writer, *(one for ident in range(1, count + 1) for one in records(ident, ended)))
        made = 0

        def count_call(_: FrameType, event: str, __: object) -> None:
            nonlocal made
            made += event == "call"

        sys.setprofile(count_call)
        try:
            engine, _ = started(disk)
        finally:
            sys.setprofile(None)
        assert len(engine.ledger.by_id) == count and len(engine.sender.messages) == (0 if ended else count)
        return made

    few, many = calls(200), calls(800)
    assert many < 4.4 * few
    assert many < 800 * 120
