"""How long a suspicion lasts before it is a death: Lifeguard's time-out. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from brassweir.peers.rtt import RttEstimator
from brassweir.peers.tuning import Tuning

# Parts of its time at which the suspected one is asked itself, once each; more often where messages get lost.
LAST_CALLS = (0.5, 0.8)
MORE_CALLS = (0.25, 0.4, 0.55, 0.7, 0.85)
LOSSY = 0.05  # share of pings without an answer from which there are more


@dataclass(frozen=True, slots=True)
class Span:
    """The time-outs of one moment (ms): with enough confirmations and with none; how many are enough."""

    least: float
    most: float
    enough: int
    calls: tuple[float, ...]


def span(tuning: Tuning, fleet: int, score: int, pace: RttEstimator) -> Span:
    """``score``: local health; ``pace``: how long answers take."""
    least = tuning.suspect_least * max(1.0, math.log10(max(fleet, 1)))
    trips = tuning.suspect_trips * (pace.answer - tuning.answer_least)
    factor = 1 + score
    return Span(
        (least + trips) * factor,
        (least * tuning.suspect_spread + trips) * factor,
        max(0, min(tuning.confirmations, fleet - 3)),
        MORE_CALLS if pace.missing > LOSSY else LAST_CALLS,
    )


class Suspicion:
    """One copy's suspicion of another; ``by`` are those who found it independently."""

    __slots__ = ("by", "calls", "found", "since")

    def __init__(self, since: float, by: str) -> None:
        self.since = since
        self.by = {by}
        self.found = False  # another has found it dead: as good as enough confirmations
        self.calls = 0

    def confirm(self, by: str, enough: int) -> bool:
        """One more; is it news that shortens the time-out?"""
        if by in self.by or len(self.by) > enough:
            return False
        self.by.add(by)
        return True

    def lasts(self, now: Span) -> float:
        """Its time-out (ms)."""
        if self.found or len(self.by) > now.enough:
            return now.least
        if len(self.by) == 1:
            return now.most
        return now.most - (now.most - now.least) * math.log(len(self.by)) / math.log(now.enough + 1)

    def due(self, now: Span) -> float:
        """When it is to be looked at: a last call, or its end."""
        part = now.calls[self.calls] if self.calls < len(now.calls) else 1.0
        return self.since + self.lasts(now) * part
