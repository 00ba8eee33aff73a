"""How long answers take here and how many get lost, learnt from probes that were answered at last. Pure."""

from __future__ import annotations

from brassweir.peers.tuning import Tuning

SMOOTH, SPREAD = 1 / 8, 1 / 4  # shares of a new sample in mean and deviation: TCP's
MARGIN = 1.25  # of the mean: on a way that always takes as long, the deviation is none
FORGET = 1 / 16  # share of a new sample in the share of lost pings: some seconds of probes


class RttEstimator:
    """Mean and deviation of the way there and back (ms), and the share of pings without an answer."""

    def __init__(self, tuning: Tuning) -> None:
        self.tuning = tuning
        self.mean = self.deviation = self.missing = 0.0

    def took(self, ms: float) -> None:
        """An answer came, however late; it counts as twice what was expected at most."""
        ms = min(ms, 2 * self.answer)
        self.deviation += SPREAD * (abs(ms - self.mean) - self.deviation)
        self.mean += SMOOTH * (ms - self.mean)

    def lost(self, one: bool) -> None:
        """The first ping to one that was alive was lost, or was not."""
        self.missing += FORGET * (one - self.missing)

    @property
    def answer(self) -> float:
        """After how long an answer counts as missing (ms)."""
        answer = self.mean * MARGIN + 4 * self.deviation
        return min(max(answer, self.tuning.answer_least), self.tuning.answer_most)

    @property
    def rounds(self) -> int:
        """How many rounds of pings make a failure by loss alone as rare as is aimed at.

        A round is a ping and, from the second on, a helper's; a helper's way is twice as long.
        """
        tuning = self.tuning
        helped = 1 - (1 - self.missing) ** 2
        for rounds in range(tuning.rounds_least, tuning.rounds_most):
            if self.missing**rounds * helped ** (tuning.helpers + rounds - 2) <= tuning.miss_aim:
                return rounds
        return tuning.rounds_most
