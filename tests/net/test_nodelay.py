"""No small write waits in the system for the answer to another: TCP_NODELAY, read back on every kind of connection."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, cast

import pytest

from brassweir.net.connection import Connection
from brassweir.net.limits import Limits
from brassweir.net.server import Request, Response, Server
from brassweir.resp.admission import Admission
from brassweir.resp.front import Front
from tests.net.peers import LOOPS, OK, after, on, scene

Loop = Callable[[], asyncio.AbstractEventLoop]
both = pytest.mark.parametrize("loop", LOOPS)


def nodelay(transport: asyncio.BaseTransport | None) -> bool:
    """As the system has it."""
    assert transport is not None
    sock = cast(socket.socket, transport.get_extra_info("socket"))
    return bool(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))


@both
def test_connections_to_endpoints(loop: Loop) -> None:
    async def work() -> None:
        async with scene() as at:
            found: list[bool] = []

            def made(connection: Connection) -> None:
                after(connection, "connection_made", lambda: found.append(nodelay(connection.transport)))

            at.seam(made)
            at.call()
            (await at.serve()).write(OK)
            await at.ended()
            assert found == [True]

    on(loop, work())


@both
def test_connections_of_clients_over_http(loop: Loop) -> None:
    async def work() -> None:
        found: list[bool] = []

        async def answer(_: Request) -> Response:
            found.extend(nodelay(one.transport) for one in server.connections)
            return Response(200)

        server = Server(answer, Limits())
        port = await server.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readline()
        writer.close()
        server.abort()
        assert found == [True]

    on(loop, work())


@both
def test_connections_of_clients_of_the_platform(loop: Loop) -> None:
    async def work() -> None:
        front = Front(cast(Any, None), Admission(4, 4), lambda _: True, cast(Any, None), lambda _: None)
        reader, writer = await asyncio.open_connection("127.0.0.1", await front.listen("127.0.0.1", 0))
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        assert await reader.readline() == b"+PONG\r\n"
        found = [nodelay(one.transport) for one in front.connections.values()]
        writer.close()
        front.close()
        assert found == [True]

    on(loop, work())
