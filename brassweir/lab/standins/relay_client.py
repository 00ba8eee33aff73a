"""The platform's clients on loopback: they hand messages in, and note what they were told."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from brassweir.lab.standins.platform import wall


@dataclass(frozen=True, slots=True)
class HandIn:
    """One message as its client sent it, and what it was told."""

    at: float
    id: str
    class_name: str
    destination: int
    span: float
    key: str
    body: bytes
    line: bytes


class Client:
    """One client's connection."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.sent: list[HandIn] = []

    async def open(self) -> Client:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        return self

    async def close(self) -> None:
        """Close."""
        self.writer.transport.abort()

    @staticmethod
    def command(*parts: bytes) -> bytes:
        """One command on the wire."""
        return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)

    async def ask(self, data: bytes) -> bytes:
        """Write these bytes, and read one line."""
        self.writer.write(data)
        return await asyncio.wait_for(self.reader.readline(), 5.0)

    async def put(
        self,
        ident: str,
        class_name: str,
        destination: int,
        span: float = 8000.0,
        key: str = "",
        body: bytes = b"text",
        more: str = "",
        order: bytes = b"0" * 16,
    ) -> bytes:
        """Hand one message in; returns the line of the answer. ``order`` is the key it goes in turn by."""
        names = f"c={class_name},d={span:.0f},dest={destination}" + (f",k={key}" if key else "") + more
        at = wall()
        line = b""
        try:
            line = await self.ask(self.command(b"MSG.PUT", order, ident.encode(), names.encode(), body))
        except ConnectionError:
            pass  # the sender has died: nothing was promised
        self.sent.append(HandIn(at, ident, class_name, destination, span, key, body, line))
        return line
