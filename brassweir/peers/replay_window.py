"""Which numbers of one sender's generation have been seen: a sliding window. Pure."""

from __future__ import annotations

NEW, SEEN, OLD = "new", "seen", "old"
WIDTH = 1024  # messages of one pair that may overtake one another; later ones are taken for doubled


class ReplayWindow:
    """Bit ``i`` of ``seen`` stands for the number ``top - i``."""

    __slots__ = ("generation", "seen", "top")

    def __init__(self, generation: int) -> None:
        self.generation = generation
        self.top = 0
        self.seen = 0

    def take(self, number: int) -> str:
        """Note a number: NEW, SEEN, or OLD where it lies before the window and may be either."""
        if number > self.top:
            ahead = number - self.top
            self.seen = ((self.seen << ahead) if ahead < WIDTH else 0) & ((1 << WIDTH) - 1) | 1
            self.top = number
            return NEW
        bit = self.top - number
        if bit >= WIDTH:
            return OLD
        if self.seen >> bit & 1:
            return SEEN
        self.seen |= 1 << bit
        return NEW
