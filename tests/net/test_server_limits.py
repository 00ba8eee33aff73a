"""The server's limits against raw sockets: timeouts, buffered bytes, connections, and draining."""

from __future__ import annotations

import asyncio

import pytest

from brassweir.net.limits import Limits
from brassweir.net.server import Server
from tests.conftest import run
from tests.net.server_client import SMALL_LIMITS, RecordingHandler, exchange, post


@pytest.mark.parametrize("raw", [b"POST / HT", b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc"])
def test_slow_requests_time_out(raw: bytes) -> None:
    handler = RecordingHandler()
    assert run(exchange(raw, handler)).startswith(b"HTTP/1.1 408")
    assert handler.errors[0][0] == 408


def test_single_bytes_do_not_extend_the_head_timeout() -> None:
    async def work() -> tuple[list[tuple[int, str]], bytes]:
        handler = RecordingHandler()
        server = Server(handler, SMALL_LIMITS, handler.report_error)
        reader, writer = await asyncio.open_connection("127.0.0.1", await server.listen("127.0.0.1", 0))
        raw = iter(b"POST / HTTP/1.1\r\nX: " + b"y" * 500)
        while not handler.errors:
            writer.write(bytes([next(raw)]))
            await asyncio.sleep(0.02)
        return handler.errors, await reader.read()

    errors, answer = run(work(), 5.0)
    assert errors[0][0] == 408 and answer.startswith(b"HTTP/1.1 408")


def test_idle_connections_are_closed_without_a_response() -> None:
    assert run(exchange(b"", RecordingHandler())) == b""


def test_bodies_of_all_connections_stay_within_the_budget_and_all_are_served() -> None:
    async def work() -> tuple[int, int]:
        handler = RecordingHandler()
        handler.release = asyncio.Event()
        limits = Limits(head_bytes=2000, body_bytes=5000, buffered_bytes=12_000, body_ms=5000.0)
        server = Server(handler, limits)
        port = await server.listen("127.0.0.1", 0)

        async def send_in_halves() -> bytes:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            head, body = post(b"x" * 4500).split(b"\r\n\r\n", 1)
            writer.write(head + b"\r\n\r\n" + body[:2500])
            await asyncio.sleep(0.05)
            writer.write(body[2500:])
            return await reader.read()

        tasks = [asyncio.create_task(send_in_halves()) for _ in range(12)]
        await asyncio.sleep(0.3)
        buffered = server.body_budget.buffered_bytes
        assert len(handler.requests) >= 2, "half-received bodies must not wait for one another"
        handler.release.set()
        answers = await asyncio.gather(*tasks)
        return buffered, sum(answer.endswith(b"x" * 4500) for answer in answers)

    buffered, served = run(work())
    assert served == 12
    assert 12_000 <= buffered <= 12_000 + 12 * 2500, (
        "each connection exceeds the budget by at most what it had received when paused"
    )


def test_drain_closes_idle_connections_and_sends_pending_responses() -> None:
    async def work() -> tuple[bytes, bytes]:
        handler = RecordingHandler()
        handler.release = asyncio.Event()
        server = Server(handler, SMALL_LIMITS)
        port = await server.listen("127.0.0.1", 0)
        idle = await asyncio.open_connection("127.0.0.1", port)
        busy = await asyncio.open_connection("127.0.0.1", port)
        busy[1].write(post(b"open", close=False))
        await asyncio.sleep(0.05)
        server.drain()
        ended = await idle[0].read()
        handler.release.set()
        return ended, await busy[0].read()

    ended, answer = run(work())
    assert ended == b"" and b"Connection: close" in answer and answer.endswith(b"open")


def test_connections_above_the_limit_are_rejected_until_others_close() -> None:
    async def work() -> tuple[bytes, bytes]:
        server = Server(RecordingHandler(), Limits(connections=2))
        port = await server.listen("127.0.0.1", 0)
        open_connections = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
        await asyncio.sleep(0.02)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(post())
            first = await reader.read()
        except ConnectionError:
            first = b""
        for _, open_writer in open_connections:
            open_writer.close()
        await asyncio.sleep(0.05)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(post())
        return first, await reader.read()

    first, second = run(work())
    assert first == b"" and second.startswith(b"HTTP/1.1 200")
