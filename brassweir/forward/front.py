"""The forward front: sources' chunks in, an ack for each that was delivered or kept.

It reads, authenticates and limits; what becomes of a chunk is the engine's to say, and what its source is
told of that is decided in decide/answers.py. docs/design-forward.md argues why an ack means what it means.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable, Mapping
from ssl import SSLContext
from typing import cast

from brassweir.core.lines import Lines
from brassweir.core.offload import Offload
from brassweir.core.ports import FinalAnswer, Payload, Submission
from brassweir.forward import events, message
from brassweir.forward.connection import Connection
from brassweir.forward.decide import answers
from brassweir.forward.decide.answers import Tell, Told
from brassweir.forward.decide.rules import Body, Placed, place
from brassweir.forward.decide.turns import Turns
from brassweir.forward.errors import ForwardError
from brassweir.forward.message import Message
from brassweir.forward.ports import Bounds, Counts, Keeps, NoCounts, Note, Source, Submits
from brassweir.forward.session import Gatekeeper, Session
from brassweir.interface import MessageClass
from brassweir.undelivered.item import Item

INLINE = 16_384  # bytes: what is unpacked in less time than a thread takes to hear of it
_OWN = "unasked"  # names of chunks whose sources ask for no ack


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
        self.sources, self.gate, self.hostname, self.classes = sources, gate, hostname, classes
        self.number_of, self.engine, self.offload, self.keeps = number_of, engine, offload, keeps
        self.note, self.bounds, self.margin = note, bounds or Bounds(), margin
        self.counts: Counts = counts or NoCounts()
        self.turns = Turns(self.bounds.room)
        self.buffer = memoryview(bytearray(self.turns.slice))
        self.lines = Lines()
        self.connections: set[Connection] = set()
        self.readers: dict[int, Connection] = {}  # by the number that the turns know them by
        self.listener: asyncio.Server | None = None
        self.heart: asyncio.DatagramTransport | None = None
        self.stopping = False
        self.looking: asyncio.Handle | None = None

    # ---- life

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
            transport, _ = await loop.create_datagram_endpoint(_Heart, local_addr=(host, port))
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

    # ---- turns

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

    # ---- chunks

    async def take(self, connection: Connection, given: Message, size: int) -> None:
        """See one chunk through to what its source is told."""
        source = self.sources[connection.source]
        held = [size]

        def grew(to: int) -> None:
            if to > held[0]:
                self.turns.grew(connection.reader, to - held[0])
                held[0] = to

        try:
            told = await self._take(source, given, grew)
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

    async def _take(self, source: Source, given: Message, grew: Callable[[int], None]) -> tuple[Told, Item]:
        asked = bool(given.chunk)
        identity = given.chunk or f"{_OWN}-{secrets.token_hex(12)}"
        placed = place(source.rules, source.name, given.tag)
        number = self.number_of(placed.destination) if placed is not None else None
        nowhere = Item(
            source.name,
            identity,
            placed.destination if placed else "",
            placed.class_name if placed else "",
            given.tag,
            "",
            0.0,
            events.PACKED,
            given.data,
        )
        if not asked and source.acks_required:
            return Told(Tell.CLOSE, "a chunk without an id, which could not be acknowledged"), nowhere
        if placed is None or number is None:
            reason = f"no rule for the tag {given.tag[:200]!r}"
            if placed is not None:
                reason = f"no destination {placed.destination[:200]!r} is known"
            return answers.misplaced(reason, asked), nowhere
        loop = asyncio.get_running_loop()
        cls = self.classes[placed.class_name]
        async with self.lines.turn(placed.key if cls.in_order else "") as turn:
            payload: Payload | None = None
            # What is known already joins, or is told its answer: its entries are not looked at again.
            if not (asked and self.engine.knows(source.name, identity)):
                try:
                    payload = await self._opened(given, placed)
                except ForwardError as error:
                    return answers.unreadable(str(error)), nowhere
                grew(len(payload.content))
            await turn()
            if payload is None and not self.engine.knows(source.name, identity):
                payload = await self._opened(given, placed)  # forgotten while it stood in line
            answered: asyncio.Future[FinalAnswer] = loop.create_future()
            taken = loop.time()
            submission = Submission(
                source.name,
                identity,
                placed.class_name,
                number,
                cls.deadline - self.margin,
                placed.key,
                payload=payload,
            )
            self.engine.submit(submission, _setter(answered))
        answer = await answered
        told = answers.final(answer, asked)
        if told.tell is Tell.ACK:
            now = loop.time()
            self.turns.delivered(source.name, (now - taken) * 1000.0, cls.aim, now * 1000.0)
        if told.tell is Tell.KEEP and payload is None:
            payload = await self._opened(given, placed)
        kept = payload or Payload(events.PACKED, given.data, given.tag)
        return told, Item(
            source.name,
            identity,
            placed.destination,
            placed.class_name,
            given.tag,
            told.reason,
            0.0,
            kept.content_type,
            kept.content,
        )

    async def _opened(self, given: Message, placed: Placed) -> Payload:
        """The chunk in the form that it goes on in. Raises ForwardError."""

        def work() -> tuple[Payload, int]:
            entries = given.entries(self.bounds.unpacked)
            found = events.unpack(entries, self.bounds.entries)
            if placed.body is Body.LINES:
                content, count = events.lines(given.tag, found)
                payload = Payload(events.LINES, content, given.tag)
            else:
                count = sum(1 for _ in found)
                payload = Payload(events.PACKED, entries, given.tag)
            if not count:
                raise ForwardError("a chunk without entries")
            return payload, count

        payload, count = await self.offload(work) if len(given.data) > INLINE else work()
        if given.size is not None and given.size != count:
            self.note("forward_size", {"tag": given.tag[:200], "told": given.size, "counted": count})
        self.counts.chunk(given.mode.value, count, len(given.data))
        return payload

    # ---- answers

    async def _tell(self, connection: Connection, given: Message, outcome: tuple[Told, Item]) -> None:
        told, item = outcome
        name = connection.source
        if told.tell is Tell.KEEP:
            told = await self._keep(told, item, bool(given.chunk))
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

    async def _keep(self, told: Told, item: Item, asked: bool) -> Told:
        """Keep a chunk for the operator; where that fails its source keeps it, if it can."""
        kept = Item(
            item.owner,
            item.identity,
            item.destination,
            item.class_name,
            item.label,
            told.reason,
            time.time() * 1000.0,
            item.content_type,
            item.content,
        )
        try:
            await self.keeps(kept)
        except OSError as error:
            self.note(
                "not_kept",
                {
                    "source": item.owner,
                    "chunk": item.identity,
                    "reason": told.reason,
                    "error": str(error),
                    "lost": not asked,
                },
            )
            return Told(Tell.CLOSE, f"{told.reason}; and not kept: {error}", answers.MISPLACED)
        self.note(
            "kept",
            {
                "source": item.owner,
                "chunk": item.identity,
                "destination": item.destination,
                "reason": told.reason,
            },
        )
        self.counts.told("kept")
        return told


def _setter(answered: asyncio.Future[FinalAnswer]) -> Callable[[FinalAnswer], None]:
    def give(answer: FinalAnswer) -> None:
        if not answered.done():
            answered.set_result(answer)

    return give


class _Heart(asyncio.DatagramProtocol):
    """Answers heartbeats over UDP: one byte for each datagram, so that nobody gains by forging them."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Answer."""
        self.transport.sendto(b"\0", addr)
