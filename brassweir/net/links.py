"""Connections to one endpoint, whatever is spoken on them: a pool with a cap, and honest endings.

What a caller must know of a failed call is whether it can have been read. So every failure tells how far the
call came: nothing was written, something was written, or part of an answer had come.
"""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum
from ssl import SSLContext
from typing import cast
from urllib.parse import SplitResult, urlsplit

from brassweir.net.limits import Limits

PORTS = {"http": 80, "https": 443, "forward": 24224}  # schemes, and where they are at home
# The system itself is short of something: no sign of the destination's health.
SHORT = frozenset({errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM})
COST_GAIN = 0.3  # weight of a new set-up time in its mean: some three are remembered
RETRY = 0.02  # seconds until a set-up that met such a shortage is tried again


class Short(Exception):
    """A set-up failed for want of a descriptor or port of ours."""


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

    def __init__(self, stage: Stage, reason: str, late: bool = False, kept: bool = False) -> None:
        super().__init__(f"{reason} ({stage.value})")
        self.stage, self.reason, self.late, self.kept = stage, reason, late, kept


@dataclass(frozen=True, slots=True)
class Address:
    """Where an endpoint is."""

    host: str
    port: int
    target: str
    tls: bool

    @staticmethod
    def of(url: str) -> Address:
        """Read a URL. Raises ValueError with the reason."""
        parts: SplitResult = urlsplit(url)
        if parts.scheme not in PORTS or not parts.hostname:
            raise ValueError(f"{url!r} is no http, https or forward URL with a host")
        if parts.username or parts.password or parts.fragment:
            raise ValueError(f"{url!r} may hold no user, password or fragment")
        if any(char <= " " or char == "\x7f" for char in url):
            raise ValueError(f"{url!r} holds a space or control character")
        tls = parts.scheme == "https"
        target = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
        return Address(parts.hostname, parts.port or PORTS[parts.scheme], target, tls)


class House:
    """What pools share; this one sets no limits. All is told of every connection and call."""

    @asynccontextmanager
    async def room(self, pool: Links) -> AsyncIterator[None]:
        """Hold room for one more connection while it is set up; it keeps it if this ends well."""
        yield

    def opened(self, pool: Links) -> None:
        """A connection stands after all, though its set-up was given up."""

    def closed(self, pool: Links) -> None:
        """A connection is gone."""

    def busy(self, pool: Links) -> None:
        """A connection carries a call."""

    def idle(self, pool: Links) -> None:
        """A connection carries none any more."""

    def short(self) -> None:
        """The system has no descriptor or port left."""

    def left(self, pool: Links) -> None:
        """A call or connection of the pool has ended."""


