"""The transport of one connection of a server: timer, back-pressure, and a close that loses no response."""

from __future__ import annotations

import asyncio
from typing import cast

from brassweir.net.limits import Limits
from brassweir.net.lingering_close import LingeringClose


class ServerTransport(asyncio.Protocol):
    """One connection without what is spoken on it, which a subclass adds; one timer serves all its states."""

    def __init__(self, limits: Limits, loop: asyncio.AbstractEventLoop) -> None:
        self.limits, self.loop = limits, loop
        self.transport: asyncio.Transport | None = None
        self.peer = ""
        self.closing = False
        self.peer_ended = False  # the peer has sent EOF
        self.write_blocked = False  # the peer does not read responses fast enough
        self.lingering: LingeringClose | None = None
        self.timer: asyncio.TimerHandle | None = None

    def on_timeout(self) -> None:
        """Ends the current state, whose time is over."""
        raise NotImplementedError

    def idle_timeout(self) -> float | None:
        """Returns the timeout (ms) of the current state, once nothing is left to be written."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's do not subclass it
        self.peer = str(transport.get_extra_info("peername"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the timers."""
        self.closing = True
        self.set_timeout(None)
        if self.lingering is not None:
            self.lingering.cancel()

    def set_timeout(self, timeout_ms: float | None) -> None:
        """Sets the timeout of the current state; None cancels it."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = (
            self.loop.call_later(timeout_ms / 1000.0, self.on_timeout) if timeout_ms is not None else None
        )

    def drop(self) -> None:
        """Aborts the connection."""
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def close_after_write(self) -> None:
        """Closes once the peer has all that was written; discards what it still sends, up to one body."""
        self.closing = True
        self.set_timeout(None)
        if self.transport is not None and self.lingering is None:
            self.lingering = LingeringClose(
                self.transport, self.loop, self.limits.body_bytes, self.limits.write_ms / 1000.0
            )
            self.lingering.start(read_on=not self.peer_ended)

    def pause_reading(self) -> None:
        """Pauses reading from the socket."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Resumes reading from the socket."""
        if self.transport is not None and not self.transport.is_closing() and not self.peer_ended:
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Starts the write timeout: the peer does not read fast enough."""
        self.write_blocked = True
        if not self.closing:
            self.set_timeout(self.limits.write_ms)

    def resume_writing(self) -> None:
        """Ends the write timeout."""
        self.write_blocked = False
        if not self.closing:
            self.set_timeout(self.idle_timeout())
