"""Scripted forward servers, and helpers that run a carrier's attempts against them."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable

from brassweir.core.offload import Offload
from brassweir.core.ports import Attempt, Outcome, Payload, Submission
from brassweir.forward import events, handshake, message
from brassweir.forward.carrier import ForwardCarrier
from brassweir.forward.events import Event, EventTime
from brassweir.forward.link import Credentials
from brassweir.forward.message import Message
from brassweir.forward.session import Admitted, Denied, ReceivedMessage, Session
from brassweir.interface import EndpointInfo
from brassweir.lab.standins.sink import Keys
from brassweir.net.limits import Limits
from brassweir.net.pool_manager import PoolManager
from tests.conftest import run

KEY = b"shared"
ChunkHandler = Callable[["ServerConnection", Message], None]


class ServerConnection(asyncio.Protocol):
    """A connection to a scripted server, whose ``on_chunk`` decides how to answer a chunk."""

    def __init__(self, server: ScriptedServer) -> None:
        self.server = server
        self.session = Session(Keys(server.key), "sink", secrets.token_bytes(8), b"", 1_000_000)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.server.connections.append(self)
        self.say(handshake.Helo(self.session.nonce, keepalive=self.server.keepalive).encode())

    def data_received(self, data: bytes) -> None:
        self.session.feed(data)
        for event in self.session.events():
            if isinstance(event, Admitted | Denied):
                self.say(event.reply if not self.server.silent else b"")
                if isinstance(event, Denied) and self.transport is not None:
                    self.transport.close()
            elif isinstance(event, ReceivedMessage) and event.message is not None:
                self.server.received.append(event.message)
                self.server.on_chunk(self, event.message)

    def say(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)


class ScriptedServer:
    def __init__(
        self, on_chunk: ChunkHandler, key: bytes = KEY, keepalive: bool = True, silent: bool = False
    ) -> None:
        self.on_chunk, self.key, self.keepalive, self.silent = on_chunk, key, keepalive, silent
        self.connections: list[ServerConnection] = []
        self.received: list[Message] = []

    async def start(self) -> str:
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self), "127.0.0.1", 0
        )
        return f"forward://127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        self.listener.close()
        for connection in self.connections:
            if connection.transport is not None:
                connection.transport.abort()


class Urls:
    def __init__(self, address: str | None) -> None:
        self.address = address

    def url(self, endpoint: str) -> str | None:
        return self.address


def ack(connection: ServerConnection, received: Message) -> None:
    connection.say(message.ack(received.chunk))


def drop(connection: ServerConnection, received: Message) -> None:
    if connection.transport is not None:
        connection.transport.abort()


def payload(count: int = 2) -> Payload:
    return Payload(events.PACKED, events.pack([Event(EventTime(1), {"n": i}) for i in range(count)]), "log.a")


def attempt(number: int, seconds: float = 1.0, content: Payload | None = None) -> Attempt:
    submission = Submission("edge", f"c{number}", "status", 1, 5000.0, payload=content or payload())
    return Attempt(
        number,
        0,
        submission,
        EndpointInfo("sink-a", 1, "sink"),
        (asyncio.get_running_loop().time() + seconds) * 1000.0,
        False,
    )


async def carry(carrier: ForwardCarrier, attempts: list[Attempt]) -> list[Outcome]:
    loop = asyncio.get_running_loop()
    waiting: list[asyncio.Future[Outcome]] = [loop.create_future() for _ in attempts]
    for outcome, future in zip(attempts, waiting, strict=True):
        carrier.start(outcome, future.set_result)
    return await asyncio.wait_for(asyncio.gather(*waiting), 10.0)


def make_carrier(
    url: str | None, batch: int = 1, key: bytes = KEY, logged_events: list[str] | None = None
) -> ForwardCarrier:
    pools = PoolManager(Limits(), 8, 5000.0, 500.0)
    return ForwardCarrier(
        Urls(url),
        pools,
        Credentials("s1", key),
        Offload(1),
        lambda event, _: (logged_events if logged_events is not None else []).append(event),
        batch=batch,
        linger_ms=100.0,
    )


def run_attempts(
    on_chunk: ChunkHandler,
    attempts: int = 1,
    batch: int = 1,
    key: bytes = KEY,
    seconds: float = 1.0,
    silent: bool = False,
) -> tuple[list[Outcome], ScriptedServer]:
    async def work() -> tuple[list[Outcome], ScriptedServer]:
        server = ScriptedServer(on_chunk, silent=silent)
        carrier = make_carrier(await server.start(), batch, key)
        try:
            return await carry(carrier, [attempt(number, seconds) for number in range(attempts)]), server
        finally:
            carrier.pools.close_all_idle()
            server.stop()

    return run(work())
