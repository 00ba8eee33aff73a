"""Lifeguard's local health multiplier: a copy's measure of its own slowness, 0 when healthy. Pure."""

from __future__ import annotations

from brassweir.peers.tuning import Tuning


class Health:
    """The score multiplies time-outs and the probe period, so that a slow copy is slow to suspect others."""

    def __init__(self, tuning: Tuning) -> None:
        self.tuning = tuning
        self.score = 0
        self.suspected_until = float("-inf")  # suspects itself until then, whatever the score

    def _change(self, change: int) -> None:
        self.score = min(max(self.score + change, 0), self.tuning.max_health_score)

    def probe_answered(self) -> None:
        """A probe was answered in time."""
        self._change(-1)

    def helpers_silent(self) -> None:
        """A probe failed, and none of its helpers responded either."""
        self._change(1)

    def loop_delayed(self, delay_ms: float) -> None:
        """The event loop of this process ran late."""
        if delay_ms >= self.tuning.loop_delay_ms:
            self._change(1)

    def stalled(self, now: float) -> None:
        """The process stood still."""
        self._change(2)
        self.suspected_until = now + self.tuning.self_suspicion_ms

    def refuted(self, now: float) -> None:
        """Others suspected this copy because it had not answered them."""
        self._change(1)
        self.suspected_until = now + self.tuning.self_suspicion_ms

    def suspects_self(self, now: float) -> bool:
        """Whether this copy distrusts its own observations."""
        return self.score >= self.tuning.self_suspicion_score or now < self.suspected_until
