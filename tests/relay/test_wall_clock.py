"""A wall clock that steps while ``node`` is down does not change the time left of accepted messages."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from brassweir.lab.standins.platform import Endpoint, after, hang
from tests.relay.scenarios import run_alone
from tests.relay.world import World

HOUR = 3600.0
MESSAGES = 20


@pytest.mark.parametrize("step", [HOUR, -HOUR, 7.0, -7.0, 0.0])
def test_a_clock_step_while_it_is_down_shortens_no_deadline(tmp_path: Path, step: float) -> None:
    async def scenario(world: World) -> None:
        client = await world.client()
        for i in range(MESSAGES):
            assert await client.put(f"m{i}", "note", 1, 6000.0) == b"+OK\r\n"
        await world.kill()
        world.program = ["-m", "tests.relay.stepped_clock", str(step)]
        await world.start()
        await world.settled(MESSAGES)
        assert len(world.seen().delivered) >= MESSAGES and not world.discovery.notices

    run_alone(tmp_path, scenario, Endpoint("a", 1, after(0.05)))


@pytest.mark.parametrize("step", [-HOUR, 0.0])
def test_a_clock_set_back_while_it_is_down_extends_no_deadline(tmp_path: Path, step: float) -> None:
    """The message ends at its deadline, even if the wall clock was set back by an hour."""

    async def scenario(world: World) -> None:
        client = await world.client()
        assert await client.put("m0", "note", 1, 2500.0) == b"+OK\r\n"
        begun = asyncio.get_running_loop().time()
        await world.kill()
        world.program = ["-m", "tests.relay.stepped_clock", str(step)]
        await world.start()
        await world.settled(1)
        assert asyncio.get_running_loop().time() - begun < 2.8 and world.discovery.notices

    run_alone(tmp_path, scenario, Endpoint("a", 1, hang))
