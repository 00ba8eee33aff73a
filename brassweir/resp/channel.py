"""The transport of a client's connection, with flow control and a close that loses no reply.

While a channel drains, nothing more is read, but for what the client still sends after the last reply: that
is discarded (:mod:`brassweir.net.lingering_close`). Discarded commands are not processed; their client sends
them again on another connection.
"""

from __future__ import annotations

import asyncio
from typing import cast

from brassweir.net.lingering_close import LingeringClose, unread_bytes
from brassweir.resp.codec import MAX_COMMAND_BYTES

REPLY_SECONDS = 1.0  # for the replies to what was read, once a channel drains
MAX_PENDING_COMMANDS = 64  # without a reply; reading pauses at this number
MAX_DISCARDED_BYTES = MAX_PENDING_COMMANDS * MAX_COMMAND_BYTES  # then the connection is aborted


class Channel(asyncio.BufferedProtocol):
    """The transport of one connection; subclasses process what is read.

    ``buffer`` receives each read and may be shared by all channels of a loop: its content is used at once.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, buffer: memoryview) -> None:
        self.loop, self.buffer = loop, buffer
        self.transport: asyncio.Transport | None = None
        self.read_paused = False
        self.write_paused = False  # the client does not read its replies fast enough
        self.draining = False  # nothing more is read
        self.client_ended = False  # the client has sent EOF
        self.lingering: LingeringClose | None = None  # EOF was sent; what is received is discarded
        self.reply_timer: asyncio.TimerHandle | None = None

    def on_data(self, data: memoryview) -> None:
        """Processes bytes from the client."""
        raise NotImplementedError

    def on_writable(self) -> None:
        """Continues after the client has read its pending replies."""
        raise NotImplementedError

    def on_reply_timeout(self) -> None:
        """Gives a reply to what has none, and ends the connection."""
        raise NotImplementedError

    @property
    def closing(self) -> bool:
        """Whether the transport is closed or closing."""
        return self.transport is None or self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport, which holds no more replies than a channel reads at once."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's do not subclass it
        self.transport.set_write_buffer_limits(high=len(self.buffer))

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops processing and cancels the timers."""
        self.draining = True
        if self.reply_timer is not None:
            self.reply_timer.cancel()
        if self.lingering is not None:
            self.lingering.cancel()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Processes what was read; bytes that arrive after the last reply are discarded."""
        if self.lingering is not None:
            self.lingering.discard(nbytes)
        elif not self.draining:
            self.on_data(self.buffer[:nbytes])

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

    def unread_bytes(self) -> int:
        """Returns the bytes that have arrived and were not read yet."""
        return unread_bytes(self.transport) if self.transport is not None else 0

    def write(self, data: bytes) -> None:
        """Writes, unless the connection is closing or EOF was sent."""
        if self.transport is not None and not self.transport.is_closing() and self.lingering is None:
            self.transport.write(data)

    def begin_drain(self) -> None:
        """Stops reading; :meth:`on_reply_timeout` follows after REPLY_SECONDS."""
        self.draining = True
        if not self.client_ended:
            self.set_read_paused(True)
        self.reply_timer = self.loop.call_later(REPLY_SECONDS, self.on_reply_timeout)

    def finish(self) -> None:
        """Sends EOF after the last reply, and closes once the client does."""
        if self.lingering is not None or self.transport is None or self.transport.is_closing():
            return
        if self.reply_timer is not None:
            self.reply_timer.cancel()
        self.lingering = LingeringClose(self.transport, self.loop, MAX_DISCARDED_BYTES)
        self.lingering.start(read_on=not self.client_ended)

    def abort(self) -> None:
        """Aborts the connection."""
        if self.transport is not None:
            self.transport.abort()
