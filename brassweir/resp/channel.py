"""The transport of a client's connection, with flow control and a lingering close that loses no reply.

Closing a socket with unread bytes resets the connection, and the reset can destroy replies that the client
has not read. A channel therefore sends EOF first, then reads and discards until the client closes, for
``LINGER_SECONDS`` and ``MAX_DISCARDED_BYTES`` at most. Discarded commands are not processed; their client
sends them again on another connection.
"""

from __future__ import annotations

import asyncio
from typing import cast

LINGER_SECONDS = 1.0  # for a client to read its replies and close
MAX_DISCARDED_BYTES = 1 << 20  # then the connection is aborted


class Channel(asyncio.Protocol):
    """The transport of one connection; subclasses process what is read."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.read_paused = False
        self.write_paused = False  # the client does not read its replies fast enough
        self.draining = self.eof_sent = False  # draining: bytes received from now on are discarded
        self.discarded = 0
        self.linger_timer: asyncio.TimerHandle | None = None

    def on_data(self, data: bytes) -> None:
        """Processes bytes from the client."""
        raise NotImplementedError

    def on_writable(self) -> None:
        """Continues after the client has read its pending replies."""
        raise NotImplementedError

    @property
    def closing(self) -> bool:
        """Whether the transport is closed or closing."""
        return self.transport is None or self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's do not subclass it

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops processing and cancels the linger timer."""
        self.draining = True
        if self.linger_timer is not None:
            self.linger_timer.cancel()

    def eof_received(self) -> bool:
        """Closes the connection: a client that sends EOF expects no more replies."""
        return False

    def data_received(self, data: bytes) -> None:
        """Processes bytes, or discards them while draining, up to MAX_DISCARDED_BYTES."""
        if not self.draining:
            self.on_data(data)
            return
        self.discarded += len(data)
        if self.discarded > MAX_DISCARDED_BYTES and self.transport is not None:
            self.transport.abort()

    def pause_writing(self) -> None:
        """Pauses reading, so that no more replies accumulate for a client that does not read them."""
        self.write_paused = True
        if not self.draining:
            self.set_read_paused(True)

    def resume_writing(self) -> None:
        """Continues once the client reads its replies."""
        self.write_paused = False
        self.on_writable()

    def set_read_paused(self, paused: bool) -> None:
        """Pauses or resumes reading from the socket."""
        if self.transport is None or self.transport.is_closing() or paused == self.read_paused:
            return
        self.read_paused = paused
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Writes, unless the connection is closing or EOF was sent."""
        if self.transport is not None and not self.transport.is_closing() and not self.eof_sent:
            self.transport.write(data)

    def send_eof(self) -> None:
        """Sends EOF after the last reply, and resumes reading to discard what still arrives."""
        if self.eof_sent or self.transport is None or self.transport.is_closing():
            return
        self.eof_sent = True
        self.transport.write_eof()
        self.set_read_paused(False)

    def begin_close(self) -> None:
        """Stops processing bytes from the client; aborts the connection after LINGER_SECONDS."""
        self.draining = True
        self.set_read_paused(True)
        self.linger_timer = self.loop.call_later(LINGER_SECONDS, self.abort)

    def abort(self) -> None:
        """Aborts the connection."""
        if self.transport is not None:
            self.transport.abort()
