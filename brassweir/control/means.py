"""Call times and their means, sums of what is open, and what of a thing is worth keeping while it sleeps."""

import math
from typing import Any

INF = math.inf
MEAN_GAIN = 0.1  # weight of a new call time in its mean: some ten calls are remembered
USUAL_GAIN = 0.01  # weight of a slower call in the usual call time, which is to outlast an illness


def fold(thing: Any, fresh: Any) -> tuple[Any, ...]:
    """The plain values of a thing that a fresh one of its kind has not: slot, value, slot, value."""
    pairs = [(name, getattr(thing, name)) for name in thing.__slots__]
    moved = [one for one in pairs if isinstance(one[1], int | float) and one[1] != getattr(fresh, one[0])]
    return tuple(part for one in moved for part in one)


def unfold(fresh: Any, folded: tuple[Any, ...]) -> None:
    """Make a fresh thing what the folded one was."""
    for name, value in zip(folded[::2], folded[1::2], strict=True):
        setattr(fresh, name, value)


class Mean:
    """A running mean of call times, which starts at the first one seen."""

    __slots__ = ("usual", "value")

    def __init__(self) -> None:
        self.value = self.usual = 0.0

    def add(self, sample: float) -> None:
        """Take one call time."""
        self.value += (sample - self.value) * (MEAN_GAIN if self.value else 1.0)
        gain = 1.0 if not self.usual else USUAL_GAIN if sample > self.usual else MEAN_GAIN
        self.usual += (min(sample, self.value) - self.usual) * gain


class Load:
    """What is open somewhere: summed cost, messages, slots in use."""

    __slots__ = ("cost", "open", "out")

    def __init__(self) -> None:
        self.cost, self.open, self.out = 0.0, 0, 0

    def add(self, cost: float, messages: int, slots: int) -> None:
        """Count some in, or out if negative."""
        self.cost, self.open, self.out = self.cost + cost, self.open + messages, self.out + slots
