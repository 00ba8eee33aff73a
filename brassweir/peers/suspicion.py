"""How long a suspicion lasts before it is a death: Lifeguard's time-out. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from brassweir.peers.tuning import Tuning

LAST_CALLS = (0.4, 0.6, 0.8)  # parts of its time at which the suspected one is asked itself, once each


@dataclass(frozen=True, slots=True)
class Span:
    """The time-outs of one moment (ms): with enough confirmations, with none, and how many are enough."""

    least: float
    most: float
    enough: int


def span(tuning: Tuning, fleet: int, score: int, answer: float) -> Span:
    """``score``: local health; ``answer``: after how long an answer is missing (ms)."""
    least = tuning.suspect_least * max(1.0, math.log10(max(fleet, 1)))
    trips = tuning.suspect_trips * (answer - tuning.answer_least)
    factor = 1 + score
    return Span((least + trips) * factor, (least * tuning.suspect_spread + trips) * factor,
                max(0, min(tuning.confirmations, fleet - 3)))


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
        part = LAST_CALLS[self.calls] if self.calls < len(LAST_CALLS) else 1.0
        return self.since + self.lasts(now) * part
