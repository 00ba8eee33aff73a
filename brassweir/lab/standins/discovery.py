"""The platform's discovery on loopback: the list, its watches, and where notices come."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from brassweir.lab.standins.platform import _fields, wall


class Discovery:
    """The list, its watches, and where notices come."""

    def __init__(self) -> None:
        self.rev = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.notices: list[tuple[float, dict[str, Any]]] = []
        self.watches: set[asyncio.StreamWriter] = set()
        self.asked: list[int] = []
        self.status = 204
        self.refuses = b""  # answer 400 to posts that hold this
        self.silent = False  # it takes requests for the list and answers none
        self.delay = 0.0  # seconds before it answers a request for the list
        self.told: Callable[[], None] = lambda: None  # called when a notice has come, before its answer
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self.server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Refuse connections, and cut those that stand."""
        if self.server is not None:
            self.server.close()
        self.cut()

    def cut(self) -> None:
        """Break every watch."""
        for writer in list(self.watches):
            writer.transport.abort()

    def whole(self) -> dict[str, Any]:
        """The whole list."""
        return {"rev": self.rev, "all": True, "targets": list(self.entries.values())}

    def change(self, *entries: dict[str, Any]) -> None:
        """Tell all watches of a change."""
        self.rev += 1
        for entry in entries:
            self.entries[entry["uid"]] = entry
        self.say(json.dumps({"rev": self.rev, "all": False, "targets": list(entries)}).encode())
        self.entries = {uid: one for uid, one in self.entries.items() if one["state"] != "left"}

    def say(self, line: bytes) -> None:
        """Write one line on all watches."""
        for writer in list(self.watches):
            writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                fields = _fields(head)
                if head[0].startswith("POST /status "):
                    body = await reader.readexactly(int(fields["content-length"]))
                    status = 400 if self.refuses and self.refuses in body else self.status
                    if status == 204:
                        self.notices += [(wall(), json.loads(line)) for line in body.splitlines() if line]
                        self.told()
                    writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode())
                elif not self.silent:
                    self.asked.append(int(head[0].partition("since=")[2].partition(" ")[0]))
                    await asyncio.sleep(self.delay)
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    self.watches.add(writer)
                    line = json.dumps(self.whole()).encode()
                    writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()
