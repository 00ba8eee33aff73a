"""No call goes to an endpoint that started to drain while the sender or discovery was down (incident 39).

The platform counts a change as known once its agent has it, from the sender's first moment on or, after an outage of
the agent, from the agent's return on. Real processes.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from brassweir.lab.standins.platform import Endpoint, after, wall
from tests.relay.scenarios import run_alone
from tests.relay.world import World

GRACE = 300.0  # ms: 250 of the settings and 50 of slack
MESSAGES = 8


async def submit(world: World, count: int = MESSAGES, first: int = 0) -> None:
    """Submit messages of the safe and the unsafe class alternately."""
    client = await world.client()
    for i in range(first, first + count):
        assert await client.put(f"m{i}", ("note", "pay")[i % 2], 1, 5000.0) == b"+OK\r\n"


def late_calls(endpoint: Endpoint, changed_at: float) -> list[float]:
    """Calls that began later than the grace after the drain, as ms since the drain."""
    return [at - changed_at for at in endpoint.begun if at > changed_at + GRACE]


async def replace_endpoint(world: World) -> Endpoint:
    """Drain the only endpoint and add another one."""
    spare = Endpoint("b", 1)
    await spare.start()
    world.endpoints.append(spare)
    world.discovery.change(world.endpoints[0].entry("leaving"), spare.entry())
    return spare


@pytest.mark.parametrize("answers_after", [0.0, 0.5, 1.2])
def test_recovered_messages_wait_for_the_first_answer_of_the_watch(
    tmp_path: Path, answers_after: float
) -> None:
    """The endpoint drains while the sender is down; the configuration still names it ready."""

    async def scenario(world: World) -> None:
        await submit(world)
        await world.kill()
        await replace_endpoint(world)
        world.discovery.delay = answers_after
        await world.start()
        await world.settled(MESSAGES)
        assert [at for at in world.endpoints[0].begun if at > world.started] == [], world.log()[-3000:]

    run_alone(tmp_path, scenario, Endpoint("a", 1, after(0.4)))


def test_a_start_while_discovery_is_down_uses_the_last_list_received(tmp_path: Path) -> None:
    """The previous process knew of the drain; the configuration is older. Service continues."""

    async def scenario(world: World) -> None:
        spare = await replace_endpoint(world)
        await asyncio.sleep(0.2)
        changed_at = wall()
        await asyncio.sleep(GRACE / 1000.0)
        await submit(world)
        world.discovery.silent = True
        await world.kill()
        await world.start()
        await submit(world, first=MESSAGES)
        await world.settled(2 * MESSAGES)
        assert late_calls(world.endpoints[0], changed_at) == [], world.log()[-3000:]
        assert len(spare.delivered) >= MESSAGES

    run_alone(tmp_path, scenario, Endpoint("a", 1))


def test_a_change_at_the_return_of_discovery_takes_effect_within_the_grace(tmp_path: Path) -> None:
    """The agent is silent for a while; a change that it has at its return counts as known then."""

    async def scenario(world: World) -> None:
        await submit(world)
        world.discovery.silent = True
        world.discovery.cut()
        for i in range(1, 12):
            await submit(world, 2, first=MESSAGES + 2 * i)
            await asyncio.sleep(0.27)
        await replace_endpoint(world)
        world.discovery.silent = False
        changed_at = wall()
        for i in range(30):
            await submit(world, 1, first=100 + i)
            await asyncio.sleep(0.05)
        await world.settled(MESSAGES + 22 + 30)
        assert late_calls(world.endpoints[0], changed_at) == [], world.log()[-3000:]

    run_alone(tmp_path, scenario, Endpoint("a", 1))
