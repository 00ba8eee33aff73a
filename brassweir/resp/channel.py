"""The transport under a client's connection: when it is read, and a close that takes no answer with it.

A close over bytes that were not read resets the connection, and the reset takes what was written last.
So a channel shuts its own side first, then reads on and throws away what comes until the client has closed,
for ``LINGER`` seconds and ``WASTE`` bytes at most. A request that crosses the close is never taken up: its
client sends it once more, elsewhere.
"""

from __future__ import annotations

import asyncio
from typing import cast

LINGER = 1.0  # seconds from its end to the reset, for a client that does not read or does not close
WASTE = 1 << 20  # bytes that are thrown away meanwhile; who sends more does not look at what it is told


class Channel(asyncio.Protocol):
    """One connection; ``received`` gets what was read, ``readable`` says that reading may go on."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.paused = False
        self.choked = False  # the client does not read what we write
        self.ending = self.shut = False  # nothing that comes is taken up any more; our side is closed
        self.wasted = 0
        self.linger: asyncio.TimerHandle | None = None

    def received(self, data: bytes) -> None:
        """Something was read, and is to be taken up."""
        raise NotImplementedError

    def readable(self) -> None:
        """The client reads again what we write."""
        raise NotImplementedError

    @property
    def closing(self) -> bool:
        """Is it closed, or about to be?"""
        return self.transport is None or self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It stands."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclass

    def connection_lost(self, exc: Exception | None) -> None:
        """It is gone."""
        self.ending = True
        if self.linger is not None:
            self.linger.cancel()

    def eof_received(self) -> bool:
        """A client that sends no more closes; it waits for no answer."""
        return False

    def data_received(self, data: bytes) -> None:
        """Read on; at the end, only so that no reset takes the last answer."""
        if not self.ending:
            self.received(data)
            return
        self.wasted += len(data)
        if self.wasted > WASTE and self.transport is not None:
            self.transport.abort()

    def pause_writing(self) -> None:
        """The client does not read: nothing more is taken up that would have to be answered."""
        self.choked = True
        if not self.ending:
            self.pause(True)

    def resume_writing(self) -> None:
        """It reads again."""
        self.choked = False
        self.readable()

    def pause(self, yes: bool) -> None:
        """Read no more for now, or again."""
        if self.transport is None or self.transport.is_closing() or yes == self.paused:
            return
        self.paused = yes
        if yes:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Write, unless there is nobody to read it."""
        if self.transport is not None and not self.transport.is_closing() and not self.shut:
            self.transport.write(data)

    def shut_down(self) -> None:
        """All is written: close our side, and throw away what still comes."""
        if self.shut or self.transport is None or self.transport.is_closing():
            return
        self.shut = True
        self.transport.write_eof()
        self.pause(False)

    def finish(self) -> None:
        """Take up nothing that comes from now on; whatever the client does, it is over in a while."""
        self.ending = True
        self.pause(True)
        self.linger = self.loop.call_later(LINGER, self.abort)

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()
