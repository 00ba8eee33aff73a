"""Drains that come while the endpoint list is unconfirmed: no call begins on outdated knowledge. Real processes."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from brassweir.lab.standins.discovery import Discovery
from brassweir.lab.standins.platform import Endpoint, cut, wall
from tests.relay.scenarios import run_alone
from tests.relay.test_list_restarts import MESSAGES, late_calls, replace_endpoint, submit
from tests.relay.world import World

MESSAGE_COUNT = 40  # messages, one every 50 ms


async def submit_steadily(world: World, during: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Submit messages steadily while ``during`` runs, and wait until all have ended."""
    disturbance = asyncio.get_running_loop().create_task(during())
    client = await world.client()
    for i in range(MESSAGE_COUNT):
        assert await client.put(f"s{i}", ("note", "pay")[i % 2], 1, 5000.0) == b"+OK\r\n"
        await asyncio.sleep(0.05)
    await disturbance
    await world.settled(MESSAGE_COUNT)


@pytest.mark.parametrize("answers_after", [0.0, 0.3, 1.0])
def test_a_drain_that_comes_as_the_watch_is_cut(tmp_path: Path, answers_after: float) -> None:
    """The agent is slow to answer the next request: calls wait for the answer, and none is lost."""

    async def scenario(world: World) -> None:
        changed_at = [0.0]

        async def disturb() -> None:
            await asyncio.sleep(0.3)
            world.discovery.delay = answers_after
            world.discovery.cut()
            await asyncio.sleep(0.0)
            await replace_endpoint(world)
            changed_at[0] = wall()

        await submit_steadily(world, disturb)
        assert late_calls(world.endpoints[0], changed_at[0]) == [], world.log()[-3000:]
        assert len(world.seen().delivered) == MESSAGE_COUNT

    run_alone(tmp_path, scenario, Endpoint("a", 1))


def test_service_goes_on_while_discovery_is_down(tmp_path: Path) -> None:
    """The agent stays silent: after the outage timeout the last list received is used, and nothing is lost."""

    async def scenario(world: World) -> None:
        async def disturb() -> None:
            world.discovery.silent = True
            world.discovery.cut()

        await submit_steadily(world, disturb)
        assert len(world.seen().delivered) == MESSAGE_COUNT
        assert '"unreachable"' in world.log()

    run_alone(tmp_path, scenario, Endpoint("a", 1))


@pytest.mark.parametrize("refuses", [False, True])
def test_a_start_without_an_agent_serves_by_the_configured_list(tmp_path: Path, refuses: bool) -> None:
    async def scenario(world: World) -> None:
        await world.kill()
        world.discovery.silent = True
        if refuses:  # notices are refused too: every message has to be delivered
            await world.discovery.stop()
        await world.start()
        await submit(world)
        await world.settled(MESSAGES)
        assert len(world.endpoints[0].delivered) == MESSAGES

    run_alone(tmp_path, scenario, Endpoint("a", 1))


@pytest.mark.parametrize("manner", ["answers", "slow", "silent"])
def test_sighup_moves_the_list_under_a_drain(tmp_path: Path, manner: str) -> None:
    """The new address reports the drain. While it does not answer, the watch at the old one still counts."""

    async def scenario(world: World) -> None:
        assert world.process is not None
        process, other = world.process, Discovery()
        await other.start()
        other.rev, other.entries = 1, dict(world.discovery.entries)
        other.delay, other.silent = (1.0 if manner == "slow" else 0.0), manner == "silent"
        changed_at = [0.0]

        async def disturb() -> None:
            await asyncio.sleep(0.3)
            world.write(other)
            process.send_signal(signal.SIGHUP)
            if manner == "silent":
                await asyncio.sleep(0.2)
                await replace_endpoint(world)
            else:
                spare = Endpoint("b", 1)
                await spare.start()
                world.endpoints.append(spare)
                other.change(world.endpoints[0].entry("leaving"), spare.entry())
            changed_at[0] = wall() + other.delay * 1000.0

        try:
            await submit_steadily(world, disturb)
            assert late_calls(world.endpoints[0], changed_at[0]) == [], world.log()[-3000:]
            assert len(world.seen().delivered) == MESSAGE_COUNT
        finally:
            await other.stop()

    run_alone(tmp_path, scenario, Endpoint("a", 1))


def test_a_blocked_process_during_a_drain(tmp_path: Path) -> None:
    """The process is stopped for 0.15 s; the change waits in its socket when it continues."""

    async def scenario(world: World) -> None:
        assert world.process is not None
        process = world.process
        changed_at = [0.0]

        async def disturb() -> None:
            await asyncio.sleep(0.3)
            process.send_signal(signal.SIGSTOP)
            await replace_endpoint(world)
            changed_at[0] = wall()
            await asyncio.sleep(0.15)
            process.send_signal(signal.SIGCONT)

        await submit_steadily(world, disturb)
        assert late_calls(world.endpoints[0], changed_at[0]) == []

    run_alone(tmp_path, scenario, Endpoint("a", 1))


def test_retries_do_not_go_to_a_draining_endpoint(tmp_path: Path) -> None:
    """The endpoint breaks every call, so that retries are due all the time while it drains."""

    async def scenario(world: World) -> None:
        client = await world.client()
        for i in range(10):
            assert await client.put(f"m{i}", "note", 1, 5000.0) == b"+OK\r\n"
        await asyncio.sleep(0.3)
        spare = await replace_endpoint(world)
        changed_at = wall()
        await world.settled(10)
        assert late_calls(world.endpoints[0], changed_at) == [] and spare.delivered

    run_alone(tmp_path, scenario, Endpoint("a", 1, cut))
