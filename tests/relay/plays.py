"""A day with one ``node``, and manners of endpoints that several tests use."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

from brassweir.lab.platform import Call, Endpoint, Manner, answer
from tests.relay.world import World

Play = Callable[[World], Awaitable[None]]


def play(folder: Path, what: Play, *endpoints: Endpoint, judged: bool = True) -> None:
    """Play one day. Where it is not judged by the rules, the day itself says what must hold."""
    async def run() -> None:
        world = World(folder)
        try:
            await world.open(*endpoints)
            await what(world)
        finally:
            await world.close(judged)

    asyncio.run(run())


def first(spoilt: Manner, then: Manner) -> Manner:
    """The first call meets the one, all others the other."""
    met: list[str] = []

    async def manner(call: Call, writer: asyncio.StreamWriter) -> None:
        met.append(call.id)
        await (spoilt if len(met) == 1 else then)(call, writer)

    return manner


GOOD = answer(200)
