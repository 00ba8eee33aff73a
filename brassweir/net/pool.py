"""The connection pool of one endpoint, whatever is spoken there, and what all pools share."""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from ssl import SSLContext

from brassweir.net.address import Address
from brassweir.net.connection import CallFailed, Connection, Stage
from brassweir.net.limits import Limits

# The system itself is short of something: no sign of the destination's health.
SHORT = frozenset({errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM})
COST_GAIN = 0.3  # weight of a new set-up time in its mean: some three are remembered
RETRY = 0.02  # seconds until a set-up that met such a shortage is tried again


class ResourceShortage(Exception):
    """A set-up failed for want of a descriptor or port of ours."""


class Freed(Exception):
    """While a call waited to set a connection up, one that stands became free."""


class Limiter:
    """What pools share; this one sets no limits. All is told of every connection and call."""

    @asynccontextmanager
    async def room(self, pool: ConnectionPool) -> AsyncIterator[None]:
        """Hold room for one more connection while it is set up; it keeps it if this ends well. Waits by
        :meth:`ConnectionPool.stand`, which may raise Freed."""
        yield

    def closed(self, pool: ConnectionPool) -> None:
        """A connection is gone."""

    def busy(self, pool: ConnectionPool) -> None:
        """A connection carries a call."""

    def idle(self, pool: ConnectionPool) -> None:
        """A connection carries none any more."""

    def report_shortage(self) -> None:
        """The system has no descriptor or port left."""

    def left(self, pool: ConnectionPool) -> None:
        """A call or connection of the pool has ended."""


