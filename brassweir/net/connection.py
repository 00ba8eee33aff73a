"""One connection to an endpoint, whatever is spoken on it, and honest endings of its calls.

What a caller must know of a failed call is whether it can have been read. So every failure tells how far the
call came: nothing was written, something was written, or part of an answer had come.
"""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Protocol, cast

from brassweir.net.limits import Limits


class Stage(Enum):
    """How far a failed call came."""

    CONNECT = "connect"  # no connection: not a byte was written
    SENT = "sent"  # some byte of the request went out, none of an answer came
    HEAD = "head"  # cut within the answer's head
    BODY = "body"  # cut within the answer's body
    GARBLED = "garbled"  # the answer is no HTTP, or over a limit


class CallFailed(Exception):
    """A call without a whole answer. ``late``: its time ran out; else the peer or the path ended it.

    ``kept``: the connection had carried calls before, so that its end says nothing of the peer now.
    """

    def __init__(self, stage: Stage, reason: str, timed_out: bool = False, reused: bool = False) -> None:
        super().__init__(f"{reason} ({stage.value})")
        self.stage, self.reason, self.timed_out, self.reused = stage, reason, timed_out, reused


class Owner(Protocol):
    """The pool of a connection, as far as the connection knows it."""

    limits: Limits

    def lost(self, connection: Connection) -> None:
        """A connection that stood is gone."""


class Connection(asyncio.Protocol):
    """One connection, one call at a time. What is spoken on it is a subclass's to know."""

    def __init__(self, pool: Owner, loop: asyncio.AbstractEventLoop) -> None:
        self.pool, self.loop = pool, loop
        self.transport: asyncio.Transport | None = None
        self.usable = False
        self.standing = False  # set up, so that its end counts it out
        self.stage = Stage.SENT
        self.timer: asyncio.TimerHandle | None = None
        self.stale_at = float("inf")  # loop time from which the peer may have closed it

    async def perform_handshake(self) -> None:
        """What must pass before a first call; part of the set-up. Raises CallFailed."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection stands."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclass
        self.usable = True

    def connection_lost(self, exc: Exception | None) -> None:
        """The peer, the path or we have ended it."""
        self.usable = False
        self.set_timer(None)
        self.fail(CallFailed(self.stage, str(exc) if exc else "connection closed"))
        if self.standing:
            self.standing = False
            self.pool.lost(self)

    def fresh(self, now: float) -> bool:
        """May a call go out on it? By the clock, and by what is known of the peer."""
        return (
            self.usable
            and now < self.stale_at
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def set_timer(self, span: float | None) -> None:
        """Close after so long (ms) unused, or never."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(span / 1000.0, self.drop) if span is not None else None

    def drop(self) -> None:
        """Close at once."""
        self.usable = False
        if self.transport is not None:
            self.transport.abort()

    def fail(self, error: CallFailed) -> None:
        """End the call in work, if there is one."""
        raise NotImplementedError
