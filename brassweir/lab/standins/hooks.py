"""An emulator of very many webhook receivers in one process, each with a ledger of its own.

Receivers are told apart by path: ``/d/NUMBER``. Troubles strike ranges of them for a time. Its report is
fetched from ``/report`` at the end; what it says of effects is all that a run is judged by.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import time
from collections import deque
from dataclasses import dataclass
from typing import Any

import numpy as np
import uvloop

from brassweir.net.headers import Headers
from brassweir.net.limits import Limits
from brassweir.net.server import Abort, Request, Response, Server
from brassweir.webhook import codec

FULL_RATE = 400.0  # calls a second that one receiver can do when warm
COLD, START = 5.0, 0.25  # seconds until it is warm after a hang, and its share of the rate at first
TIP, TIP_SPAN = 2.0, 1.5  # sent more than so many times its rate for so many seconds, it falls over


@dataclass(frozen=True, slots=True)
class Strike:
    """Receivers ``first`` to ``last`` (exclusive) are struck from ``start`` to ``end`` (seconds of the run).

    Kinds: hang (no answer; it comes back cold), error (500), close (the connection is closed after each
    answer), lost (the work is done, the answer is not given), shut (429, with a wait until the end).
    """

    kind: str
    first: int
    last: int
    start: float
    end: float


class Receivers:
    """All receivers."""

    def __init__(self, count: int, key: bytes, service: float, strikes: list[Strike], seed: int) -> None:
        self.key, self.service, self.strikes = key, service, strikes
        self.rng = np.random.default_rng(seed)
        self.calls = np.zeros(count, dtype=np.int64)
        self.effects = np.zeros(count, dtype=np.int64)
        self.seen: dict[str, int] = {}  # id of each message, and how often it came
        self.bad = 0
        self.tape: list[tuple[Any, ...]] = []  # arrivals, ends, effects and falls, as the checker reads them
        self.recent: dict[int, deque[float]] = {}  # calls since a cold return
        self.fallen: dict[int, float] = {}
        self.connections: set[str] = set()
        self.began = time.time()
        self.server = Server(self.serve, Limits(connections=60_000, idle_ms=300_000.0))

    async def serve(self, request: Request) -> Response:
        """Answer one call."""
        if request.path == "/report":
            return Response(
                200, Headers([("Content-Type", "application/json")]), json.dumps(self.report()).encode()
            )
        if request.path == "/begin":
            self.began = time.time()
            return Response(200)
        _, _, place, letter = request.path.split("/")
        number, now = int(place), time.time()
        self.connections.add(request.peer)
        headers = request.headers
        try:
            codec.verify(
                (self.key,),
                headers.one("webhook-id"),
                headers.one("webhook-timestamp"),
                headers.one("webhook-signature"),
                request.body,
                time.time(),
            )
        except ValueError:
            self.bad += 1
            return Response(401)
        self.calls[number] += 1
        call, ident = int(self.calls.sum()), headers.one("webhook-id")
        self.tape.append(("arrival", now, call, number, letter, ident))
        strike = self.struck(number)
        kind = strike.kind if strike is not None else ""
        if kind == "hang":
            await asyncio.sleep(20.0)
            raise Abort
        if kind == "error" or self.tipped(number, now):
            self.tape.append(("ended", time.time(), call, number, "error", 0.0))
            return Response(500)
        if kind == "shut" and strike is not None:
            wait = max(1, int(self.began + strike.end - now + 0.999))
            self.tape.append(("ended", time.time(), call, number, "full", float(wait)))
            return Response(429, Headers([("Retry-After", str(wait))]))
        if kind != "lost":
            await asyncio.sleep(self.service * (0.5 + self.rng.random()))
        self.seen[ident] = self.seen.get(ident, 0) + 1
        fresh = self.seen[ident] == 1
        self.effects[number] += fresh
        if fresh or request.body.startswith(b"payment"):
            self.tape.append(("effect", time.time(), number, ident))
        self.tape.append(("ended", time.time(), call, number, "lost" if kind == "lost" else "done", 0.0))
        if kind == "lost":
            await asyncio.sleep(20.0)
            raise Abort
        return Response(200, close=kind == "close")

    def tipped(self, number: int, now: float) -> bool:
        """Is it pushed over, or does it lie? Only one that hung comes back cold."""
        back = max(
            (
                self.began + one.end
                for one in self.strikes
                if one.kind == "hang" and one.first <= number < one.last and self.began + one.end <= now
            ),
            default=0.0,
        )
        if now < self.fallen.get(number, 0.0):
            return True
        if now - back > COLD:
            return False
        recent = self.recent.setdefault(number, deque())
        recent.append(now)
        while recent[0] < now - TIP_SPAN:
            recent.popleft()
        capacity = FULL_RATE * min(1.0, START + (1.0 - START) * (now - back) / COLD)
        if len(recent) <= TIP * capacity * TIP_SPAN:
            return False
        self.tape.append(("tipped", now, number, len(recent)))
        self.fallen[number] = now + 2.0
        return True

    def struck(self, number: int) -> Strike | None:
        """The trouble of a receiver now."""
        at = time.time() - self.began
        for one in self.strikes:
            if one.first <= number < one.last and one.start <= at < one.end:
                return one
        return None

    def report(self) -> dict[str, Any]:
        """What came."""
        return {
            "calls": int(self.calls.sum()),
            "effects": int(self.effects.sum()),
            "ids": len(self.seen),
            "repeated": sum(count > 1 for count in self.seen.values()),
            "reached": int((self.calls > 0).sum()),
            "bad_signatures": self.bad,
            "connections_seen": len(self.connections),
            "seen": self.seen,
            "tape": self.tape,
            "began": self.began,
        }


def run(count: int, key: bytes, service: float, strikes: list[Strike], seed: int, tell: Any) -> None:
    """The emulator's process: tells its port, then serves until it is ended."""

    async def work() -> None:
        receivers = Receivers(count, key, service, strikes, seed)
        tell.send(await receivers.server.listen("127.0.0.1", 0))
        await asyncio.Event().wait()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(work())


def start(count: int, key: bytes, service: float, strikes: list[Strike], seed: int) -> tuple[Any, int]:
    """Start the emulator as a process of its own; the process and its port."""
    context = multiprocessing.get_context("spawn")
    here, there = context.Pipe(duplex=False)
    process = context.Process(target=run, args=(count, key, service, strikes, seed, there), daemon=True)
    process.start()
    if not here.poll(30.0):
        process.kill()
        raise RuntimeError("the emulator did not start")
    return process, int(here.recv())