class ConnectionPool:
    """Connections to one endpoint.

    ``cap`` bounds those open at once, ``idle`` (ms) is how long one is kept unused: shorter than the peer
    keeps it, or calls meet its closing. ``tls`` is the seam for a later direction.
    """

    def __init__(
        self,
        address: Address,
        limits: Limits,
        max_connections: int,
        idle: float,
        connect_ms: float,
        tls: SSLContext | None = None,
        limiter: Limiter | None = None,
    ) -> None:
        if address.tls and tls is None:
            raise ValueError("https endpoints need a TLS context, which this version does not make")
        self.address, self.limits, self.tls = address, limits, tls
        self.max_connections, self.idle_ms, self.connect_ms = max_connections, idle, connect_ms
        self.idle: deque[Connection] = deque()
        self.open = 0  # connections, those being made included
        self.waiting: deque[asyncio.Future[None]] = deque()  # calls for which the cap has no room
        self.entering: dict[asyncio.Future[bool], None] = {}  # those that the limiter holds up
        self.made = self.calls = 0  # connections and calls so far
        self.users = 0  # calls under way, those that wait for a connection included
        self.limiter = limiter or Limiter()
        self.cost = 1.0  # ms that setting up a connection took lately

    @asynccontextmanager
    async def acquire(
        self, deadline: float, begin: float | None = None, go: Callable[[], bool] = lambda: True
    ) -> AsyncIterator[Connection]:
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
            self.limiter.busy(self)
            try:
                if loop.time() >= first:
                    raise CallFailed(
                        Stage.CONNECT, "its time was over before it could be written", timed_out=True
                    )
                if not go():
                    raise CallFailed(Stage.CONNECT, "called back before anything was written")
                yield connection
            finally:
                self._give_back(connection)
                self.limiter.idle(self)  # it may close the connection in favour of another pool
                self._offer()
        finally:
            self.users -= 1
            self.limiter.left(self)

    def new_connection(self, loop: asyncio.AbstractEventLoop) -> Connection:
        """A connection of the protocol that is spoken here, not yet open."""
        raise NotImplementedError

    def close_idle(self, most: int | None = None) -> int:
        """Close unused connections, the oldest first, at most so many, and return how many."""
        count = len(self.idle) if most is None else min(most, len(self.idle))
        for _ in range(count):
            self.idle.popleft().drop()
        return count

    async def stand(self, turn: asyncio.Future[bool]) -> None:
        """Wait in a line of the limiter. Raises Freed once there is no need to."""
        self.entering[turn] = None
        try:
            if not await turn:
                raise Freed
        finally:
            del self.entering[turn]

    async def _take(self, loop: asyncio.AbstractEventLoop, deadline: float) -> Connection:
        until = min(loop.time() + self.connect_ms / 1000.0, deadline)
        line = self.waiting.append
        try:
            while True:
                connection = self._free(loop.time())
                if connection is not None:
                    return connection
                if self.open < self.max_connections:
                    with suppress(Freed):
                        return await self._connect(loop, until)
                    continue
                turn: asyncio.Future[None] = loop.create_future()
                line(turn)
                line = self.waiting.appendleft  # woken for nothing, it keeps its place
                try:
                    async with asyncio.timeout_at(until):
                        await turn
                except TimeoutError:
                    raise CallFailed(Stage.CONNECT, "no free connection in time", timed_out=True) from None
                finally:
                    if turn in self.waiting:
                        self.waiting.remove(turn)
        except BaseException:
            self._offer()  # it may have been woken in the very turn in which it left
            raise

    def _free(self, now: float) -> Connection | None:
        while self.idle:
            connection = self.idle.pop()  # the one used last: the peer closes it last
            # By the clock and not only by the timer, which a loop that stood still fires late.
            if connection.fresh(now):
                connection.set_timer(None)
                return connection
            connection.drop()
        return None

    async def _connect(self, loop: asyncio.AbstractEventLoop, until: float) -> Connection:
        self.open += 1
        connection = self.new_connection(loop)
        begun = False
        try:
            async with asyncio.timeout_at(until):
                while True:
                    try:
                        async with self.limiter.room(self):
                            begun = True
                            before = loop.time()
                            await self._dial(loop, connection)
                            await connection.perform_handshake()
                            if not connection.usable:
                                raise CallFailed(Stage.CONNECT, "closed during its set-up")
                            connection.standing = True
                            self.made += 1
                            self.cost += COST_GAIN * ((loop.time() - before) * 1000.0 - self.cost)
                            return connection
                    except ResourceShortage:
                        self.limiter.report_shortage()
                        await asyncio.sleep(RETRY)
        except BaseException as error:
            connection.drop()
            self._closed()
            if isinstance(error, TimeoutError):
                reason = "connect timed out" if begun else "no room for another connection in time"
                raise CallFailed(Stage.CONNECT, reason, timed_out=True) from None
            if isinstance(error, CallFailed):  # it was not let in: nothing of a message was written
                raise CallFailed(Stage.CONNECT, error.reason, error.timed_out) from None
            if isinstance(error, OSError):
                raise CallFailed(Stage.CONNECT, error.strerror or str(error)) from None
            raise

    async def _dial(self, loop: asyncio.AbstractEventLoop, connection: Connection) -> None:
        try:
            await loop.create_connection(
                lambda: connection, self.address.host, self.address.port, ssl=self.tls
            )
        except OSError as error:
            if error.errno in SHORT:
                raise ResourceShortage from None
            raise

    def _give_back(self, connection: Connection) -> None:
        if connection.usable:
            self.idle.append(connection)
            connection.stale_at = connection.loop.time() + self.idle_ms / 1000.0
            connection.set_timer(self.idle_ms)
        else:
            connection.drop()

    def lost(self, connection: Connection) -> None:
        """A connection that stood is gone."""
        if connection in self.idle:
            self.idle.remove(connection)
        self.limiter.closed(self)
        self._closed()

    def _closed(self) -> None:
        self.open -= 1
        self._offer()
        self.limiter.left(self)

    def _offer(self) -> None:
        """Wake one that waits, if a connection is free or there is room for one."""
        while self.waiting and (self.idle or self.open < self.max_connections):
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        for entry in self.entering if self.idle else ():
            if not entry.done():
                entry.set_result(False)
                return
