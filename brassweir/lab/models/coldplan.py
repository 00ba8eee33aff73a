"""One destination that a fleet calls goes out and comes back cold: what a seed draws. Pure; times in ms."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

SPAN = 2_000.0  # in which the destination counts
TROUBLES = ("hang", "refuse", "crowded", "full", "told")


@dataclass(frozen=True, slots=True)
class Plan:
    """What a seed draws; rates in calls a second."""

    copies: int
    rate: float  # what the destination takes from all when warm
    load: float  # share of it that clients hand in anew
    reports: bool  # its answers tell of its limit
    trouble: str
    out: float
    back: float
    cold: float
    start_capacity: float
    restart: float  # share of the senders that restart during the outage
    quiet: float  # share without traffic until the return
    busy: float  # share with several times the mean
    keep: float  # the time of a message
    tip_multiple: float = 1.5

    def capacity(self, now: float) -> float:
        """Share of the full rate at a time; during the outage that of the return."""
        if now < self.out:
            return 1.0
        into = max(0.0, now - self.back) / self.cold
        return min(1.0, self.start_capacity + (1.0 - self.start_capacity) * into)

    def allowed(self, now: float) -> float:
        """Calls in the span before a time that the destination bears: the integral, from the return on at its
        first capacity where the span began before it."""
        steps = 20
        mean = sum(self.capacity(now - SPAN * (step + 0.5) / steps) for step in range(steps)) / steps
        return self.tip_multiple * mean * self.rate * SPAN / 1000.0


def draw(copies: int, seed: int) -> Plan:
    """A plan for a fleet."""
    rng = Random(f"cold {copies} {seed}")
    out = 20_000.0
    return Plan(
        copies,
        rng.uniform(20.0, 80.0),
        rng.uniform(0.5, 0.9),
        rng.random() < 0.5,
        TROUBLES[seed % len(TROUBLES)],
        out,
        out + rng.uniform(4_000.0, 18_000.0),
        rng.uniform(8_000.0, 11_000.0),
        rng.uniform(0.29, 0.44),
        rng.uniform(0.1, 0.4),
        rng.uniform(0.0, 0.2),
        0.1,
        rng.uniform(6_000.0, 12_000.0),
    )