class Link(asyncio.Protocol):
    """One connection, one call at a time. What is spoken on it is a subclass's to know."""

    def __init__(self, pool: Links, loop: asyncio.AbstractEventLoop) -> None:
        self.pool, self.loop = pool, loop
        self.transport: asyncio.Transport | None = None
        self.usable = False
        self.stage = Stage.SENT
        self.timer: asyncio.TimerHandle | None = None
        self.stale_at = float("inf")  # loop time from which the peer may have closed it

    async def greet(self) -> None:
        """What must pass before a first call; part of the set-up. Raises CallFailed."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection stands."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclass
        self.usable = True

    def connection_lost(self, exc: Exception | None) -> None:
        """The peer, the path or we have ended it."""
        self.usable = False
        self.set_timer(None)
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        self.fail(CallFailed(self.stage, str(exc) if exc else "connection closed"))
        self.pool.house.closed(self.pool)
        self.pool._closed()

    def fresh(self, now: float) -> bool:
        """May a call go out on it? By the clock, and by what is known of the peer."""
        return (self.usable and now < self.stale_at and self.transport is not None
                and not self.transport.is_closing())

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


class Links:
    """Connections to one endpoint.

    ``cap`` bounds those open at once, ``idle`` (ms) is how long one is kept unused: shorter than the peer
    keeps it, or calls meet its closing. ``tls`` is the seam for a later direction.
    """

    def __init__(self, address: Address, limits: Limits, cap: int, idle: float, connect: float,
                 tls: SSLContext | None = None, house: House | None = None) -> None:
        if address.tls and tls is None:
            raise ValueError("https endpoints need a TLS context, which this version does not make")
        self.address, self.limits, self.tls = address, limits, tls
        self.cap, self.idle_time, self.connect_time = cap, idle, connect
        self.idle: deque[Link] = deque()
        self.open = 0  # connections, those being made included
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.made = self.calls = 0  # connections and calls so far
        self.users = 0  # calls under way, those that wait for a connection included
        self.house = house or House()
        self.cost = 1.0  # ms that setting up a connection took lately

    @asynccontextmanager
    async def link(self, deadline: float, begin: float | None = None,
                   go: Callable[[], bool] = lambda: True) -> AsyncIterator[Link]:
        """A connection for one call, which is over by ``deadline`` (loop time, seconds). Raises CallFailed.

        Past ``begin``, or where ``go`` says no, none is given: a call whose caller has given it up, or called
        it back while it waited here, must not go out all the same. Nothing is repeated here: whether a call
        may go again is not this layer's to say.
        """
        loop = asyncio.get_running_loop()
        self.calls += 1
        self.users += 1
        try:
            first = deadline if begin is None else min(begin, deadline)
            connection = await self._take(loop, first)
            self.house.busy(self)
            try:
                if loop.time() >= first:
                    raise CallFailed(Stage.CONNECT, "its time was over before it could be written", late=True)
                if not go():
                    raise CallFailed(Stage.CONNECT, "called back before anything was written")
                yield connection
            finally:
                self.house.idle(self)
                self._give_back(connection)
        finally:
            self.users -= 1
            self.house.left(self)

    def make(self, loop: asyncio.AbstractEventLoop) -> Link:
        """A connection of the protocol that is spoken here, not yet open."""
        raise NotImplementedError

    def close_idle(self, most: int | None = None) -> int:
        """Close unused connections, the oldest first, at most so many, and return how many."""
        count = len(self.idle) if most is None else min(most, len(self.idle))
        for _ in range(count):
            self.idle.popleft().drop()
        return count

    async def _take(self, loop: asyncio.AbstractEventLoop, deadline: float) -> Link:
        until = min(loop.time() + self.connect_time / 1000.0, deadline)
        while True:
            while self.idle:
                connection = self.idle.pop()  # the one used last: the peer closes it last
                # By the clock and not only by the timer, which a loop that stood still fires late.
                if connection.fresh(loop.time()):
                    connection.set_timer(None)
                    return connection
                connection.drop()
            if self.open < self.cap:
                return await self._connect(loop, until)
            turn: asyncio.Future[None] = loop.create_future()
            self.waiting.append(turn)
            try:
                async with asyncio.timeout_at(until):
                    await turn
            except TimeoutError:
                raise CallFailed(Stage.CONNECT, "no free connection in time", late=True) from None
            finally:
                if turn in self.waiting:
                    self.waiting.remove(turn)

    async def _connect(self, loop: asyncio.AbstractEventLoop, until: float) -> Link:
        self.open += 1
        connection = self.make(loop)
        begun = False
        try:
            async with asyncio.timeout_at(until):
                while True:
                    try:
                        async with self.house.room(self):
                            begun = True
                            before = loop.time()
                            await self._dial(loop, connection)
                            await connection.greet()
                            self.made += 1
                            self.cost += COST_GAIN * ((loop.time() - before) * 1000.0 - self.cost)
                            return connection
                    except Short:
                        self.house.short()
                        await asyncio.sleep(RETRY)
        except BaseException as error:
            if connection.transport is None:
                self._closed()
            else:  # it came to stand just as its time ran out: its own end counts it out
                self.house.opened(self)
                connection.drop()
            if isinstance(error, TimeoutError):
                reason = "connect timed out" if begun else "no room for another connection in time"
                raise CallFailed(Stage.CONNECT, reason, late=True) from None
            if isinstance(error, CallFailed):  # it was not let in: nothing of a message was written
                raise CallFailed(Stage.CONNECT, error.reason, error.late) from None
            if isinstance(error, OSError):
                raise CallFailed(Stage.CONNECT, error.strerror or str(error)) from None
            raise

    async def _dial(self, loop: asyncio.AbstractEventLoop, connection: Link) -> None:
        try:
            await loop.create_connection(lambda: connection, self.address.host, self.address.port,
                                         ssl=self.tls)
        except OSError as error:
            if error.errno in SHORT:
                raise Short from None
            raise

    def _give_back(self, connection: Link) -> None:
        if connection.usable:
            self.idle.append(connection)
            connection.stale_at = connection.loop.time() + self.idle_time / 1000.0
            connection.set_timer(self.idle_time)
            self._wake()
        else:
            connection.drop()

    def _closed(self) -> None:
        self.open -= 1
        self._wake()
        self.house.left(self)

    def _wake(self) -> None:
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
