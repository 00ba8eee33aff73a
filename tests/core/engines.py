"""Engines under simulated time, with carriers whose outcomes a test controls."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from brassweir import interface as api
from brassweir.core.clock import SimClock
from brassweir.core.engine import Engine
from brassweir.core.ports import Attempt, MemoryStore, Outcome

CLASSES = (
    api.MessageClass("pay", 1000.0, 5000.0, api.Effect.UNSAFE),
    api.MessageClass("key", 1000.0, 5000.0, api.Effect.KEYED, window=3000.0, in_order=True),
    api.MessageClass("safe", 1000.0, 5000.0, api.Effect.SAFE),
)
RESULTS = [
    api.Result.OK,
    api.Result.ERROR,
    api.Result.BUSY,
    api.Result.RESET,
    api.Result.NO_CONNECTION,
    api.Result.TIMEOUT,
]


class ScriptedCarrier:
    """A carrier with random outcomes from a seed; some are reported twice, some after the time-out."""

    def __init__(self, clock: SimClock, seed: int, success_rate: float) -> None:
        self.clock, self.rng, self.success_rate = clock, Random(seed), success_rate
        self.sent: list[Attempt] = []
        self.closed: list[str] = []

    def start(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        if not attempt.start_guard.begin():  # nothing is written, as in every carrier
            self.clock.call_soon(lambda: done(Outcome(api.Result.NO_CONNECTION, "it may not begin any more")))
            return
        self.sent.append(attempt)
        result = api.Result.OK if self.rng.random() < self.success_rate else self.rng.choice(RESULTS)
        rejected = result is api.Result.OK and self.rng.random() < 0.05
        at = self.clock.now() + self.rng.expovariate(1 / 80.0)
        if result is api.Result.TIMEOUT or at >= attempt.abandon_at:
            result, at = api.Result.TIMEOUT, attempt.abandon_at
        outcome = Outcome(result, rejected=rejected, wait=300.0 if result is api.Result.BUSY else 0.0)
        self.clock.call_at(at, lambda: done(outcome))
        if self.rng.random() < 0.1:
            self.clock.call_at(at + 500.0, lambda: done(Outcome(api.Result.OK)))

    def close_idle(self, endpoint: str) -> None:
        self.closed.append(endpoint)


def make_engine(
    seed: int = 1, success_rate: float = 0.7, slots: int = 6, **more: object
) -> tuple[Engine, SimClock, ScriptedCarrier]:
    clock = SimClock(1000.0)
    carrier = ScriptedCarrier(clock, seed, success_rate)
    settings = api.Settings(classes=CLASSES, slots=slots, max_open=80, max_retry_after=3000.0)
    engine = Engine(settings, seed, clock, lambda _: carrier, **more)  # type: ignore[arg-type]
    entries = tuple(api.EndpointInfo(f"d{i}-{j}", i, "") for i in (1, 2, 3) for j in (0, 1))
    engine.update_list(api.ListUpdate(api.ListKind.FULL, entries))
    return engine, clock, carrier


class SlowCarrier:
    """A carrier with slow connections.

    ``connect_times`` holds the connect times (ms) of the next attempts, ``outcomes`` the outcomes by message
    identity; an outcome comes ``response_time`` ms after the first byte.
    """

    def __init__(self, clock: SimClock) -> None:
        self.clock, self.connect_times, self.response_time = clock, list[float](), 10.0
        self.written: list[tuple[float, str]] = []
        self.outcomes: dict[str, Outcome] = {}

    def start(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        def write() -> None:
            if not attempt.start_guard.begin():
                done(Outcome(api.Result.NO_CONNECTION, "cancelled"))
                return
            name = attempt.submission.identity
            self.written.append((self.clock.now(), name))
            outcome = self.outcomes.get(name, Outcome(api.Result.OK))
            self.clock.call_at(self.clock.now() + self.response_time, lambda: done(outcome))

        self.clock.call_at(
            self.clock.now() + (self.connect_times.pop(0) if self.connect_times else 1.0), write
        )

    def close_idle(self, endpoint: str) -> None:
        pass


def make_slow_engine(
    kinds: tuple[api.DestinationKind, ...] = (),
    classes: tuple[api.MessageClass, ...] = CLASSES,
    at: float = 1000.0,
    **more: object,
) -> tuple[Engine, SimClock, SlowCarrier]:
    clock = SimClock(at)
    carrier = SlowCarrier(clock)
    settings = api.Settings(classes=classes, slots=6, max_open=80, max_retry_after=3000.0, kinds=kinds)
    engine = Engine(settings, 1, clock, lambda _: carrier, **more)  # type: ignore[arg-type]
    kind = kinds[0].name if kinds else ""
    engine.update_list(
        api.ListUpdate(api.ListKind.FULL, tuple(api.EndpointInfo(f"d1-{j}", 1, kind) for j in (0, 1)))
    )
    return engine, clock, carrier


def stall_loop(clock: SimClock, span: float) -> None:
    """Advance the clock by ``span`` ms without running the calls scheduled then, like a blocked loop."""
    clock.time += span
    clock.queue = [(max(at, clock.time), number, handle) for at, number, handle in clock.queue]


class Store(MemoryStore):
    """A store without persistence, with the wall clock and the callback that a simulated start needs."""

    def __init__(self, clock: SimClock) -> None:
        self.wall = clock.now

    def resumed(self, ident: int, class_name: str, attempts: int) -> None:
        pass
