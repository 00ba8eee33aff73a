"""Drawn clients of a RESP front: what they send, in which pieces, when they read, and what they were told."""

from __future__ import annotations

import array
import asyncio
import fcntl
import socket
import termios
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from hypothesis import strategies as st

from tests.resp.harness import PING, Harness, put

READ_LATE_SECONDS = 0.1  # after which a client that reads late reads
MAX_SLOW_BYTES = 800  # what is sent one byte at a time


@dataclass(frozen=True)
class ClientPlan:
    """What one client does; ``sizes`` are those of bodies, None stands for a PING."""

    sizes: tuple[int | None, ...]
    piece: int  # bytes written at once
    yields: int  # turns of the loop between two pieces
    sent_share: float  # of its bytes; below 1 it stops in the middle and stays
    reads_late: bool

    def commands(self, name: str) -> list[bytes]:
        return [
            PING if size is None else put(f"{name}-{i}", "note", b"x" * size)
            for i, size in enumerate(self.sizes)
        ]

    def pieces(self, name: str) -> list[bytes]:
        data = b"".join(self.commands(name))
        data = data[: max(1, int(len(data) * self.sent_share))]
        piece = self.piece if len(data) <= MAX_SLOW_BYTES else max(self.piece, 1000)
        return [data[at : at + piece] for at in range(0, len(data), piece)]


SIZES = st.sampled_from([None, 0, 5, 100, 900, 5000, 20_000, 65_536])
CLIENT_PLANS = st.builds(
    ClientPlan,
    st.lists(SIZES, min_size=1, max_size=5).map(tuple),
    st.sampled_from([1, 7, 100, 1500, 16_000, 200_000]),
    st.integers(0, 3),
    st.sampled_from([1.0, 1.0, 1.0, 0.3, 0.9]),
    st.booleans(),
)


@dataclass
class DrawnClient:
    """A client that carries out its plan."""

    name: str
    plan: ClientPlan
    socket: socket.socket
    may_write: asyncio.Event
    written: int = 0  # bytes
    received: bytes = b""
    ending: str = ""  # "eof" or "reset", once the connection has ended
    due: int | None = None  # replies owed whatever happens; None: one for each whole command
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        self.tasks = [loop.create_task(self._write(loop)), loop.create_task(self._read(loop))]

    async def _write(self, loop: asyncio.AbstractEventLoop) -> None:
        for piece in self.plan.pieces(self.name):
            await self.may_write.wait()
            if self.ending:
                return
            try:
                await loop.sock_sendall(self.socket, piece)
            except OSError:
                return
            self.written += len(piece)
            for _ in range(self.plan.yields):
                await asyncio.sleep(0)

    async def _read(self, loop: asyncio.AbstractEventLoop) -> None:
        if self.plan.reads_late:
            await asyncio.sleep(READ_LATE_SECONDS)
        while not self.ending:
            try:
                data = await loop.sock_recv(self.socket, 65536)
            except OSError:
                self.ending = "reset"
            else:
                self.received += data
                self.ending = "" if data else "eof"

    def whole_commands(self) -> int:
        """Returns how many commands were written to the last byte."""
        ends, total = 0, 0
        for command in self.plan.commands(self.name):
            total += len(command)
            ends += total <= self.written
        return ends

    def bytes_on_the_way(self) -> int:
        """Returns the bytes written that the front's system has not acknowledged."""
        count = array.array("i", [0])
        fcntl.ioctl(self.socket.fileno(), termios.TIOCOUTQ, count)
        return count[0]

    def freeze_due(self) -> None:
        self.due = self.whole_commands()

    def due_replies(self) -> int:
        return self.whole_commands() if self.due is None else self.due

    def has_due_replies(self) -> bool:
        return self.received.count(b"\r\n") >= self.due_replies()

    def replies(self) -> list[bytes]:
        return self.received.splitlines()


@asynccontextmanager
async def drawn_clients(
    harness: Harness, plans: list[ClientPlan], may_write: asyncio.Event
) -> AsyncIterator[list[DrawnClient]]:
    """Connects and starts a client for each plan; ends their tasks at the end."""
    clients = []
    for number, plan in enumerate(plans):
        clients.append(client := DrawnClient(f"c{number}", plan, await harness.client(), may_write))
        client.start(harness.loop)
    try:
        yield clients
    finally:
        tasks = [task for client in clients for task in client.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
