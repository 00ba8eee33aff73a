"""Scripted forward servers, and attempts of a carrier at them."""

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
from brassweir.forward.session import Admitted, Came, Denied, Session
from brassweir.interface import EndpointInfo
from brassweir.lab.standins.sink import Keys
from brassweir.net.limits import Limits
from brassweir.net.pool_manager import PoolManager
from tests.conftest import run

KEY = b"shared"
Act = Callable[["Line", Message], None]


class Line(asyncio.Protocol):
    """One connection to a server that does as a test says."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.session = Session(Keys(server.key), "sink", secrets.token_bytes(8), b"", 1_000_000)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.server.lines.append(self)
        self.say(handshake.Helo(self.session.nonce, keepalive=self.server.keepalive).encode())

    def data_received(self, data: bytes) -> None:
        self.session.feed(data)
        for event in self.session.events():
            if isinstance(event, Admitted | Denied):
                self.say(event.say if not self.server.mute else b"")
                if isinstance(event, Denied) and self.transport is not None:
                    self.transport.close()
            elif isinstance(event, Came) and event.message is not None:
                self.server.got.append(event.message)
                self.server.act(self, event.message)

    def say(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)


class Server:
    def __init__(self, act: Act, key: bytes = KEY, keepalive: bool = True, mute: bool = False) -> None:
        self.act, self.key, self.keepalive, self.mute = act, key, keepalive, mute
        self.lines: list[Line] = []
        self.got: list[Message] = []

    async def start(self) -> str:
        self.listener = await asyncio.get_running_loop().create_server(lambda: Line(self), "127.0.0.1", 0)
        return f"forward://127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        self.listener.close()
        for line in self.lines:
            if line.transport is not None:
                line.transport.abort()


class Urls:
    def __init__(self, found: str | None) -> None:
        self.found = found

    def url(self, endpoint: str) -> str | None:
        return self.found


def ack(line: Line, given: Message) -> None:
    line.say(message.ack(given.chunk))


def drop(line: Line, given: Message) -> None:
    if line.transport is not None:
        line.transport.abort()


def payload(count: int = 2) -> Payload:
    return Payload(events.PACKED, events.pack([Event(EventTime(1), {"n": i}) for i in range(count)]), "log.a")


def attempt(number: int, span: float = 1.0, content: Payload | None = None) -> Attempt:
    given = Submission("edge", f"c{number}", "status", 1, 5000.0, payload=content or payload())
    return Attempt(
        number,
        0,
        given,
        EndpointInfo("sink-a", 1, "sink"),
        (asyncio.get_running_loop().time() + span) * 1000.0,
        False,
    )


async def carry(carrier: ForwardCarrier, attempts: list[Attempt]) -> list[Outcome]:
    loop = asyncio.get_running_loop()
    waiting: list[asyncio.Future[Outcome]] = [loop.create_future() for _ in attempts]
    for one, future in zip(attempts, waiting, strict=True):
        carrier.start(one, future.set_result)
    return await asyncio.wait_for(asyncio.gather(*waiting), 10.0)


def made(url: str | None, batch: int = 1, key: bytes = KEY, notes: list[str] | None = None) -> ForwardCarrier:
    pools = PoolManager(Limits(), 8, 5000.0, 500.0)
    return ForwardCarrier(
        Urls(url),
        pools,
        Credentials("s1", key),
        Offload(1),
        lambda event, _: (notes if notes is not None else []).append(event),
        batch=batch,
        linger=100.0,
    )


def outcomes(
    act: Act, attempts: int = 1, batch: int = 1, key: bytes = KEY, span: float = 1.0, mute: bool = False
) -> tuple[list[Outcome], Server]:
    async def work() -> tuple[list[Outcome], Server]:
        server = Server(act, mute=mute)
        carrier = made(await server.start(), batch, key)
        try:
            return await carry(carrier, [attempt(number, span) for number in range(attempts)]), server
        finally:
            carrier.pools.close_all_idle()
            server.stop()

    return run(work())
