"""Moving averages of call times, sums of load, and the compact form of idle objects."""

import math
from typing import Any

INF = math.inf
MEAN_GAIN = 0.1  # weight of a new call time in the mean: some ten are remembered
BASELINE_GAIN = 0.01  # weight of a slower call in the baseline, which must outlast a slow phase


def compact(target: Any, fresh: Any) -> tuple[Any, ...]:
    """Return the numeric slots in which an object differs from a fresh one: slot, value, slot, value, ..."""
    names = [name for cls in type(target).__mro__ for name in getattr(cls, "__slots__", ())]
    pairs = [(name, getattr(target, name)) for name in names]
    changed = [
        pair for pair in pairs if isinstance(pair[1], int | float) and pair[1] != getattr(fresh, pair[0])
    ]
    return tuple(part for pair in changed for part in pair)


def restore(fresh: Any, changes: tuple[Any, ...]) -> None:
    """Set the slots of a fresh object to the values that :func:`compact` returned."""
    for name, value in zip(changes[::2], changes[1::2], strict=True):
        setattr(fresh, name, value)


class CallTimes:
    """Moving averages of call times in ms: the mean, and the baseline of a healthy destination."""

    __slots__ = ("baseline", "mean")

    def __init__(self) -> None:
        self.mean = self.baseline = 0.0

    def add(self, sample: float) -> None:
        """Add one call time in ms; the first one sets both averages."""
        self.mean += (sample - self.mean) * (MEAN_GAIN if self.mean else 1.0)
        gain = 1.0 if not self.baseline else BASELINE_GAIN if sample > self.baseline else MEAN_GAIN
        self.baseline += (min(sample, self.mean) - self.baseline) * gain


class Load:
    """The load of a destination or of several: summed cost, open messages, slots in use."""

    __slots__ = ("cost", "open_messages", "used_slots")

    def __init__(self) -> None:
        self.cost, self.open_messages, self.used_slots = 0.0, 0, 0

    def add(self, cost: float, messages: int, slots: int) -> None:
        """Add to the load; negative values take away."""
        self.cost, self.open_messages, self.used_slots = (
            self.cost + cost,
            self.open_messages + messages,
            self.used_slots + slots,
        )
