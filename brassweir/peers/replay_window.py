"""Replay protection: a sliding window of the message numbers seen from one sender's generation. Pure."""

from __future__ import annotations

NEW, SEEN, OLD = "new", "seen", "old"
WIDTH = 1024  # messages of one pair that may overtake one another; older numbers count as repeated


class ReplayWindow:
    """Bit ``i`` of ``seen`` stands for the number ``highest - i``."""

    __slots__ = ("generation", "seen", "highest")

    def __init__(self, generation: int) -> None:
        self.generation = generation
        self.highest = 0
        self.seen = 0

    def record(self, number: int) -> str:
        """Record a number: NEW, SEEN, or OLD where it is below the window and may be either."""
        if number > self.highest:
            ahead = number - self.highest
            self.seen = ((self.seen << ahead) if ahead < WIDTH else 0) & ((1 << WIDTH) - 1) | 1
            self.highest = number
            return NEW
        bit = self.highest - number
        if bit >= WIDTH:
            return OLD
        if self.seen >> bit & 1:
            return SEEN
        self.seen |= 1 << bit
        return NEW
