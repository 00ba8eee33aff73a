"""``node`` killed, terminated, and started on a state directory that is damaged or of another sender."""

from __future__ import annotations

import asyncio
import signal
from functools import partial
from pathlib import Path

import pytest

from brassweir.journal.records import Began, Taken
from brassweir.journal.scan import scan
from brassweir.journal.storage import DirectoryStorage
from brassweir.journal.writer import Writer
from brassweir.lab.standins.platform import Endpoint, after, good, hang, wall
from tests.relay.plays import play, together
from tests.relay.world import World


@pytest.mark.parametrize("pause", [0.0, 0.004, 0.02, 0.1, 0.4])
def test_killed_outright_it_goes_on_with_all_that_it_had_taken_on(tmp_path: Path, pause: float) -> None:
    async def day(world: World) -> None:
        client = await world.client()
        for i in range(24):
            cls = ("note", "order", "pay")[i % 3]
            await client.put(f"m{i}", cls, 1, 5000.0, key=f"k{i}" if cls == "order" else "")
        await asyncio.sleep(pause)
        await world.kill()
        world.endpoints[0].manner = good
        await world.start()
        await world.settled(24)

    play(tmp_path, day, Endpoint("a", 1, after(0.01)))


STEPS = [*range(1, 12), *range(12, 90, 6), *range(90, 124, 2)]


async def killed(folder: Path, step: int) -> None:
    """Kill at a storage operation, with so little space that segments are closed and the journal is compacted."""
    world = World(folder, disk_mb=0.25)
    try:
        await world.open(Endpoint("a", 1, after(0.01)), dies_at=step)
        assert world.process is not None
        for i in range(30):
            if world.process.returncode is not None:
                break
            if i % 10 == 0:
                await asyncio.sleep(0.15)  # long enough for a check whether to compact
                try:
                    client = await world.client()
                except ConnectionError:
                    break
            cls = ("note", "order", "pay")[i % 3]
            await client.put(
                f"m{i}", cls, 1, 5000.0, key=f"k{i}" if cls == "order" else "", body=bytes([i]) * 3500
            )
        if world.process.returncode is None:
            await world.kill()
        await world.process.wait()
        await world.start()
        promised = {one.id for one in world.seen().hand_ins if one.line.startswith(b"+")}
        for _ in range(300):
            seen = world.seen()
            if promised <= {*seen.delivered, *(one["ref"] for _, one in seen.notices)}:
                break
            await asyncio.sleep(0.02)
        held = sum(-(-path.stat().st_size // 512) * 512 for path in (folder / "state").iterdir())
        assert held <= 0.25 * 1024 * 1024 and "journal_damage" not in world.log()
    finally:
        await world.close()


@pytest.fixture(scope="module")
def ends(tmp_path_factory: pytest.TempPathFactory) -> dict[int, BaseException | None]:
    """The exception of each case, or None."""
    found = together([partial(killed, tmp_path_factory.mktemp("day"), step) for step in STEPS])
    return dict(zip(STEPS, found, strict=True))


@pytest.mark.parametrize("step", STEPS)
def test_killed_at_any_step_of_its_storage_it_loses_and_doubles_nothing(
    ends: dict[int, BaseException | None], step: int
) -> None:
    wrong = ends[step]
    if wrong is not None:
        raise wrong


def test_an_unsafe_call_that_was_out_is_dead_and_what_is_over_has_its_notice_soon(tmp_path: Path) -> None:
    async def day(world: World) -> None:
        client = await world.client()
        assert await client.put("m1", "pay", 1, 5000.0) == b"+OK\r\n"
        assert await client.put("m2", "note", 1, 600.0) == b"+OK\r\n"
        while len(world.endpoints[0].calls) < 2:
            await asyncio.sleep(0.01)
        await world.kill()
        await asyncio.sleep(0.7)
        world.endpoints[0].manner = good
        ready = wall()
        await world.start()
        await world.settled(2)
        told = {one["ref"]: (one["result"], at) for at, one in world.discovery.notices}
        assert told["m1"][0] == "dead" and told["m2"][0] == "bounced"
        assert all(at - ready < 4000.0 for _, at in told.values())
        assert world.endpoints[0].delivered == []

    play(tmp_path, day, Endpoint("a", 1, hang), judged=False)


def test_told_to_end_it_serves_on_for_a_while_and_ends_in_time(tmp_path: Path) -> None:
    async def day(world: World) -> None:
        assert world.process is not None
        client = await world.client()
        world.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        assert await client.put("m1", "note", 1) == b"+OK\r\n"
        late = await world.client()
        assert await late.put("m2", "note", 1) == b"+OK\r\n", "new connections are still accepted"
        assert await asyncio.wait_for(world.process.wait(), 3.6) == 0
        await world.start()
        await world.settled(2)

    play(tmp_path, day, Endpoint("a", 1))


def test_a_folder_that_is_damaged_is_survived_and_told(tmp_path: Path) -> None:
    async def day(world: World) -> None:
        client = await world.client()
        for i in range(10):
            await client.put(f"m{i}", "note", 1)
        await world.kill()
        log = max((world.folder / "state").glob("*.log"), key=lambda path: path.stat().st_size)
        data = bytearray(log.read_bytes())
        data[len(data) // 2] ^= 0xFF
        log.write_bytes(bytes(data[:-7]))
        world.endpoints[0].manner = good
        await world.start()
        assert "journal_damage" in world.log()
        assert await (await world.client()).put("n1", "note", 1) == b"+OK\r\n"
        await world.settled(1)

    play(tmp_path, day, Endpoint("a", 1, hang), judged=False)


def left_behind(folder: Path, name: str, taken: Taken) -> None:
    """Write the journal of a sender that died with one open message."""
    files = DirectoryStorage(World(folder).folder / "state", synced=False)
    writer = Writer(files, scan(files))
    writer.open()
    writer.add(Began(1.0, name), None)
    writer.add(taken, None)
    group = writer.next_group()
    assert group is not None
    writer.group_committed(group, writer.commit(group))
    files.close()


def test_a_folder_of_another_kind_of_sender_is_survived_and_told(tmp_path: Path) -> None:
    async def day(world: World) -> None:
        assert "journal_of_another" in world.log()
        assert await (await world.client()).put("n1", "note", 1) == b"+OK\r\n"
        await world.settled(2)
        assert [one["ref"] for _, one in world.discovery.notices] == ["theirs"], (
            "its notice is sent all the same"
        )

    left_behind(
        tmp_path,
        "office",
        Taken(1, "o", "theirs", "report", "bank", "", wall() + 9000.0, "a/b", "", b"x", b"n"),
    )
    play(tmp_path, day, Endpoint("a", 1))


def test_a_message_of_an_older_format_keeps_its_idempotency_key(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def day(world: World) -> None:
        await world.settled(1)
        assert [(call.id, call.key) for call in world.endpoints[0].calls] == [("m1", "k9")]

    monkeypatch.setattr("brassweir.journal.frame.VERSION", 1)
    left_behind(
        tmp_path, "n1", Taken(1, "relay", "m1", "order", "1", "k9", wall() + 9000.0, "a/b", "", b"x", b"n")
    )
    play(tmp_path, day, Endpoint("a", 1), judged=False)
