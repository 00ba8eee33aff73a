"""Suspects outages from failed calls, and paces the calls to a destination that may be back from one."""

import math
from random import Random

from brassweir import interface as api
from brassweir.control.aggregates import INF

UNREPORTED_RATE = 1.0  # calls a second from all senders, assumed until a limit is known
UNAFFECTED_SHARE = 0.3  # share of the unaffected senders' load that the affected ones may add on recovery
MIN_OUTAGE_FACTOR = 3.0  # x connect timeout: shortest assumed outage, as a burst may see only its end
RAMP_SHARE = 0.6  # share of the tipping rate used during slow start, since other senders ramp up too
ISOLATED_FAILURE_SHARE = 0.25  # failure share above which a failure between two successes is no accident

RECOVERIES = (*api.Recovery,)
ROUNDING = 1e-9  # of a token
FEW_CALLS = 30.0  # below so many calls chance adds more to them


def chance_calls(calls: float) -> float:
    """Return by how many calls a destination that bears ``calls`` may be exceeded by chance."""
    factor = 3.0 if calls < FEW_CALLS else 2.0
    return factor * math.sqrt(calls) + factor


class SlowStart:
    """What one sender concludes from failed calls about outages, and the pace that it keeps after one.

    Times are milliseconds. The tipping rate is the call rate that overloads a destination which has just
    recovered and has only part of its capacity: limit x share of capacity x ``tip_multiple``.

    A failed or rejected call leaves an outage suspected until a call that was sent later succeeds. If that
    success comes soon after the one before the failure, no outage fits between them. Otherwise slow start
    begins with it: the destination may have been down and have come back cold.
    """

    __slots__ = (
        "arrivals", "created_at", "failing_for", "failure_share", "last_proof_sent", "last_success",
        "limit_rate", "limit_reported", "probation_calls", "probation_refilled_at", "ramp_start", "rng",
        "reported_recovery", "reported_start", "settings", "silence_end", "suspect_sent", "suspicion_only",
    )  # fmt: skip

    def __init__(self, settings: api.Settings, rng: Random, now: float) -> None:
        self.settings, self.rng = settings, rng
        self.limit_reported = False  # else limit_rate is the endpoint list's weight, or a default
        self.limit_rate = UNREPORTED_RATE  # limit in calls a second from all senders
        self.created_at, self.arrivals = now, 0.0  # arrivals: messages submitted for it
        self.failing_for = 0.0  # last known length of a streak of failures
        self.failure_share = 0.0  # exponential moving average
        self.ramp_start = -INF  # start of slow start
        self.suspicion_only = False  # slow start has begun although no outage was seen
        self.reported_recovery = 0  # index in RECOVERIES of what the sender reported last
        self.reported_start = -INF  # and the start of slow start with it
        self.probation_calls, self.probation_refilled_at = 1.0, now  # a token bucket, after a suspicion
        self.suspect_sent = -INF  # when the latest call was sent that leaves an outage suspected
        self.last_success = -INF  # when the latest call succeeded
        self.last_proof_sent = -INF  # when the latest of the calls that succeeded was sent
        self.silence_end = -INF  # when a call succeeded after a time without success as long as an outage

    @property
    def shortest_outage(self) -> float:
        """The shortest outage that is assumed (ms)."""
        return MIN_OUTAGE_FACTOR * self.settings.connect_timeout

    @property
    def outage_suspected(self) -> bool:
        """Whether a call failed and none sent after it has succeeded."""
        return self.suspect_sent > -INF

    @property
    def in_slow_start(self) -> bool:
        """Whether slow start has begun and not ended."""
        return self.ramp_start > -INF

    def restore_recovery(self, now: float, recovery: api.Recovery, ago: float) -> None:
        """Go on with what an earlier process concluded; ``ago`` is how long slow start has been on (ms)."""
        if recovery is api.Recovery.SUSPECTED:
            self.suspect_sent = max(self.suspect_sent, now)
        elif recovery is not api.Recovery.NONE:
            self.begin_slow_start(now - ago, recovery is api.Recovery.CAUTIOUS_START)

    def note_reported(self, recovery: api.Recovery) -> bool:
        """Note that the sender reports the recovery; return whether it differs from the last report."""
        report = (RECOVERIES.index(recovery), self.ramp_start)
        changed = report != (self.reported_recovery, self.reported_start)
        self.reported_recovery, self.reported_start = report
        return changed

    def own_rate(self, now: float) -> float:
        """Return this sender's part of the limit: an even share, or its own message rate if higher."""
        own = self.arrivals * 1000.0 / max(now - self.created_at, self.settings.cold, 1.0)
        return max(self.limit_rate / self.settings.senders, own)

    def safe_rate(self, now: float, share: float) -> float:
        """Return this sender's part of the tipping rate in calls a second, at a share of the full capacity.

        Where senders call so rarely that few of them saw the outage, the unaffected ones make the load, and
        the affected ones may add a fraction of it.
        """
        own_rate = self.own_rate(now)
        affected = -math.expm1(-own_rate * max(self.failing_for, self.shortest_outage) / 1000.0)
        return own_rate * max(
            share * self.settings.tip_multiple, UNAFFECTED_SHARE * (1.0 - affected) / affected
        )

    def suspicion_rate(self, now: float, share: float) -> float:
        """Return as :meth:`safe_rate`, where an outage is only suspected.

        A destination bears more calls within ``tip_after`` than the tipping rate, by what chance may add. The
        senders share that too: without it one that calls rarely could not call for long after an accident.
        """
        settings = self.settings
        window = share * settings.tip_multiple * settings.tip_after / 1000.0
        chance = chance_calls(window * max(self.limit_rate, self.own_rate(now))) / settings.senders
        return max(
            self.safe_rate(now, RAMP_SHARE * share),
            RAMP_SHARE * (window * self.own_rate(now) + chance) * 1000.0 / settings.tip_after,
        )

    def ramp_rate(self, now: float) -> float:
        """Return the calls a second that slow start after an outage allows now; infinite without one."""
        if not self.in_slow_start or self.suspicion_only or not self.settings.cold:
            return INF
        return self.safe_rate(now, RAMP_SHARE * self._capacity_share(now))

    def _capacity_share(self, now: float) -> float:
        """Return the share of its full capacity that a destination has which has come back cold."""
        start = self.settings.start_capacity
        if not self.in_slow_start:
            return start
        return start + (1.0 - start) * (now - self.ramp_start) / self.settings.cold

    def _probation_rate(self, now: float) -> float:
        """Return the calls a second allowed after a mere suspicion; infinite without one.

        While the suspicion lasts, and an outage has had time to happen, it is the rate of a cold start.
        """
        if not self.settings.cold:
            return INF
        if self.outage_suspected and now - self.last_success > self.shortest_outage:
            return self.suspicion_rate(now, self.settings.start_capacity)
        if not self.in_slow_start or not self.suspicion_only:
            return INF
        return self.suspicion_rate(now, self._capacity_share(now))

    def _refill_probation(self, now: float) -> float:
        """Refill the bucket of calls after a suspicion, which holds one call, and return its rate."""
        rate = self._probation_rate(now)
        gained = 1.0 if rate == INF else (now - self.probation_refilled_at) * rate / 1000.0
        self.probation_calls = min(1.0, self.probation_calls + gained)
        self.probation_refilled_at = now
        return rate

    def probation_call_at(self, now: float) -> float:
        """Return the earliest time of the next call after a suspicion."""
        rate = self._refill_probation(now)
        if self.probation_calls >= 1.0 - ROUNDING:
            return now
        return now + (1.0 - self.probation_calls) * 1000.0 / rate

    def take_probation_call(self, now: float) -> None:
        """Count a call that is sent now."""
        if self._refill_probation(now) < INF:
            self.probation_calls -= 1.0

    def begin_slow_start(self, at: float, suspicion_only: bool) -> None:
        """Begin slow start as of ``at``, unless a later one has begun.

        ``suspicion_only``: no outage was seen, but one may have happened.
        """
        if at >= self.ramp_start:
            self.ramp_start, self.suspicion_only = at, suspicion_only

    def suspect_outage(self, sent: float) -> None:
        """Record that a call sent at ``sent`` failed or was rejected.

        If a later call has succeeded meanwhile, an outage can only have happened in the last long silence.
        """
        if sent > self.last_proof_sent:
            self.suspect_sent = max(self.suspect_sent, sent)
        elif sent < self.silence_end:
            self.begin_slow_start(self.silence_end, suspicion_only=True)

    def record_proof(self, now: float, sent: float) -> None:
        """Record that a call sent at ``sent`` succeeded. It proves nothing about failures of later calls."""
        self.last_proof_sent = max(self.last_proof_sent, sent)
        if self.in_slow_start and self.suspicion_only:
            # The ramp leaves this part of the tipping rate. It is divided by what each sender sees served, so
            # that a destination which has not been down is soon used as before.
            self.probation_calls = min(
                1.0, self.probation_calls + (1.0 - RAMP_SHARE) * self.settings.tip_multiple
            )
        if sent < self.suspect_sent:
            return
        silent = now - self.last_success > self.shortest_outage
        if self.outage_suspected and (silent or self.failure_share > ISOLATED_FAILURE_SHARE):
            self.begin_slow_start(now, suspicion_only=True)
        if silent:
            self.silence_end = now
        self.suspect_sent, self.last_success = -INF, now
