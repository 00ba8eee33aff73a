"""Decides when calls may go to a destination: circuit breaker, requested waits, token bucket."""

from random import Random

from brassweir import interface as api
from brassweir.control.aggregates import INF
from brassweir.control.backlog import PERIOD_MS
from brassweir.control.slow_start import ROUNDING, SlowStart

RECENT_FACTOR = 2.0  # x connect timeout: how long a failure or a success counts as recent

# Circuit breaker.
OUTAGE_FAILURES = 3  # consecutive failures that open the circuit
LONG_WAIT_FACTOR = 2.0  # x connect timeout: a longer wait means an outage, not a rate limit
OUTAGE_FAILURE_SHARE = 0.55  # failure share that opens the circuit although some calls succeed
FAILURE_GAIN = 0.1  # weight of a new result in the failure share
REJECTION_STEPS = 1.0  # rejections in a row before safe_gap() applies, plus own messages per cold period
TRIAL_SHARE = 1.0  # share of the tipping rate that the trials of all senders may use together

# Token bucket.
PACE_CUT_FACTOR = 0.7  # x pace: new pace after a rejection
MAX_TOKEN_DEBT = 2.0  # calls: the most by which a rejection delays the next call beyond the pace
PACE_GROWTH = 0.08  # share of the pace added each second without a rejection
PACE_DECAY = 0.1  # share of the pace removed each second while the reported allowance is low
LOW_ALLOWANCE = 0.2  # share of the reported limit left at or below which the pace decays
MAX_PACE_FACTOR = 2.0  # x own rate: pace at the first report, and highest pace after a rejection
MIN_FIRST_PACE = 1.0  # calls a second: lowest pace at the first report; a lower one would rest on chance
MIN_PACE_SHARE = 0.5  # x own rate: lowest pace


