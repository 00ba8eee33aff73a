"""A RESP front with a real engine and raw client sockets, all in one event loop."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable

from brassweir import interface as api
from brassweir.core.clock import LoopClock
from brassweir.core.engine import Engine
from brassweir.core.ports import Attempt, Fact, FinalAnswer, MemoryStore, Outcome
from brassweir.lab.standins.relay_client import Client
from brassweir.resp.admission import Admission
from brassweir.resp.front import Front
from brassweir.resp.input_budget import InputBudget


class HeldStore(MemoryStore):
    """A store that, while ``holding``, confirms facts only on release(); ``pending`` are those that wait."""

    def __init__(self) -> None:
        self.holding = False
        self.pending: list[tuple[Fact, Callable[[], None]]] = []

    def persist(
        self,
        fact: Fact,
        message: int,
        detail: object,
        then: Callable[[], None],
        unable: Callable[[str], None],
    ) -> None:
        if self.holding:
            self.pending.append((fact, then))
        else:
            then()

    def release(self) -> None:
        self.holding = False
        pending, self.pending = self.pending, []
        for _, then in pending:
            then()


class SilentCarrier:
    """A carrier whose endpoints never respond; it records the ids of messages sent."""

    def __init__(self) -> None:
        self.sent: list[str] = []

    def start(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        self.sent.append(attempt.submission.identity)

    def close_idle(self, endpoint: str) -> None:
        pass


class Harness:
    """The front with its engine, store and carrier, and clients as raw sockets."""

    def __init__(self, max_open: int = 60, max_input: float = math.inf) -> None:
        self.loop = asyncio.get_running_loop()
        classes = tuple(
            api.MessageClass(name, 1000.0, 5000.0, effect)
            for name, effect in (("pay", api.Effect.UNSAFE), ("note", api.Effect.SAFE))
        )
        self.store, self.carrier = HeldStore(), SilentCarrier()
        settings = api.Settings(classes=classes, slots=6, max_open=max_open, max_retry_after=3000.0)
        self.engine = Engine(settings, 1, LoopClock(self.loop), lambda _: self.carrier, store=self.store)
        self.engine.update_list(api.ListUpdate(api.ListKind.FULL, (api.EndpointInfo("a", 1, ""),)))
        self.answers: list[FinalAnswer] = []
        self.front = Front(
            self.engine,
            Admission(100, 100),
            InputBudget(max_input, 100),
            lambda destination: destination == 1,
            lambda _: self.answers.append,
            lambda _: None,
        )
        self.port = 0
        self.clients: list[socket.socket] = []

    async def open(self) -> Harness:
        self.port = await self.front.listen("127.0.0.1", 0)
        return self

    async def client(self, receive_buffer: int = 0) -> socket.socket:
        """Connects another client; ``receive_buffer`` (bytes) limits what it receives without reading."""
        client = socket.socket()
        if receive_buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        client.setblocking(False)
        connected = len(self.front.connections)
        await self.loop.sock_connect(client, ("127.0.0.1", self.port))
        self.clients.append(client)
        while len(self.front.connections) <= connected:
            await asyncio.sleep(0)
        return client

    async def read_to_end(self, client: socket.socket) -> bytes:
        """Reads until EOF. Raises ConnectionError on a reset."""
        received = b""
        while data := await asyncio.wait_for(self.loop.sock_recv(client, 65536), 5.0):
            received += data
        return received

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Waits until ``condition`` holds. Raises TimeoutError."""
        async with asyncio.timeout(5.0):
            while not condition():
                await asyncio.sleep(0.001)

    def close(self) -> None:
        self.front.close()
        for client in self.clients:
            client.close()


def put(message_id: str, class_name: str = "pay", body: bytes = b"text") -> bytes:
    return Client.command(
        b"MSG.PUT", b"0" * 16, message_id.encode(), f"c={class_name},d=4000,dest=1".encode(), body
    )


PING = Client.command(b"PING")
