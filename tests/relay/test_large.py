"""A node with 1,100 senders and 1,100 endpoints: guards against smaller limits anywhere on the way."""

from __future__ import annotations

import asyncio
from pathlib import Path

from brassweir.lab.standins.platform import Endpoint
from tests.relay.world import World

MANY = 1100


def test_the_last_of_1100_endpoints_is_served(tmp_path: Path) -> None:
    async def run() -> None:
        world, last = World(tmp_path), Endpoint("z-last", MANY)
        world.senders = MANY
        others = [
            {**last.entry(), "uid": f"s-{n:04}", "pod_group": n, "endpoint": f"127.0.0.1:{n}"}
            for n in range(1, MANY)
        ]
        try:
            world.discovery.entries.update({str(one["uid"]): one for one in others[:550]})
            await world.open(last)
            world.discovery.change(*others[550:])  # the other endpoints come by the watch
            client = await world.client()
            for i in range(6):
                assert (
                    await client.put(f"m{i}", ("note", "order", "pay")[i % 3], MANY, key=f"k{i}")
                    == b"+OK\r\n"
                )
            await world.settled(6)
            assert len(last.delivered) == 6 and world.discovery.notices == []
        finally:
            await world.close()

    asyncio.run(run())
