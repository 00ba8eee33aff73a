"""Open-loop load: arrivals are drawn ahead, and latency counts from the time a message was meant to be sent.

A sender that stalls cannot hide: what it could not take in time waits, and the wait is measured.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram


@dataclass(frozen=True, slots=True)
class Mix:
    """What comes: ``rate`` messages a second spread by Zipf over ``busy`` destinations, ``wakes`` a second to
    idle ones at random, and waves: (second, how many idle ones, within how many seconds)."""

    seconds: float
    rate: float
    busy: int
    idle: int
    wakes: float = 0.0
    zipf: float = 1.0
    waves: tuple[tuple[float, int, float], ...] = ()


@dataclass(frozen=True, slots=True)
class Arrivals:
    """Times (seconds, rising), destinations, and whether each is a busy one; arrays of one length."""

    at: Any
    destination: Any
    busy: Any


def draw(mix: Mix, seed: int) -> Arrivals:
    """One seeded draw. Destinations 0 to ``busy`` - 1 are the busy ones; no idle one is woken twice while
    others have not been."""
    rng = np.random.default_rng(seed)
    count = rng.poisson(mix.rate * mix.seconds)
    at = [rng.uniform(0.0, mix.seconds, count)]
    weights = 1.0 / np.arange(1, mix.busy + 1) ** mix.zipf
    to = [rng.choice(mix.busy, count, p=weights / weights.sum())]
    wakes = [rng.uniform(0.0, mix.seconds, rng.poisson(mix.wakes * mix.seconds))]
    wakes += [rng.uniform(start, start + span, many) for start, many, span in mix.waves]
    times = np.concatenate(wakes)
    if mix.idle and len(times):
        rounds = -(-len(times) // mix.idle)
        order = np.concatenate([rng.permutation(mix.idle) for _ in range(rounds)])[: len(times)]
        at.append(times)
        to.append(mix.busy + order)
    all_at, all_to = np.concatenate(at), np.concatenate(to)
    order = np.argsort(all_at, kind="stable")
    return Arrivals(all_at[order], all_to[order], all_to[order] < mix.busy)


class Latency:
    """Latencies in an HDR histogram, from a tenth of a millisecond to ten minutes, three digits."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, 6_000_000, 3)  # in tenths of a millisecond

    def add(self, seconds: float) -> None:
        """Note one."""
        self.histogram.record_value(max(1, min(6_000_000, round(seconds * 10_000))))

    def tree(self) -> dict[str, float]:
        """Count and percentiles in ms."""

        def at(percent: float) -> float:
            return float(self.histogram.get_value_at_percentile(percent)) / 10.0

        if not self.histogram.get_total_count():
            return {"count": 0}
        return {
            "count": self.histogram.get_total_count(),
            "p50": at(50),
            "p90": at(90),
            "p99": at(99),
            "p999": at(99.9),
            "max": float(self.histogram.get_max_value()) / 10.0,
        }
