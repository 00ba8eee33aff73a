"""Round-trip time and loss of pings, estimated from the probes that were answered in the end. Pure."""

from __future__ import annotations

from brassweir.peers.tuning import Tuning

MEAN_GAIN, DEVIATION_GAIN = 1 / 8, 1 / 4  # weight of a new sample in the moving averages, as in TCP
MEAN_MARGIN = 1.25  # x the mean: where the round trip is constant, its deviation is 0
LOSS_GAIN = 1 / 16  # weight of a new sample in the loss


class RttEstimator:
    """Moving averages of the round-trip time and its deviation (ms), and the share of pings lost."""

    def __init__(self, tuning: Tuning) -> None:
        self.tuning = tuning
        self.mean = self.deviation = self.loss = 0.0

    def add_round_trip(self, ms: float) -> None:
        """Count an answer, however late; a sample counts as at most twice the current time-out."""
        ms = min(ms, 2 * self.timeout)
        self.deviation += DEVIATION_GAIN * (abs(ms - self.mean) - self.deviation)
        self.mean += MEAN_GAIN * (ms - self.mean)

    def add_ping(self, lost: bool) -> None:
        """Count the first ping to a copy that proved alive: lost, or answered."""
        self.loss += LOSS_GAIN * (lost - self.loss)

    @property
    def timeout(self) -> float:
        """After how many ms an answer counts as missing."""
        timeout = self.mean * MEAN_MARGIN + 4 * self.deviation
        return min(max(timeout, self.tuning.min_answer_timeout_ms), self.tuning.max_answer_timeout_ms)

    @property
    def rounds(self) -> int:
        """Rounds of pings after which loss alone fails a probe no more often than ``max_false_failure``.

        A round is a ping and, from the second round on, a ping through a helper, which passes two links.
        """
        tuning = self.tuning
        helper_loss = 1 - (1 - self.loss) ** 2
        for rounds in range(tuning.min_rounds, tuning.max_rounds):
            if self.loss**rounds * helper_loss ** (tuning.helpers + rounds - 2) <= tuning.max_false_failure:
                return rounds
        return tuning.max_rounds
