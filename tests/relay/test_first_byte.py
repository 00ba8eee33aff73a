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
from tests.relay.plays import play
from tests.relay.test_list_restarts import MESSAGES, late, replaced, take
from tests.relay.world import World

STEADY = 40  # messages, one every 50 ms


async def steady(world: World, during: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Submit messages steadily while ``during`` runs, and wait until all have ended."""
    happening = asyncio.get_running_loop().create_task(during())
    client = await world.client()
    for i in range(STEADY):
        assert await client.put(f"s{i}", ("note", "pay")[i % 2], 1, 5000.0) == b"+OK\r\n"
        await asyncio.sleep(0.05)
    await happening
    await world.settled(STEADY)


@pytest.mark.parametrize("answers_after", [0.0, 0.3, 1.0])
def test_a_drain_that_comes_as_the_watch_is_cut(tmp_path: Path, answers_after: float) -> None:
    """The agent is slow to answer the next request: calls wait for the answer, and none is lost."""

    async def day(world: World) -> None:
        told = [0.0]

        async def happens() -> None:
            await asyncio.sleep(0.3)
            world.discovery.delay = answers_after
            world.discovery.cut()
            await asyncio.sleep(0.0)
            await replaced(world)
            told[0] = wall()

        await steady(world, happens)
        assert late(world.endpoints[0], told[0]) == [], world.log()[-3000:]
        assert len(world.seen().delivered) == STEADY

    play(tmp_path, day, Endpoint("a", 1))


def test_service_goes_on_while_discovery_is_down(tmp_path: Path) -> None:
    """The agent stays silent: after the outage timeout the last list received is used, and nothing is lost."""

    async def day(world: World) -> None:
        async def happens() -> None:
            world.discovery.silent = True
            world.discovery.cut()

        await steady(world, happens)
        assert len(world.seen().delivered) == STEADY
        assert '"unreachable"' in world.log()

    play(tmp_path, day, Endpoint("a", 1))


@pytest.mark.parametrize("refuses", [False, True])
def test_a_start_without_an_agent_serves_by_the_configured_list(tmp_path: Path, refuses: bool) -> None:
    async def day(world: World) -> None:
        await world.kill()
        world.discovery.silent = True
        if refuses:  # notices are refused too: every message has to be delivered
            await world.discovery.stop()
        await world.start()
        await take(world)
        await world.settled(MESSAGES)
        assert len(world.endpoints[0].delivered) == MESSAGES

    play(tmp_path, day, Endpoint("a", 1))


@pytest.mark.parametrize("manner", ["answers", "slow", "silent"])
def test_sighup_moves_the_list_under_a_drain(tmp_path: Path, manner: str) -> None:
    """The new address reports the drain. While it does not answer, the watch at the old one still counts."""

    async def day(world: World) -> None:
        assert world.process is not None
        process, other = world.process, Discovery()
        await other.start()
        other.rev, other.entries = 1, dict(world.discovery.entries)
        other.delay, other.silent = (1.0 if manner == "slow" else 0.0), manner == "silent"
        told = [0.0]

        async def happens() -> None:
            await asyncio.sleep(0.3)
            world.write(other)
            process.send_signal(signal.SIGHUP)
            if manner == "silent":
                await asyncio.sleep(0.2)
                await replaced(world)
            else:
                spare = Endpoint("b", 1)
                await spare.start()
                world.endpoints.append(spare)
                other.change(world.endpoints[0].entry("leaving"), spare.entry())
            told[0] = wall() + other.delay * 1000.0

        try:
            await steady(world, happens)
            assert late(world.endpoints[0], told[0]) == [], world.log()[-3000:]
            assert len(world.seen().delivered) == STEADY
        finally:
            await other.stop()

    play(tmp_path, day, Endpoint("a", 1))


def test_a_loop_held_up_over_a_drain(tmp_path: Path) -> None:
    """The process is stopped for 0.15 s; the change waits in its socket when it continues."""

    async def day(world: World) -> None:
        assert world.process is not None
        process = world.process
        told = [0.0]

        async def happens() -> None:
            await asyncio.sleep(0.3)
            process.send_signal(signal.SIGSTOP)
            await replaced(world)
            told[0] = wall()
            await asyncio.sleep(0.15)
            process.send_signal(signal.SIGCONT)

        await steady(world, happens)
        assert late(world.endpoints[0], told[0]) == []

    play(tmp_path, day, Endpoint("a", 1))


def test_retries_do_not_go_back_to_an_endpoint_that_was_told_off(tmp_path: Path) -> None:
    """The endpoint breaks every call, so that retries are due all the time while it drains."""

    async def day(world: World) -> None:
        client = await world.client()
        for i in range(10):
            assert await client.put(f"m{i}", "note", 1, 5000.0) == b"+OK\r\n"
        await asyncio.sleep(0.3)
        spare = await replaced(world)
        told = wall()
        await world.settled(10)
        assert late(world.endpoints[0], told) == [] and spare.delivered

    play(tmp_path, day, Endpoint("a", 1, cut))
