"""Heartbeats of sources over UDP."""

from __future__ import annotations

import asyncio
from typing import cast


class Heartbeat(asyncio.DatagramProtocol):
    """Answers heartbeats over UDP: one byte for each datagram, so that nobody gains by forging them."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Answer."""
        self.transport.sendto(b"\0", addr)
