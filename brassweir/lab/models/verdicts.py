"""What an experiment's figures allow one to say: paired differences, intervals, when to stop. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

LEVEL = 0.05  # how often a difference is claimed where there is none, over all looks together
RESAMPLES = 4000  # bootstrap: enough for two digits of a 95% interval


@dataclass(frozen=True, slots=True)
class Interval:
    """A mean and the interval around it."""

    mean: float
    low: float
    high: float
    count: int

    @property
    def half(self) -> float:
        """Half its width."""
        return (self.high - self.low) / 2.0


def interval(differences: Sequence[float], level: float = LEVEL, seed: int = 1) -> Interval:
    """Percentile bootstrap of the mean of paired differences; the same figures give the same interval."""
    values = np.asarray(differences, dtype=float)
    if not len(values):
        return Interval(0.0, float("-inf"), float("inf"), 0)
    if len(values) == 1:
        return Interval(float(values[0]), float("-inf"), float("inf"), 1)
    rng = np.random.default_rng(seed)
    means = values[rng.integers(0, len(values), (RESAMPLES, len(values)))].mean(axis=1)
    low, high = np.quantile(means, [level / 2.0, 1.0 - level / 2.0])
    return Interval(float(values.mean()), float(low), float(high), len(values))


def looks(least: int, most: int) -> list[int]:
    """After how many pairs to look: doubling, so that few looks share the level."""
    out, count = [], least
    while count < most:
        out.append(count)
        count *= 2
    return [*out, most]


def answered(found: Interval, precision: float) -> str:
    """ "better", "worse", or "alike" once the figures say so; empty while they do not.

    Alike: the whole interval lies within ``precision`` of nothing.
    """
    if found.low > 0.0:
        return "better"
    if found.high < 0.0:
        return "worse"
    if -precision <= found.low and found.high <= precision:
        return "alike"
    return ""
