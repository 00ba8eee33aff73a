"""Stand-ins for the platform around a ``node``: endpoints, discovery with notices, and clients, on loopback.

Each records its traffic; :func:`find_violations` judges from these records alone, and knows nothing of the
program under test. Times are wall milliseconds.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import count
from typing import Any


def wall() -> float:
    """Wall time in ms."""
    return time.time() * 1000.0


def answer(status: int, *fields: str, body: bytes = b"") -> bytes:
    """A whole answer of an endpoint."""
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *fields]
    return "\r\n".join([*head, "", ""]).encode() + body


@dataclass(frozen=True, slots=True)
class Call:
    """One call as it came over the socket."""

    at: float
    uid: str
    id: str
    key: str
    time_left: str
    body: bytes
    connection: int


Manner = Callable[["Call", asyncio.StreamWriter], Awaitable[None]]


async def good(call: Call, writer: asyncio.StreamWriter) -> None:
    """Serve it; the body differs from that of other answers, so that the connection may be kept."""
    writer.write(answer(200, body=call.id.encode()))


SERVING: set[Manner] = {good}  # those that carry a call out


def after(seconds: float) -> Manner:
    """Serve it, so much later."""

    async def manner(call: Call, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(seconds)
        await good(call, writer)

    SERVING.add(manner)
    return manner


def says(data: bytes) -> Manner:
    """Always answer with these bytes."""

    async def manner(_: Call, writer: asyncio.StreamWriter) -> None:
        writer.write(data)

    return manner


async def hang(_: Call, writer: asyncio.StreamWriter) -> None:
    """Say nothing."""


async def cut(_: Call, writer: asyncio.StreamWriter) -> None:
    """Break the connection once the call has come."""
    writer.transport.abort()


def _fields(head: list[str]) -> dict[str, str]:
    pairs = (line.partition(": ") for line in head[1:])
    return {name.lower(): value for name, _, value in pairs}


class Endpoint:
    """One endpoint; ``manner`` may be changed while it runs."""

    def __init__(self, uid: str, destination: int, manner: Manner = good) -> None:
        self.uid, self.destination, self.manner = uid, destination, manner
        self.calls: list[Call] = []
        self.delivered: list[str] = []
        self.begun: list[float] = []  # wall ms of each call's first byte, whole or not
        self.connections = 0
        self.resets_kept = 0.0  # if set, share of a request after which a kept connection is reset
        self.resets = 0
        self.repeats = False  # the answer before comes again as the first bytes of the next request come
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = int(self.server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Refuse connections, and cut those that stand."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        self.writers.add(writer)
        try:
            call: Call | None = None
            for served in count():
                if served and self.resets_kept:
                    await reader.readexactly(int(1 + 100 * self.resets_kept))
                    self.resets += 1
                    writer.transport.abort()
                    return
                begun = await reader.readexactly(1)
                self.begun.append(wall())
                if call is not None and self.repeats:
                    await good(call, writer)
                head = (begun + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                fields = _fields(head)
                body = await reader.readexactly(int(fields["content-length"]))
                assert head[0] == "POST /receive HTTP/1.1", head[0]
                call = Call(
                    wall(),
                    self.uid,
                    fields["x-correlation-id"],
                    fields.get("idempotency-key", ""),
                    fields.get("x-time-left", ""),
                    body,
                    number,
                )
                self.calls.append(call)
                if self.manner in SERVING:
                    self.delivered.append(call.id)
                await self.manner(call, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def entry(self, state: str = "active") -> dict[str, Any]:
        """This endpoint as the list tells it."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": "a",
            "model": "office",
            "pod_group": self.destination,
            "state": state,
            "capacity_hint": 50.0,
            "boot_ms": 0,
        }
