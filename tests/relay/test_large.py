"""A node told of 1,100 senders and 1,100 endpoints: nothing on its path ends at a smaller figure."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from brassweir.lab.platform import Endpoint
from tests.relay.world import World

MANY = 1100


def elsewhere(number: int) -> dict[str, Any]:
    """An endpoint that nobody sends to."""
    return {"uid": f"s-{number:04}", "endpoint": f"127.0.0.1:{number}", "pod_group": number, "state": "active", "az": "a",
            "model": "office", "capacity_hint": 40.0, "boot_ms": 0}


@pytest.mark.parametrize("by_watch", [False, True])
def test_the_last_of_eleven_hundred_is_served(tmp_path: Path, by_watch: bool) -> None:
    async def run() -> None:
        world = World(tmp_path)
        world.senders = MANY
        last = Endpoint("z-last", MANY)
        others = {one["uid"]: one for one in map(elsewhere, range(1, MANY))}
        try:
            if not by_watch:
                world.discovery.entries.update(others)
            await world.open(last)
            if by_watch:
                world.discovery.change(*others.values())
                await asyncio.sleep(0.3)
            client = await world.client()
            for i in range(6):
                assert await client.put(f"m{i}", ("note", "order", "pay")[i % 3], MANY, key=f"k{i}") == b"+OK\r\n"
            await world.settled(6)
            assert len(last.delivered) == 6 and world.discovery.notices == []
        finally:
            await world.close()

    asyncio.run(run())
