"""How long a suspicion lasts before it is a death: Lifeguard's time-out. Pure."""

from __future__ import annotations

import math

from brassweir.peers.tuning import Tuning


class Suspicion:
    """One copy's suspicion of another; ``by`` are those who found it independently."""

    __slots__ = ("by", "found", "since")

    def __init__(self, since: float, by: str, found: bool = False) -> None:
        self.since = since
        self.by = {by}
        self.found = found  # another has found it dead: as good as enough confirmations

    def confirm(self, by: str, tuning: Tuning, fleet: int) -> bool:
        """One more; is it news that shortens the time-out?"""
        if by in self.by or len(self.by) > needed(tuning, fleet):
            return False
        self.by.add(by)
        return True

    def due(self, tuning: Tuning, fleet: int, score: int, answer: float) -> float:
        """When it ends (ms). ``score``: local health; ``answer``: when an answer is missing (ms)."""
        least = tuning.suspect_least * max(1.0, math.log10(max(fleet, 1)))
        enough = needed(tuning, fleet)
        share = 1.0 if self.found or not enough else math.log(len(self.by)) / math.log(enough + 1)
        most = least * tuning.suspect_spread
        trips = tuning.suspect_trips * (answer - tuning.answer_least)
        return self.since + (max(least, most - (most - least) * share) + trips) * (1 + score)


def needed(tuning: Tuning, fleet: int) -> int:
    """How many confirmations there can be, and need to be, for the least time-out."""
    return max(0, min(tuning.confirmations, fleet - 3))
