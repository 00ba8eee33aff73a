"""Idle connections to destinations: what one sender's pools hold of them, one to each destination."""

from __future__ import annotations

import asyncio
import gc
import multiprocessing
import os
from itertools import count
from multiprocessing.connection import Connection as PipeConnection
from typing import cast

import uvloop

from benchmarks.capacity.measurement import Axis, Figure, Kind, Measurement, Point, Role
from benchmarks.capacity.probes.resources import resident
from brassweir.net.address import Address
from brassweir.net.client import HttpPool
from brassweir.net.headers import Headers
from brassweir.net.limits import Limits
from brassweir.net.repeats import DISTINCT_BODIES, ResponseHistory

MOST = 8_000  # connections: each takes two descriptors here, one at either end
AT_ONCE = 50  # being made
IDLE, CONNECT = 600_000.0, 10_000.0  # ms
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n%08d"  # a body of its own, so that connections are kept
)
MECHANISM = "idle connections close; their number is budgeted"

MEMORY = Figure(
    "connections_memory",
    "MB",
    Role.DESTINATION,
    "idle connections, one to each destination, none closed, resident",
    (Axis.DESTINATIONS,),
    ("1", "D"),
    Kind.MEASURED,
    mechanism=MECHANISM,
)
EACH = Figure(
    "connection_idle_memory",
    "MB",
    Role.DESTINATION,
    "those that stay open at the default idle time",
    kind=Kind.DERIVED,
    formula="connections_memory / destinations * idle_connections",
    mechanism=MECHANISM,
)
FIGURES: tuple[Figure, ...] = (MEMORY, EACH)


class _Destination(asyncio.Protocol):
    """Answers each request, whole in one piece, at once; a transport and nothing else is kept of a connection."""

    __slots__ = ("transport",)
    numbers = count()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is none by its class

    def data_received(self, data: bytes) -> None:
        self.transport.write(ANSWER % next(self.numbers))


def _serve(port: PipeConnection) -> None:
    """A process with a destination on a free port of loopback, until it is ended."""

    async def listen() -> None:
        server = await asyncio.get_running_loop().create_server(_Destination, "127.0.0.1", 0, backlog=1024)
        port.send(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(listen())


def measure(point: Point, seconds: float) -> list[Measurement]:
    """A pool and one idle connection for each destination; bounded by their number."""
    if point.destinations > MOST:
        return []
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe()
    destination = context.Process(target=_serve, args=(theirs,), daemon=True)
    destination.start()
    try:
        port = ours.recv()
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            memory = runner.run(_memory(port, point.destinations))
    finally:
        destination.terminate()
        destination.join()
    method = "one pool and one connection each, over loopback, growth of the resident set"
    return [Measurement(MEMORY.name, point, memory, method)]


async def _memory(port: int, connections: int) -> float:
    """MB that so many idle connections take, those of the first calls not counted."""
    address = Address.parse(f"http://127.0.0.1:{port}/in")
    history = ResponseHistory()
    first = _pool(address, history)
    for _ in range(DISTINCT_BODIES + 1):
        await _call(first)
    gc.collect()
    before = resident(os.getpid())
    pools = [_pool(address, history) for _ in range(connections)]
    for start in range(0, connections, AT_ONCE):
        await asyncio.gather(*(_call(pool) for pool in pools[start : start + AT_ONCE]))
    gc.collect()
    grown = resident(os.getpid()) - before
    standing = sum(pool.open for pool in pools)
    for pool in [first, *pools]:
        pool.close_idle()
    if standing != connections:
        raise RuntimeError(f"{standing} of {connections} connections stand")
    return grown / 1e6


def _pool(address: Address, history: ResponseHistory) -> HttpPool:
    pool = HttpPool(address, Limits(), 1, IDLE, CONNECT)
    pool.history = history
    return pool


async def _call(pool: HttpPool) -> None:
    await pool.post(Headers([]), b"x", asyncio.get_running_loop().time() + CONNECT / 1000.0)
