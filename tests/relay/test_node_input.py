"""``node`` whose clients' unprocessed input is over its limit: all are answered, in the time that they wait."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from brassweir.lab.standins.platform import Endpoint
from brassweir.lab.standins.relay_client import Client
from tests.relay.scenarios import run_scenario
from tests.relay.world import World

STALLED = 60  # clients that stop within a command; their parts are twice the limit
PATIENCE_SECONDS = 0.4  # after which a client without an answer gives up
NAMES = b"c=note,d=5000,dest=1"


def command(ident: str, size: int) -> bytes:
    return Client.command(b"MSG.PUT", b"0" * 16, ident.encode(), NAMES, b"x" * size)


@pytest.mark.parametrize("newcomers", [True, False])
def test_stalled_commands_that_hold_the_whole_limit_keep_nobody_waiting(
    tmp_path: Path, newcomers: bool
) -> None:
    """Guards against resets, and against a deadlock of commands that have come in part."""

    async def scenario(world: World) -> None:
        clients = [await world.client() for _ in range(STALLED)]
        if not newcomers:
            for number, client in enumerate(clients):
                assert (await client.ask(command(f"w{number}", 1)))[:1] in b"+-"
        whole = [command(f"s{number}", 65_536) for number in range(STALLED)]
        for client, data in zip(clients, whole, strict=True):
            client.writer.write(data[:60_000])
        await asyncio.sleep(1.2 * PATIENCE_SECONDS)
        usual = await world.client()
        for number in range(5):
            async with asyncio.timeout(PATIENCE_SECONDS):
                assert await usual.ask(command(f"u{number}", 65_536)) == b"+OK\r\n"
        for client, data in zip(clients, whole, strict=True):
            client.writer.write(data[60_000:] + Client.command(b"PING"))
        for client in clients:
            lines = [await asyncio.wait_for(client.reader.readline(), 2.0) for _ in range(2)]
            assert lines[0].startswith((b"+OK", b"-BUSY")) and lines[1] == b"+PONG\r\n"

    async def run() -> None:
        world = World(tmp_path)
        world.memory_mb = 32
        await run_scenario(world, scenario, Endpoint("a", 1), judged=False)

    asyncio.run(run())
