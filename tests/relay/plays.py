"""Runs a scenario with one ``node`` and checks the platform's rules afterwards."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

from brassweir.lab.standins.platform import Call, Endpoint, Manner, answer
from tests.relay.world import World

Play = Callable[[World], Awaitable[None]]


async def played(world: World, what: Play, *endpoints: Endpoint, judged: bool = True) -> None:
    """Run a scenario. Without ``judged`` the platform's rules are not checked, only the scenario's own assertions."""
    try:
        await world.open(*endpoints)
        await what(world)
    finally:
        await world.close(judged)


def play(folder: Path, what: Play, *endpoints: Endpoint, judged: bool = True) -> None:
    """Run one scenario in a world and an event loop of its own."""

    async def run() -> None:
        await played(World(folder), what, *endpoints, judged=judged)

    asyncio.run(run())


def together(days: list[Callable[[], Awaitable[None]]]) -> list[BaseException | None]:
    """Run many scenarios, four at a time since each mostly waits. Return the exception of each, or None."""

    async def run() -> list[BaseException | None]:
        room = asyncio.Semaphore(4)

        async def one(day: Callable[[], Awaitable[None]]) -> None:
            async with room:
                await day()

        return await asyncio.gather(*map(one, days), return_exceptions=True)

    return asyncio.run(run())


def first(spoilt: Manner, then: Manner) -> Manner:
    """Handle the first call by ``spoilt`` and all others by ``then``."""
    met: list[str] = []

    async def manner(call: Call, writer: asyncio.StreamWriter) -> None:
        met.append(call.id)
        await (spoilt if len(met) == 1 else then)(call, writer)

    return manner


GOOD = answer(200)
