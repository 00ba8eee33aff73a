"""A front on loopback with an engine behind it, in one loop: a test writes between two steps of it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from brassweir import interface as api
from brassweir.core.clock import LoopClock
from brassweir.core.engine import Engine
from brassweir.core.ports import Attempt, Fact, FinalAnswer, MemoryStore, Outcome
from brassweir.lab.standins.relay_client import Client
from brassweir.resp.admission import Admission
from brassweir.resp.front import Front


class Held(MemoryStore):
    """Keeps a fact only when it is let go; ``facts`` are those that wait."""

    def __init__(self) -> None:
        self.holding = False
        self.facts: list[tuple[Fact, Callable[[], None]]] = []

    def persist(
        self,
        fact: Fact,
        message: int,
        detail: object,
        then: Callable[[], None],
        unable: Callable[[str], None],
    ) -> None:
        if self.holding:
            self.facts.append((fact, then))
        else:
            then()

    def let_go(self) -> None:
        self.holding = False
        facts, self.facts = self.facts, []
        for _, then in facts:
            then()


class Silent:
    """A carrier whose endpoints say nothing; it notes what was sent."""

    def __init__(self) -> None:
        self.sent: list[str] = []

    def start(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        self.sent.append(attempt.submission.identity)

    def close_idle(self, endpoint: str) -> None:
        pass


class Desk:
    """The front, what it rests on, and clients as bare sockets."""

    def __init__(self, max_open: int = 60) -> None:
        self.loop = asyncio.get_running_loop()
        classes = tuple(
            api.MessageClass(name, 1000.0, 5000.0, effect)
            for name, effect in (("pay", api.Effect.UNSAFE), ("note", api.Effect.SAFE))
        )
        self.store, self.carrier = Held(), Silent()
        sets = api.Settings(classes=classes, slots=6, max_open=max_open, max_retry_after=3000.0)
        self.engine = Engine(sets, 1, LoopClock(self.loop), lambda _: self.carrier, store=self.store)
        self.engine.update_list(api.ListUpdate(api.ListKind.FULL, (api.EndpointInfo("a", 1, ""),)))
        self.ends: list[FinalAnswer] = []
        self.front = Front(
            self.engine, Admission(100, 100), lambda one: one == 1, lambda _: self.ends.append, lambda _: None
        )
        self.port = 0
        self.clients: list[socket.socket] = []

    async def open(self) -> Desk:
        self.port = await self.front.listen("127.0.0.1", 0)
        return self

    async def client(self, receive: int = 0) -> socket.socket:
        """One more client, accepted; ``receive`` bounds what its side holds unread."""
        one = socket.socket()
        if receive:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive)
        one.setblocking(False)
        known = len(self.front.connections)
        await self.loop.sock_connect(one, ("127.0.0.1", self.port))
        self.clients.append(one)
        while len(self.front.connections) <= known:
            await asyncio.sleep(0)
        return one

    async def rest(self, one: socket.socket) -> bytes:
        """All that comes until the end of the connection. Raises ConnectionError where it was reset."""
        found = b""
        while data := await asyncio.wait_for(self.loop.sock_recv(one, 65536), 5.0):
            found += data
        return found

    async def until(self, what: Callable[[], object]) -> None:
        """Let the loop turn until something holds."""
        async with asyncio.timeout(5.0):
            while not what():
                await asyncio.sleep(0.001)

    def close(self) -> None:
        self.front.close()
        for one in self.clients:
            one.close()


def put(ident: str, name: str = "pay", body: bytes = b"text") -> bytes:
    return Client.command(b"MSG.PUT", b"0" * 16, ident.encode(), f"c={name},d=4000,dest=1".encode(), body)


PING = Client.command(b"PING")
