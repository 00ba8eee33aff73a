"""What the connections to all endpoints share: one budget, and one line for those being set up."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from brassweir.destinations.budget import ConnectionBudget
from brassweir.destinations.setup_queue import SetupQueue
from brassweir.net.address import Address
from brassweir.net.client import HttpPool
from brassweir.net.limits import Limits
from brassweir.net.pool import ConnectionPool, Limiter, ResourceShortage

PoolFactory = Callable[[Address, "PoolManager"], ConnectionPool]


class PoolManager(Limiter):
    """The pools of all endpoints in use, under one budget of connections and one line for set-ups.

    A pool without connections and calls is forgotten: an endpoint that is not used costs nothing here.
    """

    def __init__(
        self,
        limits: Limits,
        connections_per_endpoint: int,
        idle: float,
        connect_ms: float,
        budget: ConnectionBudget | None = None,
        setups: SetupQueue | None = None,
        settling: frozenset[int] = frozenset(),
    ) -> None:
        self.settling = settling  # see Pool
        self.limits, self.connections_per_endpoint, self.idle_ms, self.connect_ms = (
            limits,
            connections_per_endpoint,
            idle,
            connect_ms,
        )
        self.budget, self.setups = budget or ConnectionBudget(1_000_000), setups or SetupQueue(1_000_000)
        self.pools: dict[str, ConnectionPool] = {}
        self.urls: dict[ConnectionPool, str] = {}
        self.rooms: dict[asyncio.Future[bool], str] = {}  # requests that found the budget spent, in order
        self.turns: dict[int, asyncio.Future[bool]] = {}  # tickets in the line for set-ups

    def http_pool(self, url: str, name: str = "") -> HttpPool:
        """The pool of an endpoint over HTTP; ``name`` keeps apart endpoints that follow each other at one
        address. Raises ValueError on a bad URL."""
        pool = self.pool(url, _http, name)
        assert isinstance(pool, HttpPool)  # a URL's scheme says what is spoken there
        return pool

    def pool(self, url: str, make: PoolFactory, name: str = "") -> ConnectionPool:
        """The pool of an endpoint, made by ``make`` if there is none. Raises ValueError on a bad URL."""
        key = f"{url} {name}" if name else url
        pool = self.pools.get(key)
        if pool is None:
            pool = self.pools[key] = make(Address.parse(url), self)
            self.urls[pool] = key
        return pool

    def close_idle(self, url: str, name: str = "") -> int:
        """Close the unused connections of an endpoint."""
        pool = self.pools.get(f"{url} {name}" if name else url)
        return pool.close_idle() if pool is not None else 0

    def close_all_idle(self) -> None:
        """Close all that is unused."""
        for pool in list(self.pools.values()):
            pool.close_idle()

    # ---- as the pools' limiter

    @asynccontextmanager
    async def room(self, pool: ConnectionPool) -> AsyncIterator[None]:
        """Wait for room in the budget and for a turn, and hold both while a connection is set up."""
        url, loop = self.urls[pool], asyncio.get_running_loop()
        if not self._grant(url, loop.time()):
            await self._wait(pool, url, loop)
        standing = False
        good: bool | None = None  # one that left the line, or met our own shortage, tells nothing
        ticket = self.setups.enqueue(url, pool.open > 1, loop.time() * 1000.0)
        turn = self.turns[ticket] = loop.create_future()
        try:
            self._turn()
            await pool.stand(turn)
            yield
            standing = good = True
        except BaseException as error:
            if (
                turn.done()
                and not turn.cancelled()
                and turn.result()
                and not isinstance(error, ResourceShortage)
            ):
                good = False
            raise
        finally:
            self.turns.pop(ticket, None)
            self.setups.done(ticket, good, loop.time() * 1000.0)
            self._turn()
            if not standing:
                self.budget.closed(url)
                self._room()

    def _grant(self, url: str, now: float) -> bool:
        step = self.budget.request(url, now * 1000.0)
        if step.evict is not None and step.evict in self.pools:
            self.pools[step.evict].close_idle(1)
        if step.granted:
            self.budget.opened(url)
        return step.granted

    async def _wait(self, pool: ConnectionPool, url: str, loop: asyncio.AbstractEventLoop) -> None:
        turn: asyncio.Future[bool] = loop.create_future()
        self.rooms[turn] = url
        try:
            await pool.stand(turn)
        except BaseException:
            if self.rooms.pop(turn, None) is None and turn.result():  # granted just as it left
                self.budget.closed(url)
                self._room()
            raise

    def _turn(self) -> None:
        while (ticket := self.setups.next_ticket()) is not None:
            turn = self.turns.get(ticket)
            if turn is not None and not turn.done():
                turn.set_result(True)

    def _room(self) -> None:
        """Ask again for all that wait: one behind may use what the first in line may not. Those whose pool
        has a free connection are sent back to it; should another call take that first, they ask anew."""
        if not self.rooms:
            return
        now, refused, freed = asyncio.get_running_loop().time(), set[str](), Counter[str]()
        for turn, url in list(self.rooms.items()):
            if turn.done() or url in refused:
                continue
            free = freed[url] < len(self.pools[url].idle)
            freed[url] += free
            if free or self._grant(url, now):
                del self.rooms[turn]
                turn.set_result(not free)
            else:
                refused.add(url)

    def closed(self, pool: ConnectionPool) -> None:
        """A connection is gone."""
        self.budget.closed(self.urls[pool])
        self._room()

    def busy(self, pool: ConnectionPool) -> None:
        """A connection carries a call."""
        self.budget.busy(self.urls[pool])

    def idle(self, pool: ConnectionPool) -> None:
        """A connection carries none any more."""
        self.budget.idle(self.urls[pool], pool.cost)
        self._room()

    def report_shortage(self) -> None:
        """The system has no descriptor or port left."""
        victim = self.budget.shortage(asyncio.get_running_loop().time() * 1000.0)
        if victim is not None and victim in self.pools:
            self.pools[victim].close_idle(1)

    def left(self, pool: ConnectionPool) -> None:
        """Forget a pool that nobody uses."""
        if not pool.users and not pool.open:
            url = self.urls.pop(pool, None)
            if url is not None and self.pools.get(url) is pool:
                del self.pools[url]


def _http(address: Address, pools: PoolManager) -> ConnectionPool:
    pool = HttpPool(
        address, pools.limits, pools.connections_per_endpoint, pools.idle_ms, pools.connect_ms, limiter=pools
    )
    pool.settling = pools.settling
    return pool
