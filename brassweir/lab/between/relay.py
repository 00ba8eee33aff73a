"""The relay that every message between copies passes: one UDP port for each ordered pair."""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import cast

from brassweir.lab.between.fate import HOLD, Fates
from brassweir.lab.between.tape import Fate, RelayTape, kind_of

MOST_HELD = 10_000  # datagrams on their way at once; beyond that they are lost, as in a full queue


class _Way(asyncio.DatagramProtocol):
    """One ordered pair."""

    def __init__(self, relay: Relay, sender: str, to: str) -> None:
        self.relay, self.sender, self.to = relay, sender, to
        self.transport: asyncio.DatagramTransport | None = None
        self.held: bytes | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep it."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | None, int]) -> None:
        """Ask for its fate, and carry that out."""
        relay = self.relay
        now = time.time() - relay.start
        passage = relay.fates.of(now, self.sender, self.to)
        fate = passage.fate
        if passage.delays and relay.under_way >= MOST_HELD:
            fate = Fate.UNSENT
        relay.tape.add(now, self.sender, self.to, len(data), fate, kind_of(data))
        if fate in (Fate.UNSENT, Fate.LOST, Fate.CUT):
            return
        if passage.spoilt >= 0 and data:
            at = passage.spoilt % (8 * len(data))
            data = data[: at // 8] + bytes([data[at // 8] ^ 1 << at % 8]) + data[at // 8 + 1 :]
        if passage.hold and self.held is None:
            self.held = data
            asyncio.get_running_loop().call_later(HOLD, self.release)
            return
        for delay in passage.delays:
            if delay:
                relay.under_way += 1
                asyncio.get_running_loop().call_later(delay, self._late, data)
            else:
                self.forward(data)
        self.release()

    def _late(self, data: bytes) -> None:
        self.relay.under_way -= 1
        self.forward(data)

    def release(self) -> None:
        """Pass on the one that was held back."""
        data, self.held = self.held, None
        if data is not None:
            self.forward(data)

    def forward(self, data: bytes) -> None:
        """Send it to the real port."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, ("127.0.0.1", self.relay.real[self.to]))

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there now: as lost."""


def _same(way: _Way) -> _Way:
    return way


class Relay:
    """All ways between the copies whose real ports are given."""

    def __init__(self, real: dict[str, int], fates: Fates) -> None:
        self.real, self.fates = real, fates
        self.tape = RelayTape(list(real))
        self.start = time.time()
        self.under_way = 0
        self.ways: dict[tuple[str, str], _Way] = {}

    async def listen(self) -> None:
        """Open a port for each ordered pair."""
        loop = asyncio.get_running_loop()
        for sender in self.real:
            for to in self.real:
                if sender != to:
                    way = _Way(self, sender, to)
                    self.ways[sender, to] = way
                    await loop.create_datagram_endpoint(partial(_same, way), local_addr=("127.0.0.1", 0))

    def port(self, sender: str, to: str) -> int:
        """Where ``sender`` sends what is meant for ``to``."""
        transport = self.ways[sender, to].transport
        assert transport is not None
        return int(transport.get_extra_info("sockname")[1])

    def stop(self) -> None:
        """Close all ports."""
        for way in self.ways.values():
            if way.transport is not None:
                way.transport.close()
