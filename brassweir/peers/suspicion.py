"""How long a suspicion lasts before the copy counts as dead: Lifeguard's suspicion time-out. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from brassweir.peers.rtt import RttEstimator
from brassweir.peers.tuning import Tuning

# Shares of its time-out after which a suspected copy is pinged once more; oftener where messages get lost.
LAST_CALLS = (0.5, 0.8)
LAST_CALLS_LOSSY = (0.25, 0.4, 0.55, 0.7, 0.85)
LOSSY = 0.05  # share of lost pings from which there are more last calls


@dataclass(frozen=True, slots=True)
class SuspicionTimeouts:
    """The current time-outs (ms) with enough confirmations and with none; how many are enough; last calls."""

    confirmed: float
    unconfirmed: float
    enough: int
    last_calls: tuple[float, ...]


def suspicion_timeouts(
    tuning: Tuning, fleet_size: int, health_score: int, rtt: RttEstimator
) -> SuspicionTimeouts:
    """The time-outs for a group of this size, this copy's local health and the measured round trips."""
    base = tuning.min_suspicion_ms * max(1.0, math.log10(max(fleet_size, 1)))
    round_trips = tuning.suspicion_rtt_factor * (rtt.timeout - tuning.min_answer_timeout_ms)
    factor = 1 + health_score
    return SuspicionTimeouts(
        (base + round_trips) * factor,
        (base * tuning.unconfirmed_factor + round_trips) * factor,
        max(0, min(tuning.confirmations, fleet_size - 3)),
        LAST_CALLS_LOSSY if rtt.loss > LOSSY else LAST_CALLS,
    )


class Suspicion:
    """This copy's suspicion of another; ``reporters`` found it independently."""

    __slots__ = ("reporters", "last_calls_made", "reported_dead", "since")

    def __init__(self, since: float, reporter: str) -> None:
        self.since = since
        self.reporters = {reporter}
        self.reported_dead = False  # by another copy: counts as enough confirmations
        self.last_calls_made = 0

    def confirm(self, reporter: str, enough: int) -> bool:
        """Add a reporter; returns whether it is a new one that shortens the time-out."""
        if reporter in self.reporters or len(self.reporters) > enough:
            return False
        self.reporters.add(reporter)
        return True

    def timeout(self, timeouts: SuspicionTimeouts) -> float:
        """Its time-out (ms), which shrinks with the logarithm of the confirmations."""
        if self.reported_dead or len(self.reporters) > timeouts.enough:
            return timeouts.confirmed
        if len(self.reporters) == 1:
            return timeouts.unconfirmed
        return timeouts.unconfirmed - (timeouts.unconfirmed - timeouts.confirmed) * math.log(
            len(self.reporters)
        ) / math.log(timeouts.enough + 1)

    def next_check(self, timeouts: SuspicionTimeouts) -> float:
        """When the next last call is due, or the time-out ends (ms)."""
        share = (
            timeouts.last_calls[self.last_calls_made]
            if self.last_calls_made < len(timeouts.last_calls)
            else 1.0
        )
        return self.since + self.timeout(timeouts) * share
