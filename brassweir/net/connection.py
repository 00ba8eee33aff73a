"""Protocol-independent client connections, and the exception that says how far a failed call came.

A caller may repeat a call only if the endpoint cannot have processed it. Every failure therefore carries a
stage: nothing was written, the request was written in part or in full, or part of a response was received.
"""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Protocol, cast

from brassweir.net.limits import Limits


class Stage(Enum):
    """How far a failed call came."""

    CONNECT = "connect"  # the endpoint cannot have received the complete request
    SENT = "sent"  # the request may have been received; no byte of a response was
    HEAD = "head"  # the response ended within its head
    BODY = "body"  # the response ended within its body
    GARBLED = "garbled"  # the response violates the protocol or exceeds a limit


class CallFailed(Exception):
    """A call ended without a complete response.

    ``timed_out``: its deadline passed; otherwise the peer or the network ended it. ``reused``: the connection
    had carried calls before, so the peer may only have closed it as idle.
    """

    def __init__(self, stage: Stage, reason: str, timed_out: bool = False, reused: bool = False) -> None:
        super().__init__(f"{reason} ({stage.value})")
        self.stage, self.reason, self.timed_out, self.reused = stage, reason, timed_out, reused


class ConnectionOwner(Protocol):
    """What a connection needs of the pool it belongs to."""

    limits: Limits

    def connection_closed(self, connection: Connection) -> None:
        """Removes an established connection that was closed."""


class Connection(asyncio.Protocol):
    """A client connection that carries one call at a time; subclasses implement the protocol."""

    def __init__(self, pool: ConnectionOwner, loop: asyncio.AbstractEventLoop) -> None:
        self.pool, self.loop = pool, loop
        self.transport: asyncio.Transport | None = None
        self.usable = False
        self.established = False  # handshake done; the pool is notified when it closes
        self.stage = Stage.SENT
        self.timer: asyncio.TimerHandle | None = None
        self.stale_at = float("inf")  # loop time, seconds; from then on the peer may have closed it as idle

    async def perform_handshake(self) -> None:
        """Performs the protocol's handshake, if it has one, before the first call. Raises CallFailed."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Marks the connection as usable."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's do not subclass it
        self.usable = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the current call and notifies the pool, whichever side closed the connection."""
        self.usable = False
        self.set_idle_timer(None)
        self.fail(CallFailed(self.stage, str(exc) if exc else "connection closed"))
        if self.established:
            self.established = False
            self.pool.connection_closed(self)

    def is_available(self, now: float) -> bool:
        """Returns whether a call may be sent on this idle connection at loop time ``now`` (seconds)."""
        return (
            self.usable
            and now < self.stale_at
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def set_idle_timer(self, timeout_ms: float | None) -> None:
        """Closes the connection after ``timeout_ms`` without a call; None cancels the timer."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(timeout_ms / 1000.0, self.drop) if timeout_ms is not None else None

    def drop(self) -> None:
        """Aborts the connection."""
        self.usable = False
        if self.transport is not None:
            self.transport.abort()

    def fail(self, error: CallFailed) -> None:
        """Ends the current call, if there is one, with ``error``."""
        raise NotImplementedError
