"""Answers sources' heartbeats over UDP."""

from __future__ import annotations

import asyncio
from typing import cast


class Heartbeat(asyncio.DatagramProtocol):
    """Answers each datagram with one byte, so that forged ones cannot be used for amplification."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for answers."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Answer a heartbeat."""
        self.transport.sendto(b"\0", addr)
