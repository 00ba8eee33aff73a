"""Call times and their means, sums of what is open, and what of a thing is worth keeping while it sleeps."""

import math
from typing import Any

INF = math.inf
MEAN_GAIN = 0.1  # weight of a new call time in its mean: some ten calls are remembered
BASELINE_GAIN = 0.01  # weight of a slower call in the usual call time, which is to outlast an illness


def compact(thing: Any, fresh: Any) -> tuple[Any, ...]:
    """The plain values of a thing that a fresh one of its kind has not: slot, value, slot, value."""
    pairs = [(name, getattr(thing, name)) for name in thing.__slots__]
    moved = [one for one in pairs if isinstance(one[1], int | float) and one[1] != getattr(fresh, one[0])]
    return tuple(part for one in moved for part in one)


def restore(fresh: Any, folded: tuple[Any, ...]) -> None:
    """Make a fresh thing what the folded one was."""
    for name, value in zip(folded[::2], folded[1::2], strict=True):
        setattr(fresh, name, value)


class CallTimes:
    """A running mean of call times, which starts at the first one seen."""

    __slots__ = ("baseline", "mean")

    def __init__(self) -> None:
        self.mean = self.baseline = 0.0

    def add(self, sample: float) -> None:
        """Take one call time."""
        self.mean += (sample - self.mean) * (MEAN_GAIN if self.mean else 1.0)
        gain = 1.0 if not self.baseline else BASELINE_GAIN if sample > self.baseline else MEAN_GAIN
        self.baseline += (min(sample, self.mean) - self.baseline) * gain


class Load:
    """What is open somewhere: summed cost, messages, slots in use."""

    __slots__ = ("cost", "open_messages", "used_slots")

    def __init__(self) -> None:
        self.cost, self.open_messages, self.used_slots = 0.0, 0, 0

    def add(self, cost: float, messages: int, slots: int) -> None:
        """Count some in, or out if negative."""
        self.cost, self.open_messages, self.used_slots = (
            self.cost + cost,
            self.open_messages + messages,
            self.used_slots + slots,
        )
