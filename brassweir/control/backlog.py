"""The bound on the backlog of open messages and the PI controller that moves it (paper, section 4)."""

import math

PROPORTIONAL_GAIN = 2.36  # slots per unit of error, from the paper
INTEGRAL_GAIN = 3.62  # per second, from the paper
SET_POINT = 0.9  # share of its target latency that an answered message should have used
PERIOD_MS = 1000.0  # between two steps
INITIAL_BOUND_FACTOR = 2.0  # x slots: the bound before any message has ended


class BacklogBound:
    """Bounds the summed cost of open messages between ``slots`` and ``max_open``, by their latency.

    ``value`` is the bound. Latencies under the set point raise it, those over it lower it.
    """

    def __init__(self, slots: int, max_open: int) -> None:
        self.minimum, self.maximum = float(slots), float(max(slots, max_open))
        self.value, self.answer_count = min(INITIAL_BOUND_FACTOR * slots, self.maximum), 0
        self.delta = self.last_error = self.ratio_sum = 0.0

    def record_answer(self, ratio: float) -> None:
        """Count a sent message that ended, by its latency divided by its target latency."""
        self.ratio_sum += ratio
        self.answer_count += 1

    def step(self) -> None:
        """Move the bound, once a period; without answers since the last step it stays."""
        if not self.answer_count:
            return
        error = SET_POINT - self.ratio_sum / self.answer_count
        self.ratio_sum, self.answer_count = 0.0, 0
        self.delta += PROPORTIONAL_GAIN * ((INTEGRAL_GAIN + 1.0) * error - self.last_error)
        self.last_error = error
        self.value = math.floor(self.value + self.delta)
        if not self.minimum < self.value < self.maximum:
            # At a limit the integral part is reset, against windup.
            self.value, self.delta = min(max(self.value, self.minimum), self.maximum), 0.0
