"""The server's limits against raw sockets: time, bytes held, connections, and a drain."""

from __future__ import annotations

import asyncio

import pytest

from brassweir.net.limits import Limits
from brassweir.net.server import Server
from tests.conftest import run
from tests.net.server_client import SMALL, Seen, post, talk


@pytest.mark.parametrize("raw", [b"POST / HT", b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc"])
def test_slow_peers_have_their_time_and_no_more(raw: bytes) -> None:
    seen = Seen()
    assert run(talk(raw, seen)).startswith(b"HTTP/1.1 408")
    assert seen.complaints[0][0] == 408


def test_a_byte_now_and_then_does_not_stretch_the_time() -> None:
    async def work() -> tuple[list[tuple[int, str]], bytes]:
        seen = Seen()
        server = Server(seen, SMALL, seen.complain)
        reader, writer = await asyncio.open_connection("127.0.0.1", await server.listen("127.0.0.1", 0))
        raw = iter(b"POST / HTTP/1.1\r\nX: " + b"y" * 500)
        while not seen.complaints:
            writer.write(bytes([next(raw)]))
            await asyncio.sleep(0.02)
        return seen.complaints, await reader.read()

    complaints, answer = run(work(), 5.0)
    assert complaints[0][0] == 408 and answer.startswith(b"HTTP/1.1 408")


def test_idle_connections_close_without_a_word() -> None:
    assert run(talk(b"", Seen())) == b""


def test_bodies_over_all_connections_stay_within_the_budget_and_all_are_served() -> None:
    async def work() -> tuple[int, int]:
        seen = Seen()
        seen.gate = asyncio.Event()
        limits = Limits(head_bytes=2000, body_bytes=5000, buffered_bytes=12_000, body_ms=5000.0)
        server = Server(seen, limits)
        port = await server.listen("127.0.0.1", 0)

        async def one() -> bytes:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            head, body = post(b"x" * 4500).split(b"\r\n\r\n", 1)
            writer.write(head + b"\r\n\r\n" + body[:2500])
            await asyncio.sleep(0.05)
            writer.write(body[2500:])
            return await reader.read()

        tasks = [asyncio.create_task(one()) for _ in range(12)]
        await asyncio.sleep(0.3)
        most = server.bodies.buffered
        assert len(seen.requests) >= 2, "bodies that are each half here must not wait for one another"
        seen.gate.set()
        answers = await asyncio.gather(*tasks)
        return most, sum(answer.endswith(b"x" * 4500) for answer in answers)

    most, served = run(work())
    assert served == 12
    assert 12_000 <= most <= 12_000 + 12 * 2500, (
        "each connection adds at most what had come when it was stopped"
    )


def test_a_drain_ends_idle_connections_and_lets_answers_go_out() -> None:
    async def work() -> tuple[bytes, bytes]:
        seen = Seen()
        seen.gate = asyncio.Event()
        server = Server(seen, SMALL)
        port = await server.listen("127.0.0.1", 0)
        idle = await asyncio.open_connection("127.0.0.1", port)
        busy = await asyncio.open_connection("127.0.0.1", port)
        busy[1].write(post(b"open", close=False))
        await asyncio.sleep(0.05)
        server.drain()
        ended = await idle[0].read()
        seen.gate.set()
        return ended, await busy[0].read()

    ended, answer = run(work())
    assert ended == b"" and b"Connection: close" in answer and answer.endswith(b"open")


def test_too_many_connections_are_turned_away_and_room_comes_back() -> None:
    async def work() -> tuple[bytes, bytes]:
        server = Server(Seen(), Limits(connections=2))
        port = await server.listen("127.0.0.1", 0)
        held = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
        await asyncio.sleep(0.02)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(post())
            first = await reader.read()
        except ConnectionError:
            first = b""
        for _, one in held:
            one.close()
        await asyncio.sleep(0.05)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(post())
        return first, await reader.read()

    first, second = run(work())
    assert first == b"" and second.startswith(b"HTTP/1.1 200")
