"""Runs a scenario with one ``node`` and checks the platform's rules afterwards."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

from brassweir.lab.standins.platform import Call, Endpoint, Manner, answer
from tests.relay.world import World

Scenario = Callable[[World], Awaitable[None]]


async def run_scenario(world: World, scenario: Scenario, *endpoints: Endpoint, judged: bool = True) -> None:
    """Run a scenario. Without ``judged`` the platform's rules are not checked, only the scenario's own assertions."""
    try:
        await world.open(*endpoints)
        await scenario(world)
    finally:
        await world.close(judged)


def run_alone(directory: Path, scenario: Scenario, *endpoints: Endpoint, judged: bool = True) -> None:
    """Run one scenario in a world and an event loop of its own."""

    async def run() -> None:
        await run_scenario(World(directory), scenario, *endpoints, judged=judged)

    asyncio.run(run())


def run_all(scenarios: list[Callable[[], Awaitable[None]]]) -> list[BaseException | None]:
    """Run many scenarios, four at a time since each mostly waits. Return the exception of each, or None."""

    async def run() -> list[BaseException | None]:
        semaphore = asyncio.Semaphore(4)

        async def run_one(scenario: Callable[[], Awaitable[None]]) -> None:
            async with semaphore:
                await scenario()

        return await asyncio.gather(*map(run_one, scenarios), return_exceptions=True)

    return asyncio.run(run())


def first_then(initial: Manner, then: Manner) -> Manner:
    """Handle the first call by ``initial`` and all others by ``then``."""
    calls: list[str] = []

    async def manner(call: Call, writer: asyncio.StreamWriter) -> None:
        calls.append(call.id)
        await (initial if len(calls) == 1 else then)(call, writer)

    return manner


GOOD = answer(200)
