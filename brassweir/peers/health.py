"""A copy's doubt of itself: Lifeguard's local health, from 0 (well) up. Pure."""

from __future__ import annotations

from brassweir.peers.tuning import Tuning


class Health:
    """The score multiplies time-outs and the period, so that a slow copy is slow to suspect others."""

    def __init__(self, tuning: Tuning) -> None:
        self.tuning = tuning
        self.score = 0
        self.until = float("-inf")  # it calls itself suspected until then, whatever the score

    def _by(self, change: int) -> None:
        self.score = min(max(self.score + change, 0), self.tuning.worst)

    def answered(self) -> None:
        """A probe was answered in time."""
        self._by(-1)

    def unheard(self) -> None:
        """A probe failed and none of the helpers gave a sign either."""
        self._by(1)

    def late(self, ms: float) -> None:
        """The own loop ran late."""
        if ms >= self.tuning.late:
            self._by(1)

    def stalled(self, now: float) -> None:
        """The process stood still."""
        self._by(2)
        self.until = now + self.tuning.grace

    def refuted(self, now: float) -> None:
        """Others suspected this copy: it had not answered them."""
        self._by(1)
        self.until = now + self.tuning.grace

    def doubts(self, now: float) -> bool:
        """Does this copy suspect itself?"""
        return self.score >= self.tuning.doubt or now < self.until
