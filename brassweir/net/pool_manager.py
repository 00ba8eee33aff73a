"""Manages the connection pools of all endpoints under one connection budget and one set-up queue."""

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
from brassweir.net.repeats import ResponseHistories

PoolFactory = Callable[[Address, "PoolManager"], ConnectionPool]


class PoolManager(Limiter):
    """The pools of all endpoints in use, under one connection budget and one queue for set-ups.

    A pool without connections and calls is removed, so that an unused endpoint takes no memory here.
    """

    def __init__(
        self,
        limits: Limits,
        connections_per_endpoint: int,
        idle_ms: float,
        connect_ms: float,
        budget: ConnectionBudget | None = None,
        setups: SetupQueue | None = None,
        decisive_statuses: frozenset[int] = frozenset(),
    ) -> None:
        self.decisive_statuses = decisive_statuses  # see HttpPool
        self.limits, self.connections_per_endpoint, self.idle_ms, self.connect_ms = (
            limits,
            connections_per_endpoint,
            idle_ms,
            connect_ms,
        )
        self.budget, self.setups = budget or ConnectionBudget(1_000_000), setups or SetupQueue(1_000_000)
        self.histories = ResponseHistories()  # kept longer than the pools
        self.pools: dict[str, ConnectionPool] = {}  # by URL, or URL and name
        self.keys: dict[ConnectionPool, str] = {}  # the reverse of ``pools``
        self.budget_waiters: dict[asyncio.Future[bool], str] = {}  # waiting for budget, in order
        self.setup_waiters: dict[int, asyncio.Future[bool]] = {}  # waiting to start a set-up, by ticket

    def http_pool(self, url: str, name: str = "") -> HttpPool:
        """Returns the HTTP pool of an endpoint, created on first use. Raises ValueError on a bad URL.

        ``name`` separates the pools of endpoints that use the same address one after another.
        """
        pool = self.pool(url, _make_http_pool, name)
        assert isinstance(pool, HttpPool)  # the URL's scheme determines the protocol
        if pool.history is None:
            pool.history = self.histories.of(self.keys[pool])
        return pool

    def pool(self, url: str, factory: PoolFactory, name: str = "") -> ConnectionPool:
        """Returns the pool of an endpoint, created by ``factory`` if there is none.

        Raises ValueError on a bad URL.
        """
        key = f"{url} {name}" if name else url
        pool = self.pools.get(key)
        if pool is None:
            pool = self.pools[key] = factory(Address.parse(url), self)
            self.keys[pool] = key
        return pool

    def close_idle(self, url: str, name: str = "") -> int:
        """Closes the idle connections to an endpoint and returns how many."""
        pool = self.pools.get(f"{url} {name}" if name else url)
        return pool.close_idle() if pool is not None else 0

    def close_all_idle(self) -> None:
        """Closes the idle connections of all pools."""
        for pool in list(self.pools.values()):
            pool.close_idle()

    # ---- Limiter

    @asynccontextmanager
    async def reserve(self, pool: ConnectionPool) -> AsyncIterator[None]:
        """Waits for budget and for a set-up slot, and holds both while a connection is set up.

        The budget stays taken after a successful set-up, until :meth:`connection_closed`.
        """
        key, loop = self.keys[pool], asyncio.get_running_loop()
        if not self._reserve_budget(key, loop.time()):
            await self._wait_for_budget(pool, key, loop)
        established = False
        succeeded: bool | None = None  # None after a cancelled wait or a local shortage
        ticket = self.setups.enqueue(key, pool.open > 1, loop.time() * 1000.0)
        turn = self.setup_waiters[ticket] = loop.create_future()
        try:
            self._start_setups()
            await pool.wait_for_turn(turn)
            yield
            established = succeeded = True
        except BaseException as error:
            if (
                turn.done()
                and not turn.cancelled()
                and turn.result()
                and not isinstance(error, ResourceShortage)
            ):
                succeeded = False
            raise
        finally:
            self.setup_waiters.pop(ticket, None)
            self.setups.done(ticket, succeeded, loop.time() * 1000.0)
            self._start_setups()
            if not established:
                self.budget.closed(key)
                self._wake_budget_waiters()

    def _reserve_budget(self, key: str, now: float) -> bool:
        """Returns whether a connection may be opened; may close an idle one of another pool for it."""
        permit = self.budget.request(key, now * 1000.0)
        if permit.evict is not None and permit.evict in self.pools:
            self.pools[permit.evict].close_idle(1)
        if permit.granted:
            self.budget.opened(key)
        return permit.granted

    async def _wait_for_budget(self, pool: ConnectionPool, key: str, loop: asyncio.AbstractEventLoop) -> None:
        """Waits until the budget admits one more connection. Raises ConnectionFreed."""
        turn: asyncio.Future[bool] = loop.create_future()
        self.budget_waiters[turn] = key
        try:
            await pool.wait_for_turn(turn)
        except BaseException:
            # It may have been granted in the loop turn in which this call was cancelled or timed out.
            if self.budget_waiters.pop(turn, None) is None and turn.result():
                self.budget.closed(key)
                self._wake_budget_waiters()
            raise

    def _start_setups(self) -> None:
        """Wakes the calls whose tickets the set-up queue hands out next."""
        while (ticket := self.setups.next_ticket()) is not None:
            turn = self.setup_waiters.get(ticket)
            if turn is not None and not turn.done():
                turn.set_result(True)

    def _wake_budget_waiters(self) -> None:
        """Retries the budget request of every waiter: a later one may be allowed what an earlier one is not.

        A waiter whose pool has an idle connection is woken to use that one, and requests budget again if
        another call takes it first.
        """
        if not self.budget_waiters:
            return
        now, refused, offered = asyncio.get_running_loop().time(), set[str](), Counter[str]()
        for turn, key in list(self.budget_waiters.items()):
            if turn.done() or key in refused:
                continue
            has_idle = offered[key] < len(self.pools[key].idle)
            offered[key] += has_idle
            if has_idle or self._reserve_budget(key, now):
                del self.budget_waiters[turn]
                turn.set_result(not has_idle)
            else:
                refused.add(key)

    def connection_closed(self, pool: ConnectionPool) -> None:
        """Returns an established connection's share of the budget."""
        self.budget.closed(self.keys[pool])
        self._wake_budget_waiters()

    def call_started(self, pool: ConnectionPool) -> None:
        """Marks one connection of the pool as busy in the budget."""
        self.budget.busy(self.keys[pool])

    def call_ended(self, pool: ConnectionPool) -> None:
        """Marks one connection of the pool as idle in the budget."""
        self.budget.idle(self.keys[pool], pool.setup_ms)
        self._wake_budget_waiters()

    def report_shortage(self) -> None:
        """Shrinks the budget after a local shortage, and closes an idle connection if there is one."""
        victim = self.budget.shortage(asyncio.get_running_loop().time() * 1000.0)
        if victim is not None and victim in self.pools:
            self.pools[victim].close_idle(1)

    def forget_if_unused(self, pool: ConnectionPool) -> None:
        """Drops the pool if it has neither calls nor connections left."""
        if not pool.active_calls and not pool.open:
            key = self.keys.pop(pool, None)
            if key is not None and self.pools.get(key) is pool:
                del self.pools[key]


def _make_http_pool(address: Address, pools: PoolManager) -> ConnectionPool:
    """Returns a new HTTP pool with the manager's settings."""
    pool = HttpPool(
        address, pools.limits, pools.connections_per_endpoint, pools.idle_ms, pools.connect_ms, limiter=pools
    )
    pool.decisive_statuses = pools.decisive_statuses
    return pool
