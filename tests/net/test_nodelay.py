"""TCP_NODELAY is set on every kind of connection, so that no small write waits for an ACK."""

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
from brassweir.resp.input_budget import InputBudget
from tests.net.peers import LOOPS, OK, after_next_call, open_rig, run_on

Loop = Callable[[], asyncio.AbstractEventLoop]
both_loops = pytest.mark.parametrize("loop", LOOPS)


def has_nodelay(transport: asyncio.BaseTransport | None) -> bool:
    """Returns the socket option as the kernel reports it."""
    assert transport is not None
    sock = cast(socket.socket, transport.get_extra_info("socket"))
    return bool(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))


@both_loops
def test_client_connections_set_nodelay(loop: Loop) -> None:
    async def work() -> None:
        async with open_rig() as rig:
            flags: list[bool] = []

            def check_when_connected(connection: Connection) -> None:
                after_next_call(
                    connection, "connection_made", lambda: flags.append(has_nodelay(connection.transport))
                )

            rig.patch_next_connection(check_when_connected)
            rig.call()
            (await rig.serve()).write(OK)
            await rig.assert_all_released()
            assert flags == [True]

    run_on(loop, work())


@both_loops
def test_http_server_connections_set_nodelay(loop: Loop) -> None:
    async def work() -> None:
        flags: list[bool] = []

        async def handle(_: Request) -> Response:
            flags.extend(has_nodelay(connection.transport) for connection in server.connections)
            return Response(200)

        server = Server(handle, Limits())
        port = await server.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readline()
        writer.close()
        server.abort()
        assert flags == [True]

    run_on(loop, work())


@both_loops
def test_resp_server_connections_set_nodelay(loop: Loop) -> None:
    async def work() -> None:
        front = Front(
            cast(Any, None), Admission(4, 4), InputBudget(), lambda _: True, cast(Any, None), lambda _: None
        )
        reader, writer = await asyncio.open_connection("127.0.0.1", await front.listen("127.0.0.1", 0))
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        assert await reader.readline() == b"+PONG\r\n"
        flags = [has_nodelay(connection.transport) for connection in front.connections.values()]
        writer.close()
        front.close()
        assert flags == [True]

    run_on(loop, work())
