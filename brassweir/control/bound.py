"""How much may be held: the bound on the backlog and the loop that moves it (paper, section 4)."""

import math

KP = 2.36  # slots per unit of error: the paper's proportional gain
KI = 3.62  # per second: the paper's integral gain
SET_POINT = 0.9  # share of the aim that an answered message should have used
PERIOD = 1000.0  # ms between two steps of the loop
START_SLOTS = 2.0  # x slots: the bound before anything was seen


class Bound:
    """The backlog bound and its PI loop (paper, section 4)."""

    def __init__(self, slots: int, max_open: int) -> None:
        self.low, self.high = float(slots), float(max(slots, max_open))
        self.value, self.count = min(START_SLOTS * slots, self.high), 0
        self.delta = self.last = self.total = 0.0

    def answered(self, ratio: float) -> None:
        """Note a sent message's answer by the share of its aim that it used."""
        self.total += ratio
        self.count += 1

    def step(self) -> None:
        """Move the bound; a second without answers changes nothing."""
        if not self.count:
            return
        error = SET_POINT - self.total / self.count
        self.total, self.count = 0.0, 0
        self.delta += KP * ((KI + 1.0) * error - self.last)
        self.last = error
        self.value = math.floor(self.value + self.delta)
        if not self.low < self.value < self.high:
            self.value, self.delta = min(max(self.value, self.low), self.high), 0.0
