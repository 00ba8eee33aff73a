"""One source's connection: bytes to and from a session, paused and resumed as the turns say."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from brassweir.forward.decide.turns import Turns
from brassweir.forward.errors import ForwardError
from brassweir.forward.message import Message
from brassweir.forward.ports import Bounds
from brassweir.forward.session import Admitted, Came, Denied, Session


class Host(Protocol):
    """The front that has accepted a connection, as the connection needs it."""

    bounds: Bounds
    turns: Turns
    buffer: memoryview
    connections: set[Connection]
    readers: dict[int, Connection]
    stopping: bool

    def complain(self, connection: Connection, reason: str) -> None:
        """Note what a peer did that cannot be served."""

    def look_later(self) -> None:
        """Look who may read on, soon."""

    async def take(self, connection: Connection, given: Message, size: int) -> None:
        """See one chunk through to what its source is told."""


class Connection(asyncio.BufferedProtocol):
    """States: greeting, open, closing. One timer serves them all; it stands still while we do not read."""

    def __init__(self, front: Host, session: Session, loop: asyncio.AbstractEventLoop) -> None:
        self.front, self.session, self.loop = front, session, loop
        self.transport: asyncio.Transport | None = None
        self.peer = ""
        self.reader = 0  # the number that the turns know it by, once it is admitted
        self.work: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.due = 0.0  # loop time at which the timer runs out
        self.left: float | None = None  # seconds that it had left when reading stopped
        self.within = False  # a chunk has begun
        self.deaf = False  # the peer does not read its answers
        self.closing = False

    @property
    def source(self) -> str:
        """Who is there; empty until it has proved it."""
        return self.session.source

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet it."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclass
        self.peer = str(transport.get_extra_info("peername"))
        if len(self.front.connections) >= self.front.bounds.connections or self.front.stopping:
            self.drop()
            if not self.front.stopping:
                self.front.complain(self, "too many connections")
            return
        self.front.connections.add(self)
        self.set_timer(self.front.bounds.handshake_time)
        self.transport.write(self.session.hello())

    def connection_lost(self, exc: Exception | None) -> None:
        """It is gone; its chunks go on."""
        self.closing = True
        self.stop_timer()
        self.front.connections.discard(self)
        if self.reader:
            self.front.turns.closed(self.reader)
            del self.front.readers[self.reader]
            self.front.look_later()

    def set_timer(self, span: float) -> None:
        """End the connection in so long (ms), unless something happens."""
        self.stop_timer()
        self.due = self.loop.time() + span / 1000.0
        self.timer = self.loop.call_at(self.due, self.late)

    def stop_timer(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def late(self) -> None:
        """The time of the present state is over."""
        if self.deaf or self.closing:
            pass
        elif not self.source:
            self.front.complain(self, "no handshake in time")
        elif self.within:
            self.front.complain(self, "a chunk was begun and not ended in time")
        elif self.work:
            self.set_timer(self.front.bounds.idle_time)  # it waits for our acks
            return
        self.drop()

    def drop(self) -> None:
        """Close without another word."""
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close once all is written; a peer that does not read it has the write time."""
        if self.closing or self.transport is None:
            return
        self.closing = True
        self.transport.close()
        self.set_timer(self.front.bounds.write_time)

    def close_if_idle(self) -> None:
        """Close unless an answer is still to come."""
        if not self.work:
            self.close()

    def say(self, data: bytes) -> bool:
        """Write, if it can still be heard."""
        if self.transport is None or self.transport.is_closing():
            return False
        self.transport.write(data)
        return True

    def pause_writing(self) -> None:
        """The peer does not read its answers."""
        self.deaf = True
        self.stop()
        self.set_timer(self.front.bounds.write_time)

    def resume_writing(self) -> None:
        """It has caught up."""
        self.deaf = False
        if not self.closing:
            self.set_timer(self.front.bounds.chunk_time if self.within else self.front.bounds.idle_time)
            self.left = None
            self.consider()

    def get_buffer(self, sizehint: int) -> memoryview:
        """One buffer serves all connections: what is read is taken at once, and never more than a slice."""
        return self.front.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take bytes; stop reading where others are to have their turn."""
        self.data_received(bytes(self.front.buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Take bytes."""
        if self.closing:
            return
        try:
            self.session.feed(data)
            for event in self.session.events():
                self._happened(event)
                if self.closing:
                    return
        except ForwardError as error:
            self.front.complain(self, str(error))
            self.close()
            return
        if not self.source:
            return
        partial = self.session.frames.partial
        self.front.turns.came(self.reader, partial)
        if bool(partial) != self.within:
            self.within = bool(partial)
            bounds = self.front.bounds
            self.set_timer(bounds.chunk_time if self.within else bounds.idle_time)
        self.consider()

    def _happened(self, event: Admitted | Denied | Came) -> None:
        if isinstance(event, Admitted):
            self.say(event.say)
            self.reader = self.front.turns.opened(event.source)
            self.front.readers[self.reader] = self
            self.set_timer(self.front.bounds.idle_time)
        elif isinstance(event, Denied):
            self.front.complain(self, event.reason)
            self.say(event.say)
            self.close()
        elif event.message is not None:
            self.front.turns.whole(self.reader, event.size)
            task = self.loop.create_task(self.front.take(self, event.message, event.size))
            self.work.add(task)
            task.add_done_callback(self.work.discard)

    def consider(self) -> None:
        """Go on reading if it is our turn, else stop until it is."""
        if self.closing or self.deaf or self.transport is None or self.transport.is_closing():
            return
        if self.front.stopping and not self.within:
            self.stop()
        elif self.front.turns.may_read(self.reader, self.loop.time() * 1000.0):
            self.go()
        else:
            self.stop()
            self.front.look_later()

    def stop(self) -> None:
        """Read no more for now; the time to finish a chunk stands still."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
        if self.left is None and self.timer is not None:
            self.left = max(0.1, self.due - self.loop.time())
            self.stop_timer()

    def go(self) -> None:
        """Read on."""
        if self.closing or self.deaf or self.transport is None or self.transport.is_closing():
            return
        self.transport.resume_reading()
        if self.left is not None:
            left, self.left = self.left, None
            self.set_timer(left * 1000.0)
