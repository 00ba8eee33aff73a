"""A stand-in forward destination with the troubles of the laboratory's partners."""

from __future__ import annotations

import asyncio
import json
import secrets
import time

from brassweir.forward import events, message
from brassweir.forward.errors import ForwardError
from brassweir.forward.message import Message
from brassweir.forward.session import Admitted, Denied, ReceivedMessage, Session
from brassweir.lab.judges.tape import Arrival, Tape
from brassweir.lab.models.desk import Manner
from brassweir.lab.standins.works import SPOILT, Works


class Keys:
    """Every sender has the same key."""

    def __init__(self, key: bytes) -> None:
        self.key = key

    def keys(self, source: str) -> tuple[bytes, ...]:
        """Whoever knows it is let in."""
        return (self.key,)

    def password(self, source: str, username: str) -> bytes | None:
        """Nobody has one."""
        return None

    def needs_user(self) -> bool:
        """Nobody does."""
        return False


class Sink(Works):
    """One destination with one or more endpoints."""

    def __init__(self, name: str, key: bytes, manner: Manner, tape: Tape, seed: int) -> None:
        super().__init__(name, manner, tape, seed)
        self.key = key
        self.listeners: dict[str, tuple[asyncio.Server, int]] = {}
        self.lines: set[_Line] = set()

    async def listen(self, endpoint: str, port: int = 0) -> int:
        """Serve one endpoint and return its port."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: _Line(self, endpoint), "127.0.0.1", port, backlog=256)
        got = int(server.sockets[0].getsockname()[1])
        self.listeners[endpoint] = (server, got)
        return got

    def refuse(self) -> None:
        """Take no connections, and drop those there are."""
        for server, _ in self.listeners.values():
            server.close()
        for line in list(self.lines):
            line.drop()

    async def reopen(self) -> None:
        """Listen again, at the same ports."""
        for endpoint, (_, port) in list(self.listeners.items()):
            await self.listen(endpoint, port)

    def stop(self) -> None:
        """End everything."""
        super().stop()
        self.refuse()

    async def serve(self, line: _Line, given: Message) -> None:
        """One chunk: carried out and acked, or spoilt as the script says."""
        now, ident = time.time(), given.chunk
        document = _document(given)
        payment = document.get("payment", "")
        self.number += 1
        number, sender = self.number, line.session.source
        self.tape.add(Arrival(now, number, self.name, line.endpoint, sender, ident, payment))
        ended = self.ender(number, sender)
        trouble = self.struck(now)
        kind = trouble.kind if trouble is not None else ""
        if trouble is not None and kind in ("hang", "refuse"):
            await asyncio.sleep(max(0.0, self.start + trouble.end - time.time()))
            ended("hung")
            line.drop()
            return
        if kind in ("fast_errors", "reset", "shut"):
            ended("error" if kind == "fast_errors" else "reset")
            line.drop()
            return
        if self.tips(now, sender) or now < self.desk.fallen:
            ended("fallen")
            line.drop()
            return
        if self.desk.limited(now) > 0.0 or self.queued >= self.manner.queue:
            ended("reset")  # there is no word for busy: it closes
            line.drop()
            return
        slow = trouble.factor if trouble is not None and kind == "slow" else 1.0
        await self.carry_out(document, ident, slow)
        ended(kind if kind in SPOILT else "done")
        if kind in SPOILT:
            if kind == "lost":
                await asyncio.sleep(3.0)
            if kind == "cut_head":
                line.say(message.ack(ident)[:3])
            line.drop()
        elif kind in ("garbage", "bad_mic"):
            line.say(b"\xc1\xc1" if kind == "garbage" else message.ack("another"))
        else:
            line.say(message.ack(ident))


def _document(given: Message) -> dict[str, str]:
    """The payment that a chunk carries, whether as a record or as a document within one."""
    first = next(events.unpack(given.entries(64_000_000), 1_000_000)).record
    if "payment" in first:
        return {"payment": str(first["payment"]), "effect": str(first["effect"])}
    found: dict[str, dict[str, str]] = json.loads(str(first["content"]).splitlines()[0])
    return found.get("record", found)  # type: ignore[arg-type]  # a line of events, or a payment


class _Line(asyncio.Protocol):
    """A sender's connection."""

    def __init__(self, sink: Sink, endpoint: str) -> None:
        self.sink, self.endpoint = sink, endpoint
        self.session = Session(Keys(sink.key), sink.name, secrets.token_bytes(16), b"", 64_000_000)
        self.transport: asyncio.Transport | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet it."""
        self.transport = transport  # type: ignore[assignment]  # uvloop's transports are no subclass
        if len(self.sink.lines) >= self.sink.manner.connections:
            self.drop()
            return
        self.sink.lines.add(self)
        self.say(self.session.hello())

    def connection_lost(self, exc: Exception | None) -> None:
        """It is gone."""
        self.sink.lines.discard(self)

    def data_received(self, data: bytes) -> None:
        """Serve what comes."""
        try:
            self.session.feed(data)
            for event in self.session.events():
                if isinstance(event, Admitted | Denied):
                    self.say(event.reply)
                elif isinstance(event, ReceivedMessage) and event.message is not None:
                    task = asyncio.get_running_loop().create_task(self.sink.serve(self, event.message))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
        except ForwardError:
            self.drop()

    def say(self, data: bytes) -> None:
        """Write."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def drop(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()
