"""Runs tests with real sockets on loopback in virtual time, against servers with scripted behaviour."""

from __future__ import annotations

import asyncio
import json
import os
import selectors
import socket
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from brassweir.relay.discovery import DiscoveryClient, WatchListeners
from brassweir.relay.endpoint_list import Change

QUIET_SECONDS = 0.002  # real time without a byte, after which no data is in flight on loopback
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class _Selector(selectors.DefaultSelector):
    """Waits for sockets only as long as data may be in flight, then advances the virtual time by the timeout."""

    at = 1000.0

    def select(self, timeout: float | None = None) -> Any:
        """Return the sockets that are ready, or advance the time."""
        ready = super().select(timeout if timeout is None else min(timeout, QUIET_SECONDS))
        if not ready and timeout:
            self.at += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only from timer to timer. Tests may advance it, too."""

    def __init__(self) -> None:
        self.clock = _Selector()
        super().__init__(self.clock)

    def time(self) -> float:
        """The virtual time in seconds."""
        return self.clock.at


def run_virtual(work: Coroutine[Any, Any, None], seconds: float = 60.0) -> None:
    """Run a coroutine in virtual time; it fails after ``seconds`` of it."""

    async def bounded() -> None:
        async with asyncio.timeout(seconds):
            await work

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(bounded())


def now() -> float:
    """The virtual time in seconds."""
    return asyncio.get_running_loop().time()


def chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked response."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Peer:
    """A server that handles each connection by the next of its manners, and the last one repeatedly.

    ``requests`` has the time and the request line of each request, ``bodies`` their bodies.
    """

    def __init__(self, *manners: Manner) -> None:
        self.manners = list(manners)
        self.requests: list[tuple[float, str]] = []
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
        """Write to the latest connection synchronously."""
        assert self.writer is not None
        assert os.write(self.writer.get_extra_info("socket").fileno(), data) == len(data)

    async def wait_for_requests(self, count: int) -> None:
        """Wait until ``count`` requests have arrived."""
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
                self.requests.append((now(), head.partition("\r\n")[0]))
                length = head.lower().partition("content-length: ")[2].partition("\r\n")[0]
                self.bodies.append(await reader.readexactly(int(length or 0)))
                self.more.set()
                await manner(writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()


class BlackholeAddress:
    """A listener with a full backlog: connections are neither established nor refused."""

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
        for backlog in self.sockets:
            backlog.close()


Manner = Callable[[asyncio.StreamWriter], Awaitable[None]]


async def silent(_: asyncio.StreamWriter) -> None:
    """Send nothing."""


async def send_head_only(writer: asyncio.StreamWriter) -> None:
    """Send only the response head of a watch."""
    writer.write(HEAD)


def says(*lines: bytes) -> Manner:
    """Send a watch's response head and these chunks, then nothing."""

    async def manner(writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + b"".join(map(chunk, lines)))

    return manner


def trickles(begin: bytes, byte: bytes) -> Manner:
    """Send ``begin``, then ``byte`` twice a second."""

    async def manner(writer: asyncio.StreamWriter) -> None:
        writer.write(begin)
        while not writer.is_closing():
            await asyncio.sleep(0.5)
            writer.write(byte)

    return manner


async def answer_204(writer: asyncio.StreamWriter) -> None:
    """Answer 204, as the platform does to notices."""
    writer.write(b"HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n")


async def answer_200(writer: asyncio.StreamWriter) -> None:
    """Answer 200, as an endpoint does to a call."""
    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")


def change(rev: int, **more: Any) -> bytes:
    """Encode a change of the list's version alone."""
    return json.dumps({"rev": rev, "all": False, "targets": []}, **more).encode() + b"\n"


class RecordingClient:
    """A discovery client that records the time and version of each change, and the failures of its watches."""

    def __init__(self, address: str) -> None:
        self.changes: list[tuple[float, int]] = []
        self.failures: list[object] = []
        self.more = asyncio.Event()
        self.discovery = DiscoveryClient(
            address,
            lambda: self.changes[-1][1] if self.changes else 1,
            WatchListeners(self._record),
            lambda event, details: self.failures.append(details["why"]) if event == "watch_ended" else None,
        )

    def _record(self, change: Change) -> None:
        self.changes.append((now(), change.rev))
        self.more.set()

    async def wait_for(self, rev: int) -> float:
        """Wait for a version; return the time at which it arrived."""
        while not self.changes or self.changes[-1][1] < rev:
            self.more.clear()
            await self.more.wait()
        return self.changes[-1][0]
