"""``node`` over real sockets: the endpoint list, its watch, and notices."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
from pathlib import Path

import pytest

from brassweir.lab.standins.discovery import Discovery
from brassweir.lab.standins.platform import Endpoint, cut
from tests.relay.scenarios import run_alone, run_scenario
from tests.relay.shortened import SILENCE_TIMEOUT, shortened
from tests.relay.world import World


def test_drains_and_new_endpoints_take_effect(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        old, new = world.endpoints
        client = await world.client()
        assert await client.put("m1", "note", 1) == b"+OK\r\n"
        await world.settled(1)
        assert (await client.put("x", "note", 2)).startswith(b"-ERR"), "not listed yet"
        world.discovery.change(old.entry("leaving"), new.entry())
        await asyncio.sleep(0.3)
        before = len(old.calls)
        for i in range(5):
            assert await client.put(f"n{i}", "pay", 1) == b"+OK\r\n"
        await world.settled(6)
        assert len(old.calls) == before and len(new.calls) == 5
        world.discovery.change({**old.entry(), "state": "left"})
        await asyncio.sleep(0.2)

    async def run() -> None:
        world = World(tmp_path)
        new = Endpoint("b", 1)
        try:
            await new.start()
            await world.open(Endpoint("a", 1))
            world.endpoints.append(new)
            await scenario(world)
        finally:
            await world.close()

    asyncio.run(run())


@pytest.mark.parametrize("failure", ["cut", "garbled", "silent"])
def test_a_failed_watch_is_reopened_from_the_last_version(tmp_path: Path, failure: str) -> None:
    async def scenario(world: World) -> None:
        discovery = world.discovery
        await asyncio.sleep(0.2)
        assert discovery.asked == [1]
        if failure == "cut":
            discovery.cut()
        elif failure == "garbled":
            discovery.say(b'{"rev": 5, "all": true, "targets": [{"uid": "a"')
        for _ in range(300):  # the stand-in sends no empty lines, so that the watch times out
            if len(discovery.asked) > 1:
                break
            await asyncio.sleep(0.02)
        assert discovery.asked[:2] == [1, 1]
        discovery.change(world.endpoints[0].entry("leaving"))
        await asyncio.sleep(0.2)
        client = await world.client()
        assert await client.put("m1", "note", 1, 400.0) in (b"+OK\r\n", b"-BUSY\r\n")
        await asyncio.sleep(0.9)
        assert world.endpoints[0].calls == []

    world = World(tmp_path)
    if failure == "silent":
        world.program = shortened(SILENCE_TIMEOUT)
    asyncio.run(run_scenario(world, scenario, Endpoint("a", 1)))


def test_sighup_moves_the_list_and_notices_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        assert world.process is not None
        other = Discovery()
        await other.start()
        other.rev, other.entries = 1, dict(world.discovery.entries)
        (world.directory / "config.json").write_text("{")
        world.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        assert "reload_refused" in world.log() and other.asked == []
        world.write(other)
        world.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        assert other.asked == [1] and not world.discovery.watches
        client = await world.client()
        assert await client.put("m1", "pay", 1, 2500.0) == b"+OK\r\n"
        for _ in range(300):
            if other.notices:
                break
            await asyncio.sleep(0.02)
        assert [notice["ref"] for _, notice in other.notices] == ["m1"]
        world.discovery.notices += other.notices
        await other.stop()

    run_alone(tmp_path, scenario, Endpoint("a", 1, cut))


def test_a_list_that_is_behind_undoes_no_drain(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        discovery, endpoint = world.discovery, world.endpoints[0]
        await asyncio.sleep(0.2)
        for _ in range(3):
            discovery.change(endpoint.entry("leaving"))
        await asyncio.sleep(0.2)
        discovery.say(json.dumps({"rev": 2, "all": True, "targets": [endpoint.entry()]}).encode())
        await asyncio.sleep(0.2)
        client = await world.client()
        await client.put("m1", "note", 1, 500.0)
        await asyncio.sleep(0.9)
        assert endpoint.calls == [] and "list_behind" in world.log()

    run_alone(tmp_path, scenario, Endpoint("a", 1))


def test_an_unreadable_notice_blocks_no_other(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        world.discovery.status, world.discovery.refuses = 500, b"m2"
        client = await world.client()
        for i in range(5):
            assert await client.put(f"m{i}", "pay", 1, 3000.0) == b"+OK\r\n"
        await asyncio.sleep(0.4)
        world.discovery.status = 204
        for _ in range(200):
            if len(world.discovery.notices) >= 4:
                break
            await asyncio.sleep(0.02)
        assert sorted(notice["ref"] for _, notice in world.discovery.notices) == ["m0", "m1", "m3", "m4"]
        assert "notice_unreadable" in world.log()

    run_alone(tmp_path, scenario, Endpoint("a", 1, cut), judged=False)


def test_notices_outlast_a_platform_that_does_not_answer(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        world.discovery.status = 500
        client = await world.client()
        assert await client.put("m1", "pay", 1, 3000.0) == b"+OK\r\n"
        await asyncio.sleep(0.5)
        assert world.discovery.notices == []
        world.discovery.status = 204
        await world.settled(1)

    run_alone(tmp_path, scenario, Endpoint("a", 1, cut))


def test_idle_clients_leave_descriptors_for_the_list_notices_calls_and_the_journal(tmp_path: Path) -> None:
    """The descriptor limit is that of the configuration, and hundreds of idle clients connect."""

    async def scenario(world: World) -> None:
        assert world.process is not None
        client = await world.client()
        assert await client.put("first", "note", 2) == b"+OK\r\n"  # an idle connection is closed for it
        resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, (256, 256))  # as configured
        idle = [await asyncio.open_connection("127.0.0.1", world.port) for _ in range(400)]
        world.discovery.cut()
        for _ in range(100):
            if len(world.discovery.asked) > 1:
                break
            await asyncio.sleep(0.01)
        assert len(world.discovery.asked) == 2
        for i in range(40):
            assert await client.put(f"m{i}", "note" if i % 2 else "pay", 1 + i % 2, 2500.0) == b"+OK\r\n"
        await world.settled(41)
        assert len(world.discovery.notices) == 20 and len(world.endpoints[1].delivered) == 21
        assert "open files" not in world.log()
        for _, writer in idle:
            writer.close()

    run_alone(tmp_path, scenario, Endpoint("a", 1, cut), Endpoint("b", 2))
