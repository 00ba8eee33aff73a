"""Ends a connection without a TCP reset, so that the peer reads everything that was written to it.

Closing a socket with unread bytes resets the connection (RFC 1122, section 4.2.2.13), and so do bytes that
arrive after the close. The reset can destroy what the peer has not read yet. A lingering close sends EOF
behind the last byte, then reads and discards until the peer closes, for ``LINGER_SECONDS`` at most.
"""

from __future__ import annotations

import array
import asyncio
import fcntl
import termios

LINGER_SECONDS = 1.0  # for a peer to read what was written and to close


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Returns the bytes that the system has received for a TCP transport and that were not read yet."""
    socket = transport.get_extra_info("socket")
    count = array.array("i", [0])
    try:
        fcntl.ioctl(socket.fileno(), termios.FIONREAD, count)
    except (OSError, AttributeError, ValueError):
        return 0  # already closed
    return count[0]


class LingeringClose:
    """The end of one transport. Nothing may be written to it after :meth:`start`.

    A peer that is slow to read has ``write_seconds`` for what was written, LINGER_SECONDS at least.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
        max_discarded_bytes: int,
        write_seconds: float = 0.0,
    ) -> None:
        self.transport, self.loop, self.max_discarded_bytes = transport, loop, max_discarded_bytes
        self.write_deadline = loop.time() + write_seconds
        self.discarded_bytes = 0
        self.timer: asyncio.TimerHandle | None = None

    def start(self, *, read_on: bool = True) -> None:
        """Sends EOF after the last byte; without ``read_on`` closes, as the peer has sent EOF itself.

        TLS has an EOF of its own (close_notify), which its transports send and await when they are closed.
        """
        if self.transport.is_closing():
            return
        if read_on and self.transport.can_write_eof():
            self.transport.write_eof()
            self.transport.resume_reading()
        else:
            self.transport.close()
        self.timer = self.loop.call_later(LINGER_SECONDS, self._on_timeout)

    def _on_timeout(self) -> None:
        if self.transport.get_write_buffer_size() and self.loop.time() < self.write_deadline:
            self.timer = self.loop.call_later(LINGER_SECONDS, self._on_timeout)
        else:
            self.transport.abort()

    def discard(self, count: int) -> None:
        """Counts received bytes; aborts the connection of a peer that sends too many."""
        self.discarded_bytes += count
        if self.discarded_bytes > self.max_discarded_bytes:
            self.transport.abort()

    def cancel(self) -> None:
        """Stops the timer, as the connection is lost."""
        if self.timer is not None:
            self.timer.cancel()
