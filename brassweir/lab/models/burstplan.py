"""An outage that each sender met with a call or two, and bursts of messages at the return: what a seed draws.

Pure; times in ms, rates in calls a second.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from random import Random

TROUBLES = ("hang", "refuse", "reset", "error", "crowded", "full", "told")


@dataclass(frozen=True, slots=True)
class BurstPlan:
    """What a seed draws.

    ``limit_known``: the endpoint list names the limit. ``calls_in_outage`` is how many messages each sender
    gets during the outage, ``steady`` its messages a second before, as a share of its part of the rate.
    """

    senders: int
    rate: float
    limit_known: bool
    reports: bool
    trouble: str
    out: float
    back: float
    cold: float
    start_capacity: float
    tip_multiple: float
    tip_after: float
    connect_timeout: float
    call_time: float
    calls_in_outage: int
    steady: float
    burst_at: float
    burst_seconds: float
    deadline: float
    restarts: tuple[float, ...] = ()  # when each sender is killed and starts again

    def capacity(self, now: float) -> float:
        """Return the share of the full rate at a time; during the outage that of the return."""
        if now < self.out:
            return 1.0
        progress = max(0.0, now - self.back) / self.cold
        return min(1.0, self.start_capacity + (1.0 - self.start_capacity) * progress)

    def allowed(self, now: float) -> float:
        """Return how many calls the destination bears in the ``tip_after`` ms before a time.

        It is what it can do at the end of that time, and what chance may add.
        """
        calls = self.tip_multiple * self.capacity(now) * self.rate * self.tip_after / 1000.0
        factor = 3.0 if calls < 30.0 else 2.0
        return calls + factor * math.sqrt(calls) + factor


def draw_restarts(seed: int) -> BurstPlan:
    """Draw a plan with one or two restarts of all senders, from the outage to the end of the cold time."""
    rng, plan = Random(f"burst restarts {seed}"), draw(seed)
    end = plan.back + plan.cold
    moments = [
        lambda: rng.uniform(plan.out + plan.connect_timeout, plan.back),
        lambda: rng.uniform(plan.back, end),
        lambda: plan.burst_at + rng.uniform(0.0, 1_000.0),
    ]
    restarts = sorted(rng.choice(moments)() for _ in range(rng.choice([1, 1, 2])))
    return replace(plan, restarts=tuple(restarts), calls_in_outage=rng.choice([1, 2, 5]))


def draw(seed: int, senders: int = 0) -> BurstPlan:
    """Draw a plan; by default of one to five senders."""
    rng = Random(f"burst {seed} {senders}")
    senders = senders or rng.choice([1, 1, 2, 3, 5])
    connect_timeout = rng.choice([1000.0, 1500.0])
    out = 12_000.0
    back = out + connect_timeout * rng.uniform(3.5, 14.0)
    return BurstPlan(
        senders,
        rng.uniform(10.0, 80.0),
        rng.random() < 0.7,
        rng.random() < 0.4,
        TROUBLES[seed % len(TROUBLES)],
        out,
        back,
        rng.uniform(8_000.0, 12_000.0),
        rng.uniform(0.13, 0.44),
        rng.choice([1.5, 2.0, 2.5]),
        rng.choice([1500.0, 2000.0, 3000.0]),
        connect_timeout,
        rng.uniform(40.0, 300.0),
        rng.choice([1, 1, 1, 2]),
        rng.uniform(0.02, 0.5),
        back + rng.uniform(50.0, 4_000.0),
        rng.uniform(1.0, 3.4),
        rng.choice([5_000.0, 12_000.0, 20_000.0]),
    )
