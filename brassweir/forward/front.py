"""The forward front: sources' chunks in, an ack for each that was delivered or kept.

It reads, authenticates and limits; what becomes of a chunk is the engine's to say, and what its source is
told of that is decided in decide/answers.py. docs/design-forward.md argues why an ack means what it means.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Mapping
from ssl import SSLContext

from brassweir.core.offload import Offload
from brassweir.forward import message
from brassweir.forward.chunks import ChunkDelivery
from brassweir.forward.connection import Connection
from brassweir.forward.decide.answers import Tell, Told
from brassweir.forward.decide.turns import Turns
from brassweir.forward.heartbeat import Heartbeat
from brassweir.forward.message import Message
from brassweir.forward.ports import Bounds, Counts, Keeps, NoCounts, Note, Source, Submits
from brassweir.forward.session import Gatekeeper, Session
from brassweir.forward.undelivered import UndeliveredChunks
from brassweir.interface import MessageClass
from brassweir.undelivered.item import UndeliveredItem


class ForwardFront:
    """Serves sources. ``margin`` (ms) is kept of each chunk's time for the ack's own way."""

    def __init__(
        self,
        sources: Mapping[str, Source],
        gate: Gatekeeper,
        hostname: str,
        classes: Mapping[str, MessageClass],
        number_of: Callable[[str], int | None],
        engine: Submits,
        offload: Offload,
        keeps: Keeps,
        note: Note,
        bounds: Bounds | None = None,
        *,
        margin: float = 100.0,
        counts: Counts | None = None,
    ) -> None:
        self.sources, self.gate, self.hostname, self.offload = sources, gate, hostname, offload
        self.note, self.bounds = note, bounds or Bounds()
        self.counts: Counts = counts or NoCounts()
        self.turns = Turns(self.bounds.room)
        self.buffer = memoryview(bytearray(self.turns.slice))
        self.chunks = ChunkDelivery(
            classes, number_of, engine, offload, note, self.bounds, margin, self.counts, self.turns
        )
        self.undelivered = UndeliveredChunks(keeps, note, self.counts)
        self.connections: set[Connection] = set()
        self.readers: dict[int, Connection] = {}  # by the number that the turns know them by
        self.listener: asyncio.Server | None = None
        self.heart: asyncio.DatagramTransport | None = None
        self.stopping = False
        self.looking: asyncio.Handle | None = None

    async def listen(
        self, host: str, port: int, tls: SSLContext | None = None, *, beats: bool = False
    ) -> int:
        """Start to listen and return the port; ``tls`` is the seam for a later direction. With ``beats``,
        heartbeats over UDP are answered at the same port."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: self._connection(loop), host, port, ssl=tls, backlog=1024
        )
        port = int(self.listener.sockets[0].getsockname()[1])
        if beats:
            transport, _ = await loop.create_datagram_endpoint(Heartbeat, local_addr=(host, port))
            self.heart = transport
        return port

    def _connection(self, loop: asyncio.AbstractEventLoop) -> Connection:
        session = Session(
            self.gate, self.hostname, secrets.token_bytes(16), secrets.token_bytes(16), self.bounds.chunk
        )
        return Connection(self, session, loop)

    def stop_taking(self) -> None:
        """Read nothing new; chunks in work are answered still."""
        self.stopping = True
        if self.listener is not None:
            self.listener.close()
        if self.heart is not None:
            self.heart.close()
        for connection in list(self.connections):
            connection.consider() if connection.source else connection.drop()

    def drain(self) -> None:
        """Close every connection as soon as it waits for nothing."""
        self.stop_taking()
        for connection in list(self.connections):
            connection.close_if_idle()

    def abort(self) -> None:
        """Drop every connection."""
        self.drain()
        for connection in list(self.connections):
            connection.drop()
        if self.looking is not None:
            self.looking.cancel()

    def complain(self, connection: Connection, reason: str) -> None:
        """Note what a peer did that cannot be served."""
        self.counts.told("turned_away")
        self.note(
            "forward_turned_away",
            {"peer": connection.peer, "source": connection.source, "reason": reason[:300]},
        )

    def look_later(self) -> None:
        """Look who may read on, soon."""
        if self.looking is None:
            loop = asyncio.get_running_loop()
            self.looking = loop.call_soon(self._looked)

    def _looked(self) -> None:
        self.looking = None
        loop = asyncio.get_running_loop()
        go, again = self.turns.next(loop.time() * 1000.0)
        for reader in go:
            self.readers[reader].go()
        if again is not None and self.looking is None:
            self.looking = loop.call_at(again / 1000.0 + 0.001, self._looked)
        waiting = len(self.turns.line) + len(self.turns.paused)
        self.counts.held(self.turns.held, waiting, len(self.connections))

    async def take(self, connection: Connection, given: Message, size: int) -> None:
        """See one chunk through to what its source is told."""
        source = self.sources[connection.source]
        held = [size]

        def grew(to: int) -> None:
            if to > held[0]:
                self.turns.grew(connection.reader, to - held[0])
                held[0] = to

        try:
            told = await self.chunks.deliver(source, given, grew)
            await self._tell(connection, given, told)
        except Exception as error:  # a fault here must not leave the source waiting
            self.note("forward_fault", {"source": source.name, "error": f"{type(error).__name__}: {error}"})
            connection.close()
        finally:
            self.turns.done(connection.reader, held[0])
            if self.stopping and len(connection.work) <= 1:
                connection.close()
            else:
                self.look_later()

    async def _tell(
        self, connection: Connection, given: Message, outcome: tuple[Told, UndeliveredItem]
    ) -> None:
        told, item = outcome
        name = connection.source
        if told.tell is Tell.KEEP:
            told = await self.undelivered.keep(told, item, bool(given.chunk))
        if told.tell is Tell.CLOSE:
            self.turns.refused(name, told.pause, asyncio.get_running_loop().time() * 1000.0)
            self.counts.told("closed")
            self.note(
                "forward_closed",
                {
                    "source": name,
                    "tag": given.tag[:200],
                    "chunk": given.chunk,
                    "reason": told.reason,
                    "pause_ms": round(told.pause),
                },
            )
            connection.close()
            return
        if given.chunk:
            heard = connection.say(message.ack(given.chunk))
            self.counts.told("acked" if heard else "ack_unheard")
