"""The asyncio protocol of one source's connection, with timeouts and backpressure."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from brassweir.forward.decide.read_scheduler import ReadScheduler
from brassweir.forward.errors import ForwardError
from brassweir.forward.message import Message
from brassweir.forward.pausable_timer import PausableTimer
from brassweir.forward.ports import FrontLimits
from brassweir.forward.session import Admitted, Denied, ReceivedMessage, Session
from brassweir.net.lingering_close import LingeringClose


class Front(Protocol):
    """The part of the front that a connection needs."""

    limits: FrontLimits
    scheduler: ReadScheduler
    buffer: memoryview
    connections: set[Connection]
    connection_by_reader: dict[int, Connection]
    stopping: bool

    def report_rejection(self, connection: Connection, reason: str) -> None:
        """Count and log a peer's connection or data that is rejected."""

    def schedule_resume(self) -> None:
        """Schedule a check of which paused connections may resume reading."""

    async def process_chunk(self, connection: Connection, received: Message, size: int) -> None:
        """Deliver one chunk of ``size`` bytes and ack it, or close the connection."""


class Connection(asyncio.BufferedProtocol):
    """One connection: in handshake, open, or closing.

    A single timer bounds the current state: handshake, chunk in progress, idle, or blocked write. While
    reading is paused the timer is stopped, so that a source is not timed out for our own backpressure.
    """

    def __init__(self, front: Front, session: Session, loop: asyncio.AbstractEventLoop) -> None:
        self.front, self.session, self.loop = front, session, loop
        self.transport: asyncio.Transport | None = None
        self.peer = ""
        self.reader_id = 0  # assigned by the scheduler once the source is authenticated; 0 before
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer = PausableTimer(loop, self.on_timeout)
        self.in_chunk = False  # part of a chunk has been received
        self.write_blocked = False  # the transport's write buffer is over its high-water mark
        self.closing = False
        self.finishing = False  # nothing more is read; closes once every chunk read has its answer
        self.peer_ended = False  # the peer has sent EOF
        self.lingering: LingeringClose | None = None

    @property
    def source(self) -> str:
        """The authenticated source's name; empty before the handshake is complete."""
        return self.session.source

    @property
    def may_read(self) -> bool:
        """Whether this connection's own state lets it read."""
        ended = self.closing or self.finishing or self.transport is None or self.transport.is_closing()
        return not ended and not self.write_blocked

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send HELO, or drop the connection if there are too many or the front is stopping."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclass
        self.peer = str(transport.get_extra_info("peername"))
        if len(self.front.connections) >= self.front.limits.max_connections or self.front.stopping:
            self.drop()
            if not self.front.stopping:
                self.front.report_rejection(self, "too many connections")
            return
        self.front.connections.add(self)
        self.timer.set(self.front.limits.handshake_ms)
        self.transport.write(self.session.hello())

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection; chunks already received are still delivered."""
        self.closing = True
        self.timer.stop()
        if self.lingering is not None:
            self.lingering.cancel()
        self.front.connections.discard(self)
        if self.reader_id:
            self.front.scheduler.remove_reader(self.reader_id)
            del self.front.connection_by_reader[self.reader_id]
            self.front.schedule_resume()

    def on_timeout(self) -> None:
        """End the connection when its state's time is over, unless an idle source waits for our acks."""
        if self.write_blocked:
            pass
        elif not self.source:
            self.front.report_rejection(self, "no handshake in time")
        elif self.in_chunk:
            self.front.report_rejection(self, "a chunk was begun and not ended in time")
            self.finish()
            return
        elif self.tasks:
            self.timer.set(self.front.limits.idle_ms)
            return
        self.drop()

    def drop(self) -> None:
        """Abort the connection; unsent data is discarded."""
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close once the peer has read what was written; what it still sends is discarded."""
        if self.closing or self.transport is None:
            return
        self.closing = True
        self.timer.stop()
        limits = self.front.limits
        self.lingering = LingeringClose(
            self.transport, self.loop, limits.chunk_bytes, limits.write_ms / 1000.0
        )
        self.lingering.start(read_on=not self.peer_ended)

    def finish(self) -> None:
        """Read nothing more, and close once every chunk that was read has its answer."""
        self.finishing = True
        self.pause()
        self.timer.stop()
        self.session.frames.discard()
        if self.reader_id:
            self.front.scheduler.update_partial(self.reader_id, 0)
            self.front.schedule_resume()
        self.close_if_idle()

    def eof_received(self) -> bool:
        """Keep the connection open for the acks of chunks that were read whole."""
        self.peer_ended = True
        if not self.tasks or self.transport is None or not self.transport.can_write_eof():
            return False  # TLS closes both directions together
        self.finish()
        return True

    def close_if_idle(self) -> None:
        """Close unless a chunk is unanswered."""
        if not self.tasks:
            self.close()

    def send(self, data: bytes) -> bool:
        """Write data; returns False if the connection is already closing."""
        if self.transport is None or self.transport.is_closing():
            return False
        self.transport.write(data)
        return True

    def pause_writing(self) -> None:
        """Pause reading while the peer does not read our answers, and start the write timeout."""
        self.write_blocked = True
        self.pause()
        self.timer.set(self.front.limits.write_ms)

    def resume_writing(self) -> None:
        """Resume reading, if the scheduler allows it, once the write buffer has drained."""
        self.write_blocked = False
        if not self.closing:
            self.timer.set(self.front.limits.chunk_ms if self.in_chunk else self.front.limits.idle_ms)
            self.timer.remaining = None
            self.update_reading()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer shared by all connections; :meth:`buffer_updated` copies from it at once."""
        return self.front.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process received bytes, copied out of the buffer, or discard them once the connection ends."""
        if self.lingering is not None:
            self.lingering.discard(nbytes)
        elif not self.closing and not self.finishing:
            self.data_received(bytes(self.front.buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Process received bytes; a protocol error ends the connection, after the acks of earlier chunks."""
        try:
            self.session.feed(data)
            for event in self.session.events():
                self._handle_event(event)
                if self.closing:
                    return
        except ForwardError as error:
            self.front.report_rejection(self, str(error))
            self.finish()
            return
        if not self.source:
            return
        partial = self.session.frames.partial
        self.front.scheduler.update_partial(self.reader_id, partial)
        if bool(partial) != self.in_chunk:
            self.in_chunk = bool(partial)
            limits = self.front.limits
            self.timer.set(limits.chunk_ms if self.in_chunk else limits.idle_ms)
        self.update_reading()

    def _handle_event(self, event: Admitted | Denied | ReceivedMessage) -> None:
        if isinstance(event, Admitted):
            self.send(event.reply)
            self.reader_id = self.front.scheduler.add_reader(event.source)
            self.front.connection_by_reader[self.reader_id] = self
            self.timer.set(self.front.limits.idle_ms)
        elif isinstance(event, Denied):
            self.front.report_rejection(self, event.reason)
            self.send(event.reply)
            self.close()
        elif event.message is not None:
            self.front.scheduler.chunk_received(self.reader_id, event.size)
            task = self.loop.create_task(self.front.process_chunk(self, event.message, event.size))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def update_reading(self) -> None:
        """Resume reading if the scheduler allows it; otherwise pause until it does."""
        if not self.may_read:
            return
        if self.front.stopping and not self.in_chunk:
            self.pause()
        elif self.front.scheduler.may_read(self.reader_id, self.loop.time() * 1000.0):
            self.resume()
        else:
            self.pause()
            self.front.schedule_resume()

    def pause(self) -> None:
        """Pause reading, and stop the timer with its remaining time saved."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
        self.timer.pause()

    def resume(self) -> None:
        """Resume reading, and the timer with its remaining time."""
        if not self.may_read or self.transport is None:
            return
        self.transport.resume_reading()
        self.timer.resume()
