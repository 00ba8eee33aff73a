"""Signals to ``node`` before its handlers are set, during its shutdown, and while it exits."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from brassweir.lab.standins.platform import Endpoint, hang
from brassweir.lab.standins.relay_client import Client
from tests.relay.scenarios import run_scenario
from tests.relay.shortened import shortened
from tests.relay.world import World

SERVE_AFTER_SIGTERM = "brassweir.service.node:SERVE_SECONDS=0.4"


def signalled_at(moment: str, number: str) -> list[str]:
    return ["-m", "tests.relay.signalled", moment, number]


async def exit_code(world: World, within: float = 8.0) -> int:
    assert world.process is not None
    return await asyncio.wait_for(world.process.wait(), within)


@pytest.mark.parametrize("number", ["SIGTERM", "SIGINT"])
def test_a_signal_before_its_handler_is_set_shuts_down_in_order(tmp_path: Path, number: str) -> None:
    async def scenario(world: World) -> None:
        assert await exit_code(world) == 0
        assert world.log().count('"leaving"') == 1 and world.log().count('"stopped"') == 1

    world = World(tmp_path)
    world.program = signalled_at("import", number)
    asyncio.run(run_scenario(world, scenario, Endpoint("a", 1)))


def test_a_sighup_before_its_handler_is_set_reloads_later(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        assert world.log().count('"reloaded"') == 1
        assert await world.kill(signal.SIGTERM) == 0

    world = World(tmp_path)
    world.program = signalled_at("import", "SIGHUP")
    asyncio.run(run_scenario(world, scenario, Endpoint("a", 1)))


@pytest.mark.parametrize("number", ["SIGTERM", "SIGHUP"])
def test_a_signal_after_the_shutdown_changes_no_exit_code(tmp_path: Path, number: str) -> None:
    async def scenario(world: World) -> None:
        assert await world.kill(signal.SIGTERM) == 0
        assert world.log().count('"stopped"') == 1

    world = World(tmp_path)
    world.program = signalled_at("end", number)
    asyncio.run(run_scenario(world, scenario, Endpoint("a", 1)))


def test_signals_during_the_shutdown(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        client = await world.client()
        assert world.process is not None
        world.process.send_signal(signal.SIGTERM)
        assert await client.put("m1", "note", 1) == b"+OK\r\n"
        world.process.send_signal(signal.SIGTERM)
        (world.directory / "config.json").write_text("[" * 100_000)
        world.process.send_signal(signal.SIGHUP)
        assert await exit_code(world) == 0
        log = world.log()
        assert (
            log.count('"leaving"') == 1 and log.count('"stopped"') == 1 and log.count('"reload_refused"') == 1
        )
        assert b"" == await client.reader.read()

    world = World(tmp_path)
    world.program = shortened(SERVE_AFTER_SIGTERM)
    asyncio.run(run_scenario(world, scenario, Endpoint("a", 1)))


def test_with_failing_appends_a_shutdown_accepts_nothing_and_ends_in_time(
    tmp_path: Path,
) -> None:
    """It keeps retrying, refuses new messages meanwhile, and the next process delivers none of them."""

    async def scenario(world: World) -> None:
        client = await world.client()
        assert world.process is not None
        assert await client.put("m1", "note", 1) == b"+OK\r\n"
        await world.settled(1)
        world.process.send_signal(signal.SIGTERM)
        while '"leaving"' not in world.log():
            await asyncio.sleep(0.01)
        left_at = asyncio.get_running_loop().time()
        (world.directory / "broken").touch()
        with pytest.raises(TimeoutError):  # waits for the first write that fails
            await asyncio.wait_for(client.put("m2", "note", 1), 0.4)
        await client.close()
        for i in range(3, 9):
            other = await world.client()
            assert (await other.put(f"m{i}", "note", 1)).startswith(b"-BUSY"), "refused at once"
        assert await exit_code(world, 8.0) == 0
        assert asyncio.get_running_loop().time() - left_at < 6.0 + 1.0, (
            "the longest deadline and the shutdown"
        )
        assert world.log().count('"journal_stalled"') == 1 and '"journal_broken"' not in world.log()
        (world.directory / "broken").unlink()
        await world.start()
        await asyncio.sleep(0.5)
        assert world.endpoints[0].delivered == ["m1"], "only the accepted message is delivered"

    world = World(tmp_path)
    world.program = ["-m", "tests.relay.failing_appends", str(tmp_path / "broken")]
    asyncio.run(run_scenario(world, scenario, Endpoint("a", 1)))


def test_messages_submitted_during_the_shutdown_are_accepted_or_never_called(tmp_path: Path) -> None:
    """Clients submit until the end: every accepted message is delivered or reported, and no other was called."""

    async def scenario(world: World) -> None:
        clients = [await world.client() for _ in range(6)]
        replies: dict[str, bytes] = {}

        async def submit(number: int, client: Client) -> None:
            for i in range(10_000):
                ident = f"m{number}-{i}"
                replies[ident] = await client.put(ident, ("note", "pay")[i % 2], 1, 5000.0)
                if not replies[ident]:
                    return

        tasks = [asyncio.create_task(submit(number, client)) for number, client in enumerate(clients)]
        await asyncio.sleep(0.1)
        assert await world.kill(signal.SIGTERM) == 0
        await asyncio.gather(*tasks)
        accepted = [ident for ident, line in replies.items() if line == b"+OK\r\n"]
        called = {call.id for call in world.endpoints[0].calls}
        assert called <= set(accepted), "no call without an answer to the client"
        world.endpoints[0].manner = hang
        await world.start()
        await world.settled(len(accepted))

    world = World(tmp_path)
    world.program = shortened(SERVE_AFTER_SIGTERM)
    asyncio.run(run_scenario(world, scenario, Endpoint("a", 1)))


def test_it_has_a_single_thread(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        client = await world.client()
        assert await client.put("m1", "note", 1) == b"+OK\r\n"
        await world.settled(1)
        assert world.process is not None
        assert len(list(Path(f"/proc/{world.process.pid}/task").iterdir())) == 1

    asyncio.run(run_scenario(World(tmp_path), scenario, Endpoint("a", 1)))
