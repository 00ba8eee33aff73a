"""A protocol-independent connection pool for one endpoint, and the interface of a limiter over all pools."""

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

# Local shortages of descriptors, ports or memory; they say nothing about the endpoint's health.
SHORTAGE_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM})
SETUP_WEIGHT = 0.3  # weight of the newest set-up in the exponential moving average
SHORTAGE_RETRY_SECONDS = 0.02


class ResourceShortage(Exception):
    """A connection could not be opened because this host lacks a descriptor, port or memory."""


class ConnectionFreed(Exception):
    """An established connection became idle while a call waited for permission to open another one."""


class Limiter:
    """Limits connections over all pools and is notified of connections and calls; this base has no limits."""

    @asynccontextmanager
    async def reserve(self, pool: ConnectionPool) -> AsyncIterator[None]:
        """Reserves capacity for one connection, kept unless the block raises. Raises ConnectionFreed."""
        yield

    def connection_closed(self, pool: ConnectionPool) -> None:
        """Records that an established connection was closed."""

    def call_started(self, pool: ConnectionPool) -> None:
        """Records that a connection became busy."""

    def call_ended(self, pool: ConnectionPool) -> None:
        """Records that a connection is no longer busy."""

    def report_shortage(self) -> None:
        """Records a local shortage of descriptors, ports or memory."""

    def forget_if_unused(self, pool: ConnectionPool) -> None:
        """Drops the pool if it has neither calls nor connections left."""


