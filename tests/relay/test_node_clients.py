"""``node`` and its clients over real sockets: bad input, floods, ids of open messages, full queues."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from brassweir.lab.standins.platform import Endpoint, good, hang
from brassweir.lab.standins.relay_client import Client
from tests.relay.scenarios import run_alone
from tests.relay.world import World

BAD = [
    b"GET / HTTP/1.1\r\n\r\n",
    b"*1\r\n$60000000\r\n" + b"x" * 100_000,
    b"*" + b"9" * 500,
    b"*1\r\n$-9\r\n",
    b"\x00" * 500,
    Client.command(b"MSG.PUT", b"0", b"x1", b"c=none,d=5,dest=1", b""),
    Client.command(b"MSG.PUT", b"0", b"x1", b"c=note,d=5,dest=99", b""),
    Client.command(b"MSG.PUT", b"0", b"", b"c=note,d=5,dest=1", b""),
    Client.command(b"MSG.PUT", b"0", b"x1", b"c=note,d=soon,dest=1", b""),
    Client.command(b"FLUSHALL"),
    b"*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0",
    b"",
]


@pytest.mark.parametrize("data", BAD)
def test_bad_input_gets_an_error_or_a_close_and_is_not_accepted(tmp_path: Path, data: bytes) -> None:
    async def scenario(world: World) -> None:
        client = await world.client()
        started = asyncio.get_running_loop().time()
        line = await client.ask(data)
        assert line == b"" or line.startswith(b"-ERR ")
        assert asyncio.get_running_loop().time() - started < 3.0
        usual = await world.client()
        assert await usual.put("m1", "note", 1) == b"+OK\r\n", "others are served"
        await world.settled(1)

    run_alone(tmp_path, scenario, Endpoint("a", 1))


def test_a_flood_of_silent_and_bad_clients_leaves_capacity_for_others(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        flood = [await asyncio.open_connection("127.0.0.1", world.port) for _ in range(220)]
        for _, writer in flood[::3]:
            writer.write(Client.command(b"MSG.PUT", b"0", b"", b"", b"") * 200)
        await asyncio.sleep(0.4)
        usual = await world.client()
        for i in range(10):
            assert await usual.put(f"m{i}", "pay", 1) == b"+OK\r\n"
        await world.settled(10)
        assert all(call.id.startswith("m") for call in world.endpoints[0].calls)
        for _, writer in flood:
            writer.transport.abort()

    run_alone(tmp_path, scenario, Endpoint("a", 1))


def test_clients_that_keep_sending_after_an_error_do_not_fill_the_memory(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        bad = Client.command(b"MSG.PUT", b"0", b"x", b"c=none", b"") * 5000
        flood = [await asyncio.open_connection("127.0.0.1", world.port) for _ in range(120)]
        for _, writer in flood:
            writer.write(bad)
        await asyncio.sleep(1.2)
        usual = await world.client()
        assert await usual.put("m1", "pay", 1) == b"+OK\r\n"
        lines = [json.loads(line) for line in world.log().splitlines() if '"belief"' in line]
        assert max(line["rss_mb"] for line in lines) - lines[0]["rss_mb"] < 12.0, "a tenth of the limit"
        await world.settled(1)
        for _, writer in flood:
            writer.transport.abort()

    run_alone(tmp_path, scenario, Endpoint("a", 1))


def test_the_id_of_an_open_message_is_refused_and_answers_keep_their_order(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        client, other = await world.client(), await world.client()
        assert await client.put("m1", "note", 1) == b"+OK\r\n"
        assert (
            await other.ask(Client.command(b"MSG.PUT", b"0", b"m1", b"c=note,d=900,dest=1", b"x"))
        ).startswith(b"-ERR")
        put = Client.command(b"MSG.PUT", b"0", b"m2", b"c=note,d=5000,dest=1", b"text")
        client.writer.write(put + Client.command(b"PING") + put)
        lines = [await asyncio.wait_for(client.reader.readline(), 5.0) for _ in range(3)]
        assert lines[:2] == [b"+OK\r\n", b"+PONG\r\n"] and lines[2].startswith(b"-ERR")
        world.endpoints[0].manner = good

    run_alone(tmp_path, scenario, Endpoint("a", 1, hang), judged=False)


def test_a_full_queue_is_busy(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        client = await world.client()
        lines = [await client.put(f"m{i}", "note", 1, 1500.0) for i in range(80)]
        assert lines[0] == b"+OK\r\n" and lines[-1].startswith(b"-BUSY")
        world.endpoints[0].manner = good
        await world.settled(sum(line == b"+OK\r\n" for line in lines))

    run_alone(tmp_path, scenario, Endpoint("a", 1, hang))