class Gate(SlowStart):
    """Circuit breaker and token bucket of one destination, or of one endpoint whose route is separate.

    Times are milliseconds.
    """

    __slots__ = (
        "allowance_left", "circuit_open", "failing_since", "failure_streak", "last_busy", "last_failure",
        "next_trial", "pace", "pace_cut_at", "refilled_at", "rejection_streak", "succeeded", "tokens",
        "trial_in_flight", "wait_until",
    )  # fmt: skip

    def __init__(self, settings: api.Settings, rng: Random, now: float) -> None:
        super().__init__(settings, rng, now)
        self.pace, self.tokens, self.refilled_at = INF, 1.0, now  # pace: calls a second of this sender
        self.wait_until = -INF  # no call before this: a requested wait, or a backoff after a rejection
        self.circuit_open, self.next_trial, self.trial_in_flight = False, INF, False
        self.failure_streak = self.rejection_streak = 0
        self.failing_since = INF  # start of the streak
        self.last_failure = self.last_busy = self.pace_cut_at = -INF
        self.succeeded = False  # a call succeeded since the last on_second()
        self.allowance_left = 1.0  # share of the limit, by the last report

    @property
    def recovery(self) -> api.Recovery:
        """Whether the destination is held to be down, or back from an outage."""
        if self.circuit_open or self.outage_suspected:
            return api.Recovery.SUSPECTED
        if not self.in_slow_start:
            return api.Recovery.NONE
        return api.Recovery.CAUTIOUS_START if self.suspicion_only else api.Recovery.SLOW_START

    def restore_recovery(self, now: float, recovery: api.Recovery, ago: float) -> None:
        """Go on with what an earlier process concluded, no bolder than it was."""
        super().restore_recovery(now, recovery, ago)
        self.tokens = min(self.tokens, self.rng.random())

    def set_limit(self, rate: float, reported: bool) -> None:
        """Set the limit in calls a second; the endpoint list's rate is ignored once a limit was reported."""
        if rate <= 0 or (self.limit_reported and not reported):
            return
        if reported and self.pace == INF:
            self.pace = max(MIN_FIRST_PACE, MAX_PACE_FACTOR * rate / self.settings.senders)
        self.limit_reported, self.limit_rate = reported, rate

    def safe_gap(self, now: float, offset: float = 0.5) -> float:
        """Return a gap in ms at which all senders may call a recovering destination without overloading it.

        The gap is random: the safe gap times a factor between ``offset`` and ``offset`` + 1.
        """
        return (
            1000.0
            / self.safe_rate(now, TRIAL_SHARE * self.settings.start_capacity)
            * (offset + self.rng.random())
        )

    def allowed_rate(self, now: float) -> float:
        """Return the calls a second allowed now: the pace, bounded by slow start."""
        return min(self.pace, self.ramp_rate(now))

    def refill(self, now: float) -> float:
        """Refill the token bucket, which holds one call, and return the rate in calls a second."""
        rate = self.allowed_rate(now)
        self.tokens = 1.0 if rate == INF else min(1.0, self.tokens + (now - self.refilled_at) * rate / 1000.0)
        self.refilled_at = now
        return rate

    def next_call_at(self, now: float, last: bool = False) -> float:
        """Return the earliest time of the next call, infinite while a trial is in flight.

        ``last`` says that no other message is queued. Slow start ends only then: if it ended with the cold
        period, all senders would at once send what they queued during it.
        """
        if last and now - self.ramp_start >= self.settings.cold:
            self.ramp_start = -INF
        at = max(now, self.wait_until)
        if self.circuit_open:
            return INF if self.trial_in_flight else max(at, self.next_trial)
        rate = self.refill(now)
        if self.tokens < 1.0 - ROUNDING:
            at = max(at, now + (1.0 - self.tokens) * 1000.0 / rate)
        return max(at, self.probation_call_at(now))

    def on_sent(self, now: float) -> bool:
        """Take a token for a call; return whether the call is the trial of a half-open circuit."""
        self.trial_in_flight |= self.circuit_open
        if not self.circuit_open and self.refill(now) != INF:
            self.tokens -= 1.0
        self.take_probation_call(now)
        return self.circuit_open

    def open_circuit(self, now: float, wait: float = 0.0) -> None:
        """Open the circuit and schedule the next trial at a random time after ``wait``.

        After a requested wait about one of all senders tries at its end, and the others follow spread out.
        """
        gap = self.safe_gap(now, -1.0 / self.settings.senders if wait else 0.5)
        self.circuit_open, self.last_failure, self.next_trial = True, now, now + wait + max(0.0, gap)

    def on_success(self, now: float, sent: float | None = None) -> None:
        """Record a success; close the circuit and begin slow start, unless a requested wait is running.

        ``sent`` is when the call was sent, ``now`` if unknown.
        """
        self.record_proof(now, now if sent is None else sent)
        self.failure_streak = self.rejection_streak = 0
        self.failing_since = INF
        self.succeeded = True
        self.failure_share -= FAILURE_GAIN * self.failure_share
        if self.circuit_open and now >= self.wait_until:
            self.begin_slow_start(now, suspicion_only=False)
            self.circuit_open, self.tokens, self.refilled_at = False, self.rng.random(), now

    def on_failure(self, now: float, trial: bool, newer: bool = True) -> None:
        """Record a failed call; open the circuit if it was the trial or failures are too many.

        ``newer`` says that the call was sent after the last success. Only such calls count as consecutive:
        several losses among many parallel calls are not an outage.
        """
        if newer:
            self.failure_streak += 1
            self.failing_since = min(self.failing_since, now)
            self.failing_for = now - self.failing_since
        self.failure_share += FAILURE_GAIN * (1.0 - self.failure_share)
        self.last_failure = now
        if trial or (
            not self.circuit_open
            and (self.failure_streak >= OUTAGE_FAILURES or self.failure_share > OUTAGE_FAILURE_SHARE)
        ):
            self.open_circuit(now)

    def on_connection_limit(self, now: float, trial: bool) -> None:
        """Record a connection that was rejected for the endpoint's connection limit.

        If this lasts without a success, the circuit opens as in an outage: a destination that is down may
        answer so, and without slow start the senders would overload it when it recovers.
        """
        self.failing_since, self.rejection_streak = min(self.failing_since, now), self.rejection_streak + 1
        self.failing_for = now - self.failing_since
        lasting = (
            self.rejection_streak >= OUTAGE_FAILURES
            and self.failing_for >= RECENT_FACTOR * self.settings.connect_timeout
        )
        if trial or (lasting and not self.circuit_open):
            self.open_circuit(now)

    def on_requested_wait(self, now: float, wait: float) -> None:
        """Send nothing for ``wait`` ms; called for each message of a shared call."""
        if wait > 0:
            self.wait_until = max(self.wait_until, now + wait + self.settings.tick)

    def on_busy(self, now: float, wait: float, trial: bool, sent: float) -> None:
        """Record a call that was rejected without running, because of a rate limit or an outage.

        A call sent before the last rejection adds no evidence and is ignored, unless it asks for a long wait:
        a burst over the limit is not an outage.
        """
        long_wait = LONG_WAIT_FACTOR * self.settings.connect_timeout
        if sent < self.last_busy and not trial and wait <= long_wait:
            return
        self.last_busy, lasting = now, False
        self.failing_since = min(self.failing_since, now)
        self.failing_for = now + wait - self.failing_since
        if wait <= 0 and not self.circuit_open:
            # Back off further with each rejection in a row: repeated calls to an overloaded destination would
            # use up the messages' attempts and overload it again when it recovers.
            steps = REJECTION_STEPS + self.own_rate(now) * self.settings.cold / 1000.0
            wait = 1000.0 / max(self.limit_rate, 1.0) * (0.5 + self.rng.random())
            lasting = self.rejection_streak > steps
            self.wait_until = max(
                self.wait_until,
                now + (wait if self.rejection_streak < steps else self.safe_gap(now)),
            )
            self.rejection_streak += not self.limit_reported  # reports show when capacity is back
        # After a long wait, trials instead of paced calls keep all senders from calling at its end.
        if trial or ((wait > long_wait or lasting) and not self.circuit_open):
            self.open_circuit(now, wait)
        if not self.circuit_open:
            # A random debt spreads the retries of calls that were rejected together.
            self.tokens = min(self.tokens, -MAX_TOKEN_DEBT * self.rng.random())
            if now - self.pace_cut_at >= PERIOD_MS:
                # At most once a period: a limit that counts over an interval rejects all calls until its end.
                highest = MAX_PACE_FACTOR * self.own_rate(now)
                self.pace, self.pace_cut_at = (
                    max(MIN_PACE_SHARE * self.own_rate(now), min(self.pace * PACE_CUT_FACTOR, highest)),
                    now,
                )

    def on_second(self, now: float) -> bool:
        """Adjust the pace, once a second; return False when it will not change without new results."""
        before = self.pace
        if self.pace < INF:
            # Reports show when capacity is back; without them only calls can find it.
            grow = self.allowance_left > LOW_ALLOWANCE if self.limit_reported else self.succeeded
            self.succeeded = False
            pace = self.pace * (1.0 + (PACE_GROWTH if grow else -PACE_DECAY if self.limit_reported else 0.0))
            self.pace = max(
                min(pace, self.limit_rate) if self.limit_reported else pace,
                MIN_PACE_SHARE * self.own_rate(now),
            )
        # The minimum pace under a reported limit may still fall until the cold period is over.
        return self.pace != before or (self.limit_reported and now - self.created_at < self.settings.cold)
