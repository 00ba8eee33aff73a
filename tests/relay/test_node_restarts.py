"""``node`` killed, terminated, and started on a state directory that is damaged or of another sender."""

from __future__ import annotations

import asyncio
import signal
from functools import partial
from pathlib import Path

import pytest

from brassweir.journal import frame
from brassweir.journal.records import Began, Taken
from brassweir.journal.scan import scan, segment_name
from brassweir.journal.storage import DirectoryStorage
from brassweir.journal.writer import Writer
from brassweir.lab.standins.platform import Endpoint, after, good, hang, wall
from tests.relay.scenarios import run_all, run_alone
from tests.relay.world import World


@pytest.mark.parametrize("pause", [0.0, 0.004, 0.02, 0.1, 0.4])
def test_after_a_kill_it_resumes_all_accepted_messages(tmp_path: Path, pause: float) -> None:
    async def scenario(world: World) -> None:
        client = await world.client()
        for i in range(24):
            cls = ("note", "order", "pay")[i % 3]
            await client.put(f"m{i}", cls, 1, 5000.0, key=f"k{i}" if cls == "order" else "")
        await asyncio.sleep(pause)
        await world.kill()
        world.endpoints[0].manner = good
        await world.start()
        await world.settled(24)

    run_alone(tmp_path, scenario, Endpoint("a", 1, after(0.01)))


STEPS = [*range(1, 12), *range(12, 90, 6), *range(90, 124, 2)]


async def check_kill(directory: Path, step: int) -> None:
    """Kill at a storage operation, with so little space that segments are closed and the journal is compacted."""
    world = World(directory, disk_mb=0.25)
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
        accepted = {one.id for one in world.seen().hand_ins if one.line.startswith(b"+")}
        for _ in range(300):
            seen = world.seen()
            if accepted <= {*seen.delivered, *(notice["ref"] for _, notice in seen.notices)}:
                break
            await asyncio.sleep(0.02)
        disk_bytes = sum(-(-path.stat().st_size // 512) * 512 for path in (directory / "state").iterdir())
        assert disk_bytes <= 0.25 * 1024 * 1024 and "journal_damage" not in world.log()
    finally:
        await world.close()


@pytest.fixture(scope="module")
def failures(tmp_path_factory: pytest.TempPathFactory) -> dict[int, BaseException | None]:
    """The exception of each case, or None."""
    results = run_all([partial(check_kill, tmp_path_factory.mktemp("day"), step) for step in STEPS])
    return dict(zip(STEPS, results, strict=True))


@pytest.mark.parametrize("step", STEPS)
def test_killed_at_any_storage_operation_it_loses_and_repeats_nothing(
    failures: dict[int, BaseException | None], step: int
) -> None:
    failure = failures[step]
    if failure is not None:
        raise failure


def test_after_a_restart_unsafe_calls_in_flight_and_expired_messages_get_notices(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
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
        notices = {notice["ref"]: (notice["result"], at) for at, notice in world.discovery.notices}
        assert notices["m1"][0] == "dead" and notices["m2"][0] == "bounced"
        assert all(at - ready < 4000.0 for _, at in notices.values())
        assert world.endpoints[0].delivered == []

    run_alone(tmp_path, scenario, Endpoint("a", 1, hang), judged=False)


def test_after_sigterm_it_serves_for_a_while_and_exits_in_time(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        assert world.process is not None
        client = await world.client()
        world.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        assert await client.put("m1", "note", 1) == b"+OK\r\n"
        late_client = await world.client()
        assert await late_client.put("m2", "note", 1) == b"+OK\r\n", "new connections are still accepted"
        assert await asyncio.wait_for(world.process.wait(), 3.6) == 0
        await world.start()
        await world.settled(2)

    run_alone(tmp_path, scenario, Endpoint("a", 1))


def test_a_damaged_state_directory_is_logged_and_survived(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        client = await world.client()
        for i in range(10):
            await client.put(f"m{i}", "note", 1)
        await world.kill()
        log = max((world.directory / "state").glob("*.log"), key=lambda path: path.stat().st_size)
        data = bytearray(log.read_bytes())
        data[len(data) // 2] ^= 0xFF
        log.write_bytes(bytes(data[:-7]))
        world.endpoints[0].manner = good
        await world.start()
        assert "journal_damage" in world.log()
        assert await (await world.client()).put("n1", "note", 1) == b"+OK\r\n"
        await world.settled(1)

    run_alone(tmp_path, scenario, Endpoint("a", 1, hang), judged=False)


def write_journal(directory: Path, name: str, taken: Taken) -> None:
    """Write the journal of a sender that died with one open message."""
    files = DirectoryStorage(World(directory).directory / "state", synced=False)
    writer = Writer(files, scan(files))
    writer.open()
    writer.add(Began(1.0, name), None)
    writer.add(taken, None)
    group = writer.next_group()
    assert group is not None
    writer.group_committed(group, writer.commit(group))
    files.close()


def test_a_state_directory_of_another_kind_of_sender_is_logged_and_survived(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        assert "journal_of_another" in world.log()
        assert await (await world.client()).put("n1", "note", 1) == b"+OK\r\n"
        await world.settled(2)
        assert [notice["ref"] for _, notice in world.discovery.notices] == ["theirs"], (
            "its notice is sent all the same"
        )

    write_journal(
        tmp_path,
        "office",
        Taken(1, "o", "theirs", "report", "bank", "", wall() + 9000.0, "a/b", "", b"x", b"n"),
    )
    run_alone(tmp_path, scenario, Endpoint("a", 1))


@pytest.mark.parametrize("version", [1, 2])
def test_a_message_of_an_older_format_keeps_its_idempotency_key(
    version: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(world: World) -> None:
        await world.settled(1)
        assert [(call.id, call.key) for call in world.endpoints[0].calls] == [("m1", "k9")]

    monkeypatch.setattr(frame, "UNKEYED_VERSION", version)
    taken = Taken(1, "relay", "m1", "order", "1", "k9", wall() + 9000.0, "a/b", "", b"x", b"n")
    state = World(tmp_path).directory / "state"
    state.mkdir(parents=True, exist_ok=True)
    (state / segment_name(1)).write_bytes(
        frame.encode_header(1, 1) + frame.encode_frame(1, Began(1.0, "n1")) + frame.encode_frame(2, taken)
    )
    run_alone(tmp_path, scenario, Endpoint("a", 1), judged=False)