class ConnectionPool:
    """The connections to one endpoint.

    An idle connection is closed after ``idle_ms``, which must be shorter than the endpoint's own timeout:
    otherwise calls meet connections that the endpoint is closing. ``connect_ms`` limits the wait for a
    connection, including its set-up.
    """

    def __init__(
        self,
        address: Address,
        limits: Limits,
        max_connections: int,
        idle_ms: float,
        connect_ms: float,
        tls: SSLContext | None = None,
        limiter: Limiter | None = None,
    ) -> None:
        if address.tls and tls is None:
            raise ValueError("https endpoints require a TLS context, which this version does not create")
        self.address, self.limits, self.tls = address, limits, tls
        self.max_connections, self.idle_ms, self.connect_ms = max_connections, idle_ms, connect_ms
        self.idle: deque[Connection] = deque()
        self.open = 0  # connections, including those being set up
        self.waiters: deque[asyncio.Future[None]] = deque()  # calls that wait because of max_connections
        self.limiter_waiters: dict[asyncio.Future[bool], None] = {}  # calls that wait for the limiter
        self.connections_made = self.calls_made = 0
        self.active_calls = 0  # including calls that wait for a connection
        self.limiter = limiter or Limiter()
        self.setup_ms = 1.0  # exponential moving average of the time to set up a connection

    @asynccontextmanager
    async def acquire(
        self, deadline: float, start_by: float | None = None, may_start: Callable[[], bool] = lambda: True
    ) -> AsyncIterator[Connection]:
        """Yields a connection for one call that ends by ``deadline`` (loop time, seconds).

        Raises CallFailed at ``start_by`` (loop time) or if ``may_start`` returns False, so that a call
        abandoned or cancelled while it waited is not sent. Never retries: the caller decides on repeats.
        """
        loop = asyncio.get_running_loop()
        self.calls_made += 1
        self.active_calls += 1
        try:
            latest_start = deadline if start_by is None else min(start_by, deadline)
            connection = await self._obtain(loop, latest_start)
            self.limiter.call_started(self)
            try:
                if loop.time() >= latest_start:
                    raise CallFailed(
                        Stage.CONNECT, "its time was over before it could be written", timed_out=True
                    )
                if not may_start():
                    raise CallFailed(Stage.CONNECT, "called back before anything was written")
                yield connection
            finally:
                self._release(connection)
                self.limiter.call_ended(self)  # may close the connection in favour of another pool
                self._wake_waiter()
        finally:
            self.active_calls -= 1
            self.limiter.forget_if_unused(self)

    def new_connection(self, loop: asyncio.AbstractEventLoop) -> Connection:
        """Returns a connection of this pool's protocol that is not open yet."""
        raise NotImplementedError

    def close_idle(self, max_count: int | None = None) -> int:
        """Closes idle connections, least recently used first, and returns how many."""
        count = len(self.idle) if max_count is None else min(max_count, len(self.idle))
        for _ in range(count):
            self.idle.popleft().drop()
        return count

    async def wait_for_turn(self, turn: asyncio.Future[bool]) -> None:
        """Waits for the limiter to set ``turn``. Raises ConnectionFreed if it is set to False."""
        self.limiter_waiters[turn] = None
        try:
            if not await turn:
                raise ConnectionFreed
        finally:
            del self.limiter_waiters[turn]

    async def _obtain(self, loop: asyncio.AbstractEventLoop, deadline: float) -> Connection:
        """Returns an idle or a new connection, waiting for one if necessary. Raises CallFailed."""
        connect_deadline = min(loop.time() + self.connect_ms / 1000.0, deadline)
        enqueue = self.waiters.append
        try:
            while True:
                connection = self._pop_idle(loop.time())
                if connection is not None:
                    return connection
                if self.open < self.max_connections:
                    with suppress(ConnectionFreed):
                        return await self._connect(loop, connect_deadline)
                    continue
                turn: asyncio.Future[None] = loop.create_future()
                enqueue(turn)
                enqueue = self.waiters.appendleft  # a waiter woken in vain keeps its place
                try:
                    async with asyncio.timeout_at(connect_deadline):
                        await turn
                except TimeoutError:
                    raise CallFailed(Stage.CONNECT, "no free connection in time", timed_out=True) from None
                finally:
                    if turn in self.waiters:
                        self.waiters.remove(turn)
        except BaseException:
            self._wake_waiter()  # this call may have been woken in the turn in which it failed
            raise

    def _pop_idle(self, now: float) -> Connection | None:
        while self.idle:
            connection = self.idle.pop()  # the most recently used: the peer closes it last
            # Checks the clock too, because a blocked event loop fires the idle timer late.
            if connection.is_available(now):
                connection.set_idle_timer(None)
                return connection
            connection.drop()
        return None

    async def _connect(self, loop: asyncio.AbstractEventLoop, connect_deadline: float) -> Connection:
        """Opens a connection once the limiter permits it. Raises CallFailed or ConnectionFreed."""
        self.open += 1
        connection = self.new_connection(loop)
        dialing = False
        try:
            async with asyncio.timeout_at(connect_deadline):
                while True:
                    try:
                        async with self.limiter.reserve(self):
                            dialing = True
                            started = loop.time()
                            await self._dial(loop, connection)
                            await connection.perform_handshake()
                            if not connection.usable:
                                raise CallFailed(Stage.CONNECT, "closed during its set-up")
                            connection.established = True
                            self.connections_made += 1
                            self.setup_ms += SETUP_WEIGHT * ((loop.time() - started) * 1000.0 - self.setup_ms)
                            return connection
                    except ResourceShortage:
                        self.limiter.report_shortage()
                        await asyncio.sleep(SHORTAGE_RETRY_SECONDS)
        except BaseException as error:
            connection.drop()
            self._count_closed()
            if isinstance(error, TimeoutError):
                reason = "connect timed out" if dialing else "no room for another connection in time"
                raise CallFailed(Stage.CONNECT, reason, timed_out=True) from None
            if isinstance(error, CallFailed):  # the handshake failed: no part of a call was written
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
            if error.errno in SHORTAGE_ERRNOS:
                raise ResourceShortage from None
            raise

    def _release(self, connection: Connection) -> None:
        if connection.usable:
            self.idle.append(connection)
            connection.stale_at = connection.loop.time() + self.idle_ms / 1000.0
            connection.set_idle_timer(self.idle_ms)
        else:
            connection.drop()

    def connection_closed(self, connection: Connection) -> None:
        """Removes an established connection that was closed."""
        if connection in self.idle:
            self.idle.remove(connection)
        self.limiter.connection_closed(self)
        self._count_closed()

    def _count_closed(self) -> None:
        self.open -= 1
        self._wake_waiter()
        self.limiter.forget_if_unused(self)

    def _wake_waiter(self) -> None:
        """Wakes one waiting call if a connection is idle or may be opened."""
        while self.waiters and (self.idle or self.open < self.max_connections):
            turn = self.waiters.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        for waiter in self.limiter_waiters if self.idle else ():
            if not waiter.done():
                waiter.set_result(False)
                return
