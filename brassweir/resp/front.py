"""The platform's clients: connections, commands in order, answers in the same order.

``+OK`` is written once the message is in the journal and the module holds it, before any attempt goes out; a
refusal in the module's first turn is ``-BUSY``. What is refused or fails later is told by a notice, which is
not this front's. A client that goes before its answer takes its message back.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import cast

from brassweir.core.engine import Engine
from brassweir.core.ledger import Record, Waiter
from brassweir.core.ports import Answer, FinalAnswer, Submission
from brassweir.resp import codec, handin
from brassweir.resp.crowd import Crowd, Standing

MOST_OPEN = 64  # commands of one connection being answered; more wait in its socket
PENALTY = 0.2  # seconds for which one that sent what cannot be used is not read, doubled with each
MOST_ERRORS = 6  # after so many it is closed
LOOK = 0.05  # seconds between two looks at who has been silent for too long


class Front:
    """Listens for clients. ``listed`` says which destinations there are; ``crowd`` decides who must go."""

    def __init__(self, engine: Engine, crowd: Crowd, listed: Callable[[int], bool],
                 owing: Callable[[Record], Waiter], told: Callable[[int], None]) -> None:
        self.engine, self.crowd, self.listed = engine, crowd, listed
        self.owing, self.told = owing, told
        self.connections: dict[int, _Connection] = {}
        self.last = 0
        self.listener: asyncio.Server | None = None
        self.looking: asyncio.TimerHandle | None = None
        self.taken = self.busy = self.errors = self.withdrawn = 0
        self.opened = self.dropped = 0  # connections: all, and those closed for want of room
        self.silenced = self.idled = 0  # and those closed since they said nothing, or no more

    async def listen(self, host: str, port: int) -> int:
        """Start to listen and return the port. Raises OSError."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: _Connection(self, loop), host, port, backlog=512)
        self.looking = loop.call_later(LOOK, self._look, loop)
        return int(self.listener.sockets[0].getsockname()[1])

    def _look(self, loop: asyncio.AbstractEventLoop) -> None:
        for ident in self.crowd.tired(loop.time()):
            self.connections[ident].tire()
        self.looking = loop.call_later(LOOK, self._look, loop)

    def stop_listening(self) -> None:
        """Take no new connection; those that stand go on."""
        if self.listener is not None:
            self.listener.close()

    def close(self) -> None:
        """Close every connection as soon as it has its answers."""
        self.stop_listening()
        if self.looking is not None:
            self.looking.cancel()
        for connection in list(self.connections.values()):
            connection.end()

    def open(self) -> int:
        """Commands that have no answer yet."""
        return sum(len(one.slots) for one in self.connections.values())


class _Slot:
    """One command's place in the order of answers."""

    __slots__ = ("answer", "record")

    def __init__(self, answer: bytes = b"") -> None:
        self.answer = answer
        self.record: Record | None = None


