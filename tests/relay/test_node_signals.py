"""Signals to ``node`` before its handlers are set, during its shutdown, and while it exits."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from brassweir.lab.standins.platform import Endpoint, hang
from brassweir.lab.standins.relay_client import Client
from tests.relay.plays import played
from tests.relay.quicker import program
from tests.relay.world import World

SERVES_ON = "brassweir.service.node:SERVES_ON=0.4"


def at(moment: str, number: str) -> list[str]:
    return ["-m", "tests.relay.signalled", moment, number]


async def ended(world: World, within: float = 8.0) -> int:
    assert world.process is not None
    return await asyncio.wait_for(world.process.wait(), within)


@pytest.mark.parametrize("number", ["SIGTERM", "SIGINT"])
def test_told_to_end_before_it_can_hear_it_ends_as_planned(tmp_path: Path, number: str) -> None:
    async def day(world: World) -> None:
        assert await ended(world) == 0
        assert world.log().count('"leaving"') == 1 and world.log().count('"stopped"') == 1

    world = World(tmp_path)
    world.program = at("import", number)
    asyncio.run(played(world, day, Endpoint("a", 1)))


def test_told_to_reload_before_it_can_hear_it_reloads_once_it_can(tmp_path: Path) -> None:
    async def day(world: World) -> None:
        assert world.log().count('"reloaded"') == 1
        assert await world.kill(signal.SIGTERM) == 0

    world = World(tmp_path)
    world.program = at("import", "SIGHUP")
    asyncio.run(played(world, day, Endpoint("a", 1)))


@pytest.mark.parametrize("number", ["SIGTERM", "SIGHUP"])
def test_a_signal_behind_the_end_changes_no_exit_code(tmp_path: Path, number: str) -> None:
    async def day(world: World) -> None:
        assert await world.kill(signal.SIGTERM) == 0
        assert world.log().count('"stopped"') == 1

    world = World(tmp_path)
    world.program = at("end", number)
    asyncio.run(played(world, day, Endpoint("a", 1)))


def test_signals_while_it_leaves(tmp_path: Path) -> None:
    async def day(world: World) -> None:
        client = await world.client()
        assert world.process is not None
        world.process.send_signal(signal.SIGTERM)
        assert await client.put("m1", "note", 1) == b"+OK\r\n"
        world.process.send_signal(signal.SIGTERM)
        (world.folder / "config.json").write_text("[" * 100_000)
        world.process.send_signal(signal.SIGHUP)
        assert await ended(world) == 0
        log = world.log()
        assert (
            log.count('"leaving"') == 1 and log.count('"stopped"') == 1 and log.count('"reload_refused"') == 1
        )
        assert b"" == await client.reader.read()

    world = World(tmp_path)
    world.program = program(SERVES_ON)
    asyncio.run(played(world, day, Endpoint("a", 1)))


def test_a_journal_that_takes_no_write_while_it_leaves_promises_nothing_and_ends_in_its_time(
    tmp_path: Path,
) -> None:
    """It keeps retrying, refuses new messages meanwhile, and the next process delivers none of them."""

    async def day(world: World) -> None:
        client = await world.client()
        assert world.process is not None
        assert await client.put("m1", "note", 1) == b"+OK\r\n"
        await world.settled(1)
        world.process.send_signal(signal.SIGTERM)
        while '"leaving"' not in world.log():
            await asyncio.sleep(0.01)
        left = asyncio.get_running_loop().time()
        (world.folder / "broken").touch()
        with pytest.raises(TimeoutError):  # waits for the first write that fails
            await asyncio.wait_for(client.put("m2", "note", 1), 0.4)
        await client.close()
        for i in range(3, 9):
            other = await world.client()
            assert (await other.put(f"m{i}", "note", 1)).startswith(b"-BUSY"), "refused at once"
        assert await ended(world, 8.0) == 0
        assert asyncio.get_running_loop().time() - left < 6.0 + 1.0, "the longest deadline and the shutdown"
        assert world.log().count('"journal_stalled"') == 1 and '"journal_broken"' not in world.log()
        (world.folder / "broken").unlink()
        await world.start()
        await asyncio.sleep(0.5)
        assert world.endpoints[0].delivered == ["m1"], "only the accepted message is delivered"

    world = World(tmp_path)
    world.program = ["-m", "tests.relay.breaking", str(tmp_path / "broken")]
    asyncio.run(played(world, day, Endpoint("a", 1)))


def test_what_is_handed_in_up_to_the_end_is_taken_on_and_answered_or_neither(tmp_path: Path) -> None:
    """Clients submit until the end: every accepted message is delivered or reported, and no other was called."""

    async def day(world: World) -> None:
        clients = [await world.client() for _ in range(6)]
        told: dict[str, bytes] = {}

        async def hands_in(number: int, client: Client) -> None:
            for i in range(10_000):
                ident = f"m{number}-{i}"
                told[ident] = await client.put(ident, ("note", "pay")[i % 2], 1, 5000.0)
                if not told[ident]:
                    return

        going = [asyncio.create_task(hands_in(number, client)) for number, client in enumerate(clients)]
        await asyncio.sleep(0.1)
        assert await world.kill(signal.SIGTERM) == 0
        await asyncio.gather(*going)
        taken = [ident for ident, line in told.items() if line == b"+OK\r\n"]
        called = {call.id for call in world.endpoints[0].calls}
        assert called <= set(taken), "no call without an answer to the client"
        world.endpoints[0].manner = hang
        await world.start()
        await world.settled(len(taken))

    world = World(tmp_path)
    world.program = program(SERVES_ON)
    asyncio.run(played(world, day, Endpoint("a", 1)))


def test_it_has_one_thread_so_that_no_other_can_take_a_signal(tmp_path: Path) -> None:
    async def day(world: World) -> None:
        client = await world.client()
        assert await client.put("m1", "note", 1) == b"+OK\r\n"
        await world.settled(1)
        assert world.process is not None
        assert len(list(Path(f"/proc/{world.process.pid}/task").iterdir())) == 1

    asyncio.run(played(World(tmp_path), day, Endpoint("a", 1)))
