"""Endpoints on loopback whose every step a test chooses, and pools to call them with."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any, TypeVar

import uvloop

from brassweir.destinations.budget import ConnectionBudget
from brassweir.destinations.setup_queue import SetupQueue
from brassweir.net.client import CallFailed, HttpPool, Reply
from brassweir.net.connection import Connection, Stage
from brassweir.net.headers import Headers
from brassweir.net.limits import Limits
from brassweir.net.pool_manager import PoolManager

_T = TypeVar("_T")
LOOPS = [uvloop.new_event_loop, asyncio.new_event_loop]
LIMITS = Limits(head_bytes=2000, body_bytes=5000)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"


def on(
    loop: Callable[[], asyncio.AbstractEventLoop], work: Coroutine[Any, Any, _T], seconds: float = 20.0
) -> _T:
    """Run on this kind of loop; a test that hangs fails."""

    async def bounded() -> _T:
        async with asyncio.timeout(seconds):
            return await work

    with asyncio.Runner(loop_factory=loop) as runner:
        return runner.run(bounded())


async def until(true: Callable[[], bool], seconds: float = 2.0) -> None:
    """Let the loop turn until this holds. Raises TimeoutError."""
    async with asyncio.timeout(seconds):
        while not true():
            await asyncio.sleep(0.001)


async def ending(task: asyncio.Task[Reply]) -> int | tuple[Stage, bool]:
    """How a call ended: its status, or how far it came and whether its time ran out."""
    try:
        return (await task).status
    except CallFailed as failed:
        return failed.stage, failed.timed_out


class End:
    """The endpoint's end of one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def request(self, short: int = 0) -> bytes:
        """A request's body, but for its last so many bytes."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        return await self.reader.readexactly(length - short)

    def write(self, data: bytes) -> None:
        """Send at once."""
        self.writer.write(data)

    def close(self) -> None:
        """Close in good order."""
        self.writer.close()

    def reset(self) -> None:
        """Cut, with a reset."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class Scene:
    """Endpoints by number, and the pools that call them."""

    def __init__(self, pools: PoolManager) -> None:
        self.pools = pools
        self.servers: list[asyncio.Server] = []
        self.came: list[asyncio.Queue[End]] = []
        self.tasks: list[asyncio.Task[Reply]] = []

    async def endpoint(self) -> int:
        """One more endpoint; its number."""
        queue: asyncio.Queue[End] = asyncio.Queue()

        def came(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            queue.put_nowait(End(reader, writer))

        self.servers.append(await asyncio.start_server(came, "127.0.0.1", 0))
        self.came.append(queue)
        return len(self.servers) - 1

    def pool(self, number: int = 0) -> HttpPool:
        """The pool of an endpoint."""
        return self.pools.http_pool(f"http://127.0.0.1:{self.servers[number].sockets[0].getsockname()[1]}/x")

    def call(
        self, number: int = 0, seconds: float = 2.0, hold: float = 0.0, body: bytes = b"body"
    ) -> asyncio.Task[Reply]:
        """Begin a call."""
        over = asyncio.get_running_loop().time() + seconds
        task = asyncio.ensure_future(self.pool(number).post(Headers(), body, over, over, hold=hold))
        self.tasks.append(task)
        return task

    async def accept(self, number: int = 0) -> End:
        """The next connection to an endpoint."""
        async with asyncio.timeout(2.0):
            return await self.came[number].get()

    async def serve(self, number: int = 0) -> End:
        """Take the next connection and the request on it; its answer is the test's to give."""
        end = await self.accept(number)
        await end.request()
        return end

    def seam(self, change: Callable[[Connection], object], pool: HttpPool | None = None) -> None:
        """Change the next connection that a pool makes, before it is dialled."""
        pool = pool or self.pool()
        make = pool.new_connection

        def made(loop: asyncio.AbstractEventLoop) -> Connection:
            pool.new_connection = make  # type: ignore[method-assign]
            connection = make(loop)
            change(connection)
            return connection

        pool.new_connection = made  # type: ignore[method-assign]

    def counts(self) -> dict[str, object]:
        """All that is counted and not zero."""
        pools = self.pools
        budget, setups = pools.budget, pools.setups
        found: dict[str, object] = {
            "budget": budget.open,
            "holders": budget.holders,
            "rooms": pools.rooms,
            "turns": pools.turns,
            "out": setups.active,
            "waking": setups.waking,
            "lines": [line for line in setups.queues.values() if line],
            "pools": [
                vars(pool)
                for pool in pools.pools.values()
                if pool.open or pool.users or pool.waiting or pool.idle or pool.entering
            ],
        }
        return {name: value for name, value in found.items() if value}

    async def ended(self) -> None:
        """Wait for the calls, close what is unused; then all counts are zero again."""
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.pools.close_all_idle()
        try:
            await until(lambda: not self.counts(), 1.0)
        except TimeoutError:
            raise AssertionError(f"still counted: {self.counts()}") from None


@asynccontextmanager
async def scene(
    endpoints: int = 1,
    *,
    cap: int = 4,
    idle: float = 5000.0,
    connect: float = 300.0,
    budget: int = 100,
    places: int = 100,
    settling: frozenset[int] = frozenset({200}),
) -> AsyncIterator[Scene]:
    """Endpoints and pools; at the end, all counts must be zero again."""
    made = Scene(
        PoolManager(LIMITS, cap, idle, connect, ConnectionBudget(budget), SetupQueue(places), settling)
    )
    try:
        for _ in range(endpoints):
            await made.endpoint()
        yield made
        await made.ended()
    finally:
        for task in made.tasks:
            task.cancel()
        for server in made.servers:
            server.close()


def after(of: object, name: str, then: Callable[[], object]) -> None:
    """Once, right behind the next call of a method: the seam at which a crossing is forced."""
    was = getattr(of, name)

    def both(*given: Any) -> Any:
        setattr(of, name, was)
        result = was(*given)
        then()
        return result

    setattr(of, name, both)
