"""Real sockets on loopback under a time that jumps from one timer to the next, and peers that play a script."""

from __future__ import annotations

import asyncio
import json
import os
import selectors
import socket
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from brassweir.relay.discovery import Discovery, Hearers
from brassweir.relay.endpoint_list import Change

ALL_READ = 0.002  # real seconds without a byte, after which nothing is under way on loopback
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class _Selector(selectors.DefaultSelector):
    """Waits for sockets only as long as bytes may be under way; the rest of a wait is a step of the time."""

    at = 1000.0

    def select(self, timeout: float | None = None) -> Any:
        """What is ready, or the time moved on."""
        ready = super().select(timeout if timeout is None else min(timeout, ALL_READ))
        if not ready and timeout:
            self.at += timeout
        return ready


class MovedLoop(asyncio.SelectorEventLoop):
    """A loop whose time is moved by its timers alone; a test may move it further."""

    def __init__(self) -> None:
        self.clock = _Selector()
        super().__init__(self.clock)

    def time(self) -> float:
        """The time as it was moved."""
        return self.clock.at


def moved(work: Coroutine[Any, Any, None], seconds: float = 60.0) -> None:
    """Run a play; one that goes on for longer than ``seconds`` of the moved time fails."""

    async def bounded() -> None:
        async with asyncio.timeout(seconds):
            await work

    with asyncio.Runner(loop_factory=MovedLoop) as runner:
        runner.run(bounded())


def now() -> float:
    """The time as it was moved."""
    return asyncio.get_running_loop().time()


def chunk(data: bytes) -> bytes:
    """One chunk of an answer."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Peer:
    """A server whose connections each meet the next of its manners, the last again and again. ``seen`` are the
    requests' first lines with their times."""

    def __init__(self, *manners: Manner) -> None:
        self.manners = list(manners)
        self.seen: list[tuple[float, str]] = []
        self.bodies: list[bytes] = []
        self.more = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.writer: asyncio.StreamWriter | None = None  # of the latest connection
        self.server: asyncio.Server | None = None
        self.address = ""

    async def __aenter__(self) -> Peer:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self.server is not None
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def write(self, data: bytes) -> None:
        """Write on the latest connection now, and not when the loop goes on."""
        assert self.writer is not None
        assert os.write(self.writer.get_extra_info("socket").fileno(), data) == len(data)

    async def asked(self, count: int) -> None:
        """Wait for so many requests."""
        while len(self.bodies) < count:
            self.more.clear()
            await self.more.wait()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.tasks.add(asyncio.get_running_loop().create_task(self._serve(reader, writer)))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        manner = self.manners.pop(0) if len(self.manners) > 1 else self.manners[0]
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                self.seen.append((now(), head.partition("\r\n")[0]))
                length = head.lower().partition("content-length: ")[2].partition("\r\n")[0]
                self.bodies.append(await reader.readexactly(int(length or 0)))
                self.more.set()
                await manner(writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()


class Full:
    """An address at which no connection comes up, and none is refused."""

    def __enter__(self) -> str:
        self.sockets = [socket.socket()]
        self.sockets[0].bind(("127.0.0.1", 0))
        self.sockets[0].listen(0)
        for _ in range(3):
            self.sockets.append(socket.socket())
            self.sockets[-1].setblocking(False)
            self.sockets[-1].connect_ex(self.sockets[0].getsockname())
        return f"127.0.0.1:{self.sockets[0].getsockname()[1]}"

    def __exit__(self, *_: object) -> None:
        for one in self.sockets:
            one.close()


Manner = Callable[[asyncio.StreamWriter], Awaitable[None]]


async def silent(_: asyncio.StreamWriter) -> None:
    """Not a byte."""


async def only_head(writer: asyncio.StreamWriter) -> None:
    """The head of a watch, and no line."""
    writer.write(HEAD)


def says(*lines: bytes) -> Manner:
    """A watch that tells this and falls silent."""

    async def manner(writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + b"".join(map(chunk, lines)))

    return manner


def trickles(begin: bytes, byte: bytes) -> Manner:
    """So much, and then a byte twice a second."""

    async def manner(writer: asyncio.StreamWriter) -> None:
        writer.write(begin)
        while not writer.is_closing():
            await asyncio.sleep(0.5)
            writer.write(byte)

    return manner


async def answers_204(writer: asyncio.StreamWriter) -> None:
    """As the platform takes notices."""
    writer.write(b"HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n")


async def says_200(writer: asyncio.StreamWriter) -> None:
    """As an endpoint that serves."""
    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")


def change(rev: int, **more: Any) -> bytes:
    """One object of the list that changes its version alone."""
    return json.dumps({"rev": rev, "all": False, "targets": []}, **more).encode() + b"\n"


class Heard:
    """A watch at a peer, and when it told what."""

    def __init__(self, address: str) -> None:
        self.told: list[tuple[float, int]] = []
        self.notes: list[object] = []
        self.more = asyncio.Event()
        self.watch = Discovery(
            address,
            lambda: self.told[-1][1] if self.told else 1,
            Hearers(self._take),
            lambda event, details: self.notes.append(details["why"]) if event == "watch_ended" else None,
        )

    def _take(self, change: Change) -> None:
        self.told.append((now(), change.rev))
        self.more.set()

    async def until(self, rev: int) -> float:
        """When a version was told."""
        while not self.told or self.told[-1][1] < rev:
            self.more.clear()
            await self.more.wait()
        return self.told[-1][0]