class _Connection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, front: Front, loop: asyncio.AbstractEventLoop) -> None:
        self.front, self.loop = front, loop
        self.transport: asyncio.Transport | None = None
        self.decoder = codec.Decoder()
        self.slots: deque[_Slot] = deque()
        self.standing: Standing | None = None
        self.paused = self.ending = self.resting = False
        self.faults = 0

    # ---- life

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has connected; if there is no room, somebody must go."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclass
        front = self.front
        front.last += 1
        front.opened += 1
        go, victim = front.crowd.enter(front.last, self.loop.time())
        if victim is not None:
            front.connections[victim].drop()
        if not go:
            front.dropped += 1
            self.ending = True
            transport.close()
            return
        self.standing = front.crowd.standing[front.last]
        front.connections[front.last] = self

    def connection_lost(self, exc: Exception | None) -> None:
        """The client is gone, or we have closed. What has no answer yet is nobody's any more."""
        self.ending = True
        self.leave()
        for slot in self.slots:
            if slot.record is not None and not slot.answer:
                self.front.withdrawn += 1
                self.front.engine.withdraw(slot.record)
        self.slots.clear()

    def leave(self) -> None:
        """It counts no more."""
        if self.standing is not None:
            self.front.crowd.leave(self.standing.id)
            self.front.connections.pop(self.standing.id, None)
            self.standing = None

    def eof_received(self) -> bool:
        """A client that sends no more closes; it waits for no answer."""
        return False

    def drop(self) -> None:
        """Close at once."""
        self.front.dropped += 1
        self.leave()
        if self.transport is not None:
            self.transport.abort()

    def end(self) -> None:
        """Close once every command that was read has its answer."""
        self.ending = True
        if self.transport is not None and not self.transport.is_closing():
            self.pause(True)
            if not self.slots:
                self.transport.close()

    def tire(self) -> None:
        """It has been silent for too long: half a command gets its error line."""
        if self.standing is not None and self.standing.proven:
            self.front.idled += 1
        else:
            self.front.silenced += 1
        if self.decoder.partial:
            self.fault("the command did not come whole")
        self.end()

    def pause(self, yes: bool) -> None:
        """Read no more for now, or again."""
        if self.transport is None or self.transport.is_closing() or yes == self.paused:
            return
        self.paused = yes
        if yes:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    # ---- commands in

    def data_received(self, data: bytes) -> None:
        """Read on."""
        if self.ending:
            return
        self.decoder.feed(data)
        if self.standing is not None:
            self.standing.heard = self.loop.time()
        self.advance()

    def advance(self) -> None:
        """Take up what has come whole, as far as answers keep up."""
        while not self.ending and not self.resting:
            if len(self.slots) >= MOST_OPEN:
                break
            try:
                args = self.decoder.next()
            except codec.Malformed as error:
                self.fault(str(error))
                self.end()
                break
            if args is None:
                break
            self.command(args)
        if self.standing is not None:
            self.standing.working, self.standing.half = bool(self.slots), self.decoder.partial
        if not self.ending:
            self.pause(self.resting or len(self.slots) >= MOST_OPEN)

    def command(self, args: list[bytes]) -> None:
        """Take one command up."""
        name = args[0].upper()
        if name == b"PING" and len(args) == 1:
            if self.standing is not None:
                self.standing.greeted = True
            self.slots.append(_Slot(codec.PONG))
            self.flush()
        elif name == b"MSG.PUT":
            self.put(args)
        else:
            self.fault("only PING and MSG.PUT are served")

    def put(self, args: list[bytes]) -> None:
        """A message is handed in."""
        front, engine = self.front, self.front.engine
        try:
            given = handin.read(args, engine.ledger.classes, front.listed)
            if (given.owner, given.identity) in engine.ledger.by_name:
                raise handin.Unreadable("a message of this id was handed in before")
        except handin.Unreadable as error:
            return self.fault(str(error))
        self.proven()
        slot = _Slot()
        self.slots.append(slot)
        if engine.ledger.held >= engine.settings.max_open:
            front.busy += 1
            return self.answer(slot, codec.busy(0.0))  # the platform's limit on what one sender holds
        self.take(given, slot)

    def take(self, given: Submission, slot: _Slot) -> None:
        """Hand a message to the engine."""
        front = self.front

        def ended(answer: FinalAnswer) -> None:
            if slot.answer:  # taken on: its end goes by notice
                front.owing(record)(answer)
                return
            front.told(record.id)
            if answer.answer is Answer.REFUSED:
                front.busy += 1
                self.answer(slot, codec.busy(answer.retry_after))
            elif answer.answer is Answer.DELIVERED:
                self.answer(slot, codec.OK)
            else:
                self.answer(slot, codec.error(answer.reason))

        def promised() -> None:
            front.taken += 1
            self.answer(slot, codec.OK)

        _, record = front.engine.submit(given, ended)
        slot.record = record
        front.engine.held(record, promised)

    def proven(self) -> None:
        """It has handed a message in."""
        if self.standing is not None:
            self.front.crowd.proved(self.standing.id)

    def fault(self, reason: str) -> None:
        """Answer what cannot be used, and read no more from its sender for a while."""
        self.front.errors += 1
        self.faults += 1
        slot = _Slot(codec.error(reason))
        self.slots.append(slot)
        self.flush()
        if self.faults >= MOST_ERRORS or self.decoder.held > codec.MOST_BYTES:
            self.end()  # it does not stop, or sends on before it has read why: none of that is kept
            self.decoder = codec.Decoder()
        elif not self.ending:
            self.resting = True
            self.loop.call_later(PENALTY * 2.0 ** (self.faults - 1), self.rested)

    def rested(self) -> None:
        """Read on after a fault."""
        self.resting = False
        if not self.ending:
            self.advance()

    # ---- answers out

    def answer(self, slot: _Slot, line: bytes) -> None:
        """A command has its answer."""
        slot.answer = line
        slot.record = None
        self.flush()
        if not self.ending and not self.resting and (self.paused or self.decoder.partial):
            self.advance()

    def flush(self) -> None:
        """Write the answers whose turn has come."""
        lines = []
        while self.slots and self.slots[0].answer:
            lines.append(self.slots.popleft().answer)
        if self.transport is None or self.transport.is_closing():
            return
        if lines:
            self.transport.write(b"".join(lines))
            if self.standing is not None:
                self.standing.heard = self.loop.time()
                self.standing.working = bool(self.slots)
        if self.ending and not self.slots:
            self.transport.close()
