"""Every way in which an HTTP server ends a connection leaves the responses to requests that it has read."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from brassweir.net.server import Server
from tests.conftest import run
from tests.net.server_client import SMALL_LIMITS, RecordingHandler, post


class Client:
    """A raw socket, whose writes reach the server's system before the next turn of the loop."""

    def __init__(self, port: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.socket = socket.create_connection(("127.0.0.1", port), 5.0)
        self.socket.setblocking(False)

    async def read_to_end(self) -> bytes:
        """Reads until EOF. Raises ConnectionError on a reset."""
        received = b""
        while data := await asyncio.wait_for(self.loop.sock_recv(self.socket, 65536), 5.0):
            received += data
        return received


@asynccontextmanager
async def serving(handler: RecordingHandler) -> AsyncIterator[tuple[Server, Client]]:
    server = Server(handler, replace(SMALL_LIMITS, idle_ms=5000.0), handler.report_error)
    client = Client(await server.listen("127.0.0.1", 0))
    try:
        while not server.connections:
            await asyncio.sleep(0)
        yield server, client
    finally:
        client.socket.close()
        server.abort()


def end_by_drain(server: Server) -> None:
    server.drain()


def end_by_idle_timeout(server: Server) -> None:
    next(iter(server.connections)).on_timeout()


@pytest.mark.parametrize("end", [end_by_drain, end_by_idle_timeout])
def test_a_request_that_has_arrived_and_is_not_read_is_answered(end: Callable[[Server], None]) -> None:
    """Guards against the reset of a connection that was taken for idle."""

    async def scenario(server: Server, client: Client) -> None:
        client.socket.send(post(b"abc"))
        end(server)
        assert (await client.read_to_end()).endswith(b"\r\n\r\nabc")

    run(with_server(scenario))


def test_pipelined_requests_that_were_read_are_answered_before_a_drained_server_closes() -> None:
    """Guards against a close behind the first response of several that are due."""

    async def scenario(server: Server, client: Client) -> None:
        handler = server.handler
        assert isinstance(handler, RecordingHandler)
        handler.release = asyncio.Event()
        client.socket.send(post(b"one", close=False) + post(b"two", close=False))
        while not handler.requests:
            await asyncio.sleep(0)
        server.drain()
        handler.release.set()
        received = await client.read_to_end()
        assert received.count(b"HTTP/1.1 200") == 2 and received.endswith(b"two")

    run(with_server(scenario))


def test_an_early_rejection_reaches_a_client_that_still_sends_its_body() -> None:
    """Guards against a reset that destroys the response, by a close over unread bytes."""

    async def scenario(server: Server, client: Client) -> None:
        client.socket.send(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n")
        while next(iter(server.connections)).lingering is None:
            await asyncio.sleep(0)
        for _ in range(4):
            client.socket.send(b"x" * 1000)
            await asyncio.sleep(0.01)
        assert (await client.read_to_end()).startswith(b"HTTP/1.1 413")

    run(with_server(scenario))


def test_bytes_behind_the_last_request_do_not_reset_the_connection() -> None:
    async def scenario(server: Server, client: Client) -> None:
        client.socket.send(post(b"abc"))
        while next(iter(server.connections)).lingering is None:
            await asyncio.sleep(0)
        client.socket.send(post(b"more"))
        await asyncio.sleep(0.02)
        client.socket.send(b"x" * 100)
        await asyncio.sleep(0.02)
        assert (await client.read_to_end()).endswith(b"\r\n\r\nabc")

    run(with_server(scenario))


@pytest.mark.parametrize("slow", [False, True])
def test_a_client_that_half_closes_gets_its_response(slow: bool) -> None:
    """Guards against a request that is read and not answered, since its client sends nothing more."""

    async def scenario(server: Server, client: Client) -> None:
        handler = server.handler
        assert isinstance(handler, RecordingHandler)
        handler.release = asyncio.Event()
        client.socket.send(post(b"one", close=False) + post(b"two", close=False))
        client.socket.shutdown(socket.SHUT_WR)
        while not handler.requests:
            await asyncio.sleep(0)
        if slow:
            await asyncio.sleep(0.05)
        handler.release.set()
        received = await client.read_to_end()
        assert received.count(b"HTTP/1.1 200") == 2 and received.endswith(b"two")

    run(with_server(scenario))


def test_a_client_that_never_closes_is_reset_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("brassweir.net.lingering_close.LINGER_SECONDS", 0.05)

    async def scenario(server: Server, client: Client) -> None:
        client.socket.send(post(b"abc"))
        assert (await client.read_to_end()).endswith(b"abc")
        async with asyncio.timeout(5.0):
            while server.connections:
                await asyncio.sleep(0.005)

    run(with_server(scenario))


async def with_server(scenario: Callable[[Server, Client], Awaitable[None]]) -> None:
    async with serving(RecordingHandler()) as (server, client):
        await scenario(server, client)
