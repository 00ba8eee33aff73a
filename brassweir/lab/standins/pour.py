"""Sources that never slow down, and the destination they flood, each in a process of its own.

A source keeps so many chunks out at a time and sends the next as soon as one is acked; a closed connection
means all of them again on a new one. What a chunk holds was built once: what it costs to send is not what is
measured.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import secrets
import time
from collections.abc import Callable
from typing import Any

import uvloop

from brassweir.forward import events, message
from brassweir.forward.errors import ForwardError
from brassweir.forward.events import Event, EventTime
from brassweir.lab.judges.tape import Tape
from brassweir.lab.models.desk import Manner
from brassweir.lab.standins.shipper import Line, connect
from brassweir.lab.standins.sink import Sink

PAUSE = 0.2  # seconds until a source that was closed connects again


class Tap:
    """One source."""

    def __init__(self, name: str, key: bytes, port: int, depth: int, entries: bytes, count: int) -> None:
        self.name, self.key, self.port, self.depth = name, key, port, depth
        self.entries, self.count = entries, count
        self.acked = self.closed = self.number = 0
        self.run = secrets.token_hex(4)  # ids of an earlier run would be told their old answers
        self.out: list[str] = []

    async def pour(self, until: float) -> None:
        """Send until then."""
        while time.time() < until:
            try:
                line = await connect("127.0.0.1", self.port, self.name, self.key)
            except (OSError, ForwardError):
                await asyncio.sleep(PAUSE)
                continue
            workers = [asyncio.ensure_future(self._one(line, place, until)) for place in range(self.depth)]
            try:
                await asyncio.gather(*workers)
            finally:
                for worker in workers:
                    worker.cancel()
                line.close()
            self.closed += 1
            await asyncio.sleep(PAUSE)

    async def _one(self, line: Line, place: int, until: float) -> None:
        """One place among those out at a time; the chunk in it stays until it is acked."""
        loop = asyncio.get_running_loop()
        while line.usable and time.time() < until:
            while len(self.out) <= place:
                self.out.append("")
            if not self.out[place]:
                self.number += 1
                self.out[place] = f"{self.name}-{self.run}-{self.number}"
            chunk = self.out[place]
            waiting = line.acks[chunk] = loop.create_future()
            line.writer.write(message.packed_message("status.store.p-w", self.entries, chunk, self.count))
            try:
                async with asyncio.timeout_at(loop.time() + max(0.0, until - time.time())):
                    told: str = await waiting
            except TimeoutError:
                return
            finally:
                del line.acks[chunk]
            if told != "acked":
                return
            self.out[place] = ""
            self.acked += 1


def _pour(names: list[tuple[str, bytes, int]], port: int, count: int, until: float, tell: Any) -> None:
    packed = events.pack(
        [
            Event(
                EventTime(1_700_000_000, i),
                {"payment": "p-w", "effect": "safe", "n": i, "text": "some words that a log line may hold"},
            )
            for i in range(count)
        ]
    )
    taps = [Tap(name, key, port, depth, packed, count) for name, key, depth in names]

    async def work() -> None:
        await asyncio.gather(*(tap.pour(until) for tap in taps))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(work())
    tell.send([(tap.acked, tap.closed) for tap in taps])


def _sink(name: str, key: bytes, manner: Manner, tell: Any) -> None:
    async def work() -> None:
        sink = Sink(name, key, manner, Tape(), 1)
        tell.send(await sink.listen(f"{name}-a"))
        await asyncio.Event().wait()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(work())


def start(target: Callable[..., None], *given: object) -> tuple[Any, Any]:
    """Run one of the above in a process; the process, and the pipe that it tells its result through."""
    context = multiprocessing.get_context("spawn")
    here, there = context.Pipe(duplex=False)
    process = context.Process(target=target, args=(*given, there), daemon=True)
    process.start()
    return process, here


def start_sink(name: str, key: bytes, manner: Manner) -> tuple[Any, int]:
    """A sink; the process and its port."""
    process, pipe = start(_sink, name, key, manner)
    if not pipe.poll(30.0):
        process.kill()
        raise RuntimeError("the sink did not start")
    return process, int(pipe.recv())


async def pour(
    names: list[tuple[str, bytes, int]], port: int, entries: int, until: float
) -> list[tuple[int, int]]:
    """Pour from sources (name, key, chunks out at a time) until then; acked and closed of each."""
    process, pipe = start(_pour, names, port, entries, until)

    def wait() -> list[tuple[int, int]]:
        if not pipe.poll(max(0.0, until - time.time()) + 30.0):
            raise RuntimeError("the sources did not end")
        found: list[tuple[int, int]] = pipe.recv()
        return found

    try:
        return await asyncio.to_thread(wait)
    finally:
        process.kill()
        process.join()
