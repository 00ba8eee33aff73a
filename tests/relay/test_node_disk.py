"""A state directory that takes no writes for a while: ``node`` refuses new messages and ends the accepted ones."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from brassweir.lab.standins.platform import Endpoint, after
from tests.relay.failing_disk import begin_failing, end_failing
from tests.relay.scenarios import run_scenario
from tests.relay.world import World

WRITES = ("append", "create")
ALL_OPERATIONS = ("append", "create", "truncate", "rename", "remove")


async def submit(world: World, first: int, count: int) -> list[bytes]:
    """Submit messages of all classes, each on its own connection; return the replies, empty after a timeout."""

    async def submit_one(i: int) -> bytes:
        client = await world.client()
        cls = ("note", "order", "pay")[i % 3]
        try:
            line = await asyncio.wait_for(
                client.put(f"m{i}", cls, 1, 5000.0, key=f"k{i}" if cls == "order" else ""), 0.4
            )
        except TimeoutError:
            await client.close()
            return b""
        return line

    return await asyncio.gather(*map(submit_one, range(first, first + count)))


@pytest.mark.parametrize("steps", [WRITES, ALL_OPERATIONS], ids=["writes", "every step"])
@pytest.mark.parametrize("error", ["ENOSPC", "EIO"])
def test_writes_that_fail_for_a_while(tmp_path: Path, error: str, steps: tuple[str, ...]) -> None:
    async def scenario(world: World) -> None:
        assert world.process is not None
        accepted = [line for line in await submit(world, 0, 12) if line == b"+OK\r\n"]
        begin_failing(world.directory, error)
        refused: list[bytes] = []
        for i in range(15):
            refused += await submit(world, 100 + 3 * i, 3)
            await asyncio.sleep(0.1)
        assert world.process.returncode is None, "the process survives"
        assert b"+OK\r\n" not in refused and refused.count(b"") <= 3, refused
        assert sum(line.startswith(b"-BUSY") for line in refused) >= 40
        end_failing(world.directory)
        await asyncio.sleep(0.3)
        again = await submit(world, 1000, 12)
        assert again == [b"+OK\r\n"] * 12, world.log()[-2000:]
        await world.settled(len(accepted) + 12)
        assert "journal_stalled" in world.log() and "journal_goes_on" in world.log()

    world = World(tmp_path)
    world.program = ["-m", "tests.relay.failing_disk", *steps]
    asyncio.run(run_scenario(world, scenario, Endpoint("a", 1, after(0.02))))


def test_killed_while_writes_fail_it_ends_all_accepted_messages(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        accepted = [line for line in await submit(world, 0, 12) if line == b"+OK\r\n"]
        begin_failing(world.directory, "ENOSPC")
        await submit(world, 100, 6)
        await world.kill()
        end_failing(world.directory)
        await world.start()
        await world.settled(len(accepted))
        assert "journal_damage" not in world.log()

    world = World(tmp_path)
    world.program = ["-m", "tests.relay.failing_disk", *ALL_OPERATIONS]
    asyncio.run(run_scenario(world, scenario, Endpoint("a", 1, after(0.3))))


@pytest.mark.parametrize("error", ["ENOSPC", "EIO"])
def test_a_start_while_writes_fail_serves_accepted_messages_and_refuses_new_ones(
    tmp_path: Path, error: str
) -> None:
    async def scenario(world: World) -> None:
        assert await submit(world, 0, 12) == [b"+OK\r\n"] * 12
        await world.kill()
        begin_failing(world.directory, error)
        await world.start()
        refused = await submit(world, 100, 6)
        assert all(line.startswith(b"-BUSY") for line in refused), refused
        end_failing(world.directory)
        await asyncio.sleep(0.3)
        assert await submit(world, 1000, 6) == [b"+OK\r\n"] * 6
        await world.settled(18)
        assert "journal_damage" not in world.log()

    world = World(tmp_path)
    world.program = ["-m", "tests.relay.failing_disk", *ALL_OPERATIONS]
    asyncio.run(run_scenario(world, scenario, Endpoint("a", 1, after(0.3))))
