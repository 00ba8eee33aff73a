"""Stand-ins for the review's cases: endpoints, discovery and what clients write.

Standard library only, loopback only. They follow PROTOCOL.md: clients speak RESP2, endpoints and discovery
HTTP/1.1. All that passes is written to ``record.txt`` of the case.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from running import Record, free_port, wall


class Call:
    """One whole call that an endpoint received."""

    __slots__ = ("at", "body", "id", "key", "time_left", "uid")

    def __init__(self, uid: str, fields: dict[str, str], body: bytes) -> None:
        self.at, self.uid, self.body = wall(), uid, body
        self.id, self.key = fields.get("x-correlation-id", ""), fields.get("idempotency-key", "")
        self.time_left = fields.get("x-time-left", "")


Serve = Callable[["Endpoint", Call, asyncio.StreamWriter], Awaitable[None]]


def answer(status: int, *fields: str) -> bytes:
    """Return a whole answer without a body."""
    return "\r\n".join([f"HTTP/1.1 {status} X", "Content-Length: 0", *fields, "", ""]).encode()


class Endpoint:
    """One endpoint. ``serve`` answers each call; ``calls`` and ``ran`` keep what came and what ran."""

    def __init__(self, uid: str, destination: int, serve: Serve, record: Record, rate: float) -> None:
        self.uid, self.destination, self.serve, self.record, self.rate = uid, destination, serve, record, rate
        self.calls: list[Call] = []
        self.ran: list[str] = []
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = self.listed_port = 0  # the list may name a proxy's port
        self.boot_ms = 0

    async def start(self) -> None:
        """Listen."""
        port = self.port or free_port()
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", port, limit=1 << 20)
        self.port = int(self.server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """End the process: its connections are reset, and new ones are refused."""
        assert self.server is not None
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                pairs = (line.partition(": ") for line in head[1:])
                fields = {name.lower(): value for name, _, value in pairs}
                call = Call(self.uid, fields, await reader.readexactly(int(fields["content-length"])))
                self.calls.append(call)
                self.record.note(
                    "call", self.uid, "dest", self.destination, call.id, f"{len(call.body)} bytes"
                )
                await self.serve(self, call, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # closed, or the case is over
        finally:
            self.writers.discard(writer)
            writer.close()

    def run(self, call: Call, writer: asyncio.StreamWriter) -> None:
        """Carry a call out, and answer 200."""
        self.ran.append(call.id)
        self.record.note("ran", self.uid, call.id)
        writer.write(answer(200))

    def entry(self, state: str = "active") -> dict[str, Any]:
        """Return this endpoint as the list has it."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.listed_port or self.port}",
            "az": "dc1",
            "model": "partner",
            "pod_group": self.destination,
            "state": state,
            "capacity_hint": self.rate,
            "boot_ms": self.boot_ms,
        }


class Discovery:
    """Discovery: the list, watches with an empty line every 2 s, and notices."""

    def __init__(self, record: Record, endpoints: list[Endpoint]) -> None:
        self.record, self.endpoints, self.rev = record, endpoints, 41
        self.changes: list[tuple[int, dict[str, Any]]] = []  # after version 41
        self.changed = asyncio.Event()
        self.notices: list[tuple[float, dict[str, Any]]] = []
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", free_port())
        self.port = int(self.server.sockets[0].getsockname()[1])

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"rev": self.rev, "all": True, "targets": [one.entry() for one in self.endpoints]}

    def change(self, entry: dict[str, Any]) -> None:
        """Tell of a changed entry, under the next version."""
        self.rev += 1
        self.changes.append((self.rev, entry))
        self.record.note("list", self.rev, json.dumps(entry))
        self.changed.set()
        self.changed = asyncio.Event()

    def since(self, rev: int) -> dict[str, Any]:
        """Return what changed after a version, or the whole list if that version is too old."""
        if rev < 41:
            return self.whole()
        latest = {entry["uid"]: entry for at, entry in self.changes if at > rev}
        return {"rev": self.rev, "all": False, "targets": list(latest.values())}

    async def _follow(self, rev: int, writer: asyncio.StreamWriter) -> None:
        """Answer a watch, for as long as its connection stands."""
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        data = json.dumps(self.since(rev)).encode() + b"\n"
        while True:
            rev = self.rev
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            try:
                await asyncio.wait_for(self.changed.wait(), 2.0)
                data = json.dumps(self.since(rev)).encode() + b"\n"
            except TimeoutError:
                data = b"\n"

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                if head[0].startswith("POST /status "):
                    pairs = (line.partition(": ") for line in head[1:])
                    fields = {name.lower(): value for name, _, value in pairs}
                    body = await reader.readexactly(int(fields["content-length"]))
                    for line in filter(None, body.splitlines()):
                        self.notices.append((wall(), json.loads(line)))
                        self.record.note("notice", line.decode())
                    writer.write(b"HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n")
                elif "follow=1" in head[0]:
                    rev = head[0].partition("since=")[2].split(" ")[0].split("&")[0]
                    self.record.note("watch asked for, since", rev)
                    await self._follow(int(rev or 0), writer)
                else:
                    data = json.dumps(self.whole()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # closed, or the case is over
        finally:
            writer.close()


def command(*parts: bytes) -> bytes:
    """Return one command as it goes over the wire."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


def put(
    ident: str, class_name: str, dest: int, left: float, body: bytes, more: str = "", key: str = "0" * 16
) -> bytes:
    """Return the command that hands one message in; ``left`` in ms, ``key`` is what orders it."""
    names = f"c={class_name},d={left:.0f},dest={dest}{more}"
    return command(b"MSG.PUT", key.encode(), ident.encode(), names.encode(), body)
