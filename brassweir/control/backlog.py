"""How much may be held: the bound on the backlog and the loop that moves it (paper, section 4)."""

import math

PROPORTIONAL_GAIN = 2.36  # slots per unit of error: the paper's proportional gain
INTEGRAL_GAIN = 3.62  # per second: the paper's integral gain
SET_POINT = 0.9  # share of the aim that an answered message should have used
PERIOD_MS = 1000.0  # ms between two steps of the loop
INITIAL_BOUND_FACTOR = 2.0  # x slots: the bound before anything was seen


class BacklogBound:
    """The backlog bound and its PI loop (paper, section 4)."""

    def __init__(self, slots: int, max_open: int) -> None:
        self.minimum, self.maximum = float(slots), float(max(slots, max_open))
        self.value, self.answer_count = min(INITIAL_BOUND_FACTOR * slots, self.maximum), 0
        self.delta = self.last_error = self.ratio_sum = 0.0

    def record_answer(self, ratio: float) -> None:
        """Note a sent message's answer by the share of its aim that it used."""
        self.ratio_sum += ratio
        self.answer_count += 1

    def step(self) -> None:
        """Move the bound; a second without answers changes nothing."""
        if not self.answer_count:
            return
        error = SET_POINT - self.ratio_sum / self.answer_count
        self.ratio_sum, self.answer_count = 0.0, 0
        self.delta += PROPORTIONAL_GAIN * ((INTEGRAL_GAIN + 1.0) * error - self.last_error)
        self.last_error = error
        self.value = math.floor(self.value + self.delta)
        if not self.minimum < self.value < self.maximum:
            self.value, self.delta = min(max(self.value, self.minimum), self.maximum), 0.0
