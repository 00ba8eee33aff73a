"""What outlives a sender that crashes: clients, partners, what each was told or did, and the script."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from brassweir import interface as api
from brassweir.core.clock import SimClock
from brassweir.core.ports import Attempt, FinalAnswer, Outcome

CLASSES = (
    api.MessageClass("pay", 1500.0, 6000.0, api.Effect.UNSAFE),
    api.MessageClass("key", 1500.0, 6000.0, api.Effect.KEYED, window=4000.0, in_order=True),
    api.MessageClass("safe", 1500.0, 6000.0, api.Effect.SAFE),
)
BY_NAME = {cls.name: cls for cls in CLASSES}


@dataclass(slots=True)
class World:
    """What outlives the sender: hand-ins, answers told, calls that came, effects, waits told."""

    messages: dict[str, tuple[float, str, int, str]] = field(default_factory=dict)
    answers: dict[str, list[tuple[float, FinalAnswer]]] = field(default_factory=lambda: defaultdict(list))
    calls: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    maybe: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))  # that may have run
    effects: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    waits: dict[int, tuple[float, float]] = field(default_factory=dict)  # destination: told at, until
    problems: list[str] = field(default_factory=list)
    accepted: set[str] = field(default_factory=set)  # told "accepted": those clients wait and never ask again
    receipts: dict[str, int] = field(default_factory=lambda: defaultdict(int))  # brought, by message


class Partners:
    """The carrier and the partners behind it: endings by a draw that hangs on the message alone, so that a
    crashed run meets the same ones."""

    def __init__(self, world: World, clock: SimClock, seed: int, alive: Callable[[], bool]) -> None:
        self.world, self.clock, self.seed, self.alive = world, clock, seed, alive

    def start(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        """One call."""
        if not attempt.start_guard.begin():
            return
        world, now = self.world, self.clock.now()
        name = attempt.submission.identity
        cls = BY_NAME[attempt.submission.class_name]
        rng = Random(f"{self.seed} {name} {len(world.calls[name])}")
        told = world.waits.get(attempt.endpoint.destination)
        if told is not None and told[0] + 1.0 < now < told[1] - 1.0:
            world.problems.append(f"{name} was sent {told[1] - now:.0f} ms before the end of a wait")
        earlier = world.maybe[name]
        if earlier and cls.effect is api.Effect.UNSAFE:
            world.problems.append(f"{name} (unsafe) was sent again")
        if earlier and cls.effect is api.Effect.KEYED and now > earlier[0] + cls.window + 1.0:
            world.problems.append(f"{name} (keyed) was sent {now - earlier[0]:.0f} ms after its first call")
        world.calls[name].append(now)
        draw, took = rng.random(), 5.0 + rng.expovariate(1 / 40.0)
        result, wait = api.Result.OK, 0.0
        if draw < 0.08:
            result, wait = api.Result.BUSY, rng.choice([0.0, 400.0, 1500.0])
        elif draw < 0.2:
            result = rng.choice([api.Result.ERROR, api.Result.RESET, api.Result.TIMEOUT])
        if result is not api.Result.BUSY:
            world.maybe[name].append(now)
            if result is api.Result.OK or rng.random() < 0.7:  # also where the answer is lost
                world.effects[name] += not (cls.effect is api.Effect.KEYED and world.effects[name])
        if result is api.Result.TIMEOUT:
            return

        def end() -> None:
            if self.alive():
                if wait:
                    until = self.clock.now() + wait
                    world.waits[attempt.endpoint.destination] = (self.clock.now(), until)
                done(Outcome(result, wait=wait))

        self.clock.call_at(now + took, end)

    def close_idle(self, endpoint: str) -> None:
        """Nothing is kept open."""


@dataclass(slots=True)
class Script:
    """What is handed in: (ms, identity, class, destination, key)."""

    orders: list[tuple[float, str, str, int, str]]

    @staticmethod
    def draw(seed: int, count: int, span: float) -> Script:
        """One seeded draw."""
        rng = Random(seed)
        orders = [
            (
                rng.uniform(0.0, span),
                f"m{i}",
                rng.choice(["pay", "key", "safe"]),
                rng.randint(1, 3),
                f"k{rng.randint(0, 2)}",
            )
            for i in range(count)
        ]
        return Script(sorted(orders))
