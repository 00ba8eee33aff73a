"""May calls go to one destination now: waits, the pace under a limit, outages, trials and the return."""

import math
from random import Random

from brassweir import interface as api
from brassweir.control.aggregates import INF
from brassweir.control.backlog import PERIOD_MS

RECENT_FACTOR = 2.0  # x connect timeout: how long a failure or a success counts as recent

# Circuit breaker and slow start.
OUTAGE_FAILURES = 3  # consecutive failures that open the circuit
LONG_WAIT_FACTOR = 2.0  # x connect timeout: a longer wait means an outage, not a rate limit
OUTAGE_FAILURE_SHARE = 0.55  # failure share that opens the circuit although some calls succeed
FAILURE_GAIN = 0.1  # weight of a new result in the failure share
UNREPORTED_RATE = 1.0  # calls a second from all senders, assumed until a limit is known
REJECTION_STEPS = (
    1.0  # rejections in a row before the safe gap; one more for each own message in the cold time
)
TRIAL_SHARE = 1.0  # share of the tipping rate that the trials of all senders may use together
UNAFFECTED_SHARE = 0.3  # share of the load of senders that saw no failure which the others may add after it
MIN_OUTAGE_FACTOR = 3.0  # x connect timeout: shortest assumed outage, as a burst may see only its end
RAMP_SHARE = 0.6  # share of the tipping rate used during slow start, since other senders ramp up too

# Token bucket.
PACE_CUT_FACTOR = 0.7  # x pace: new pace after a rejection
MAX_TOKEN_DEBT = 2.0  # calls: the most by which a rejection delays the next call beyond the pace
PACE_GROWTH = 0.08  # share of the pace added each second without a rejection
PACE_DECAY = 0.1  # share of the pace removed each second while the reported allowance is low
LOW_ALLOWANCE = 0.2  # share of the reported limit left at or below which the pace decays
MAX_PACE_FACTOR = 2.0  # x own rate: pace at the first report, and highest pace after a rejection
MIN_FIRST_PACE = 1.0  # calls a second: lowest pace at the first report
MIN_PACE_SHARE = 0.5  # x own rate: lowest pace


class Gate:
    """May calls go to one destination, or one separate route, now: waits, pace, outage and return."""

    __slots__ = (
        "arrivals",
        "failure_share",
        "pace_cut_at",
        "failure_streak",
        "last_busy",
        "last_failure",
        "allowance_left",
        "failing_for",
        "pace",
        "ramp_start",
        "limit_rate",
        "rejection_streak",
        "rng",
        "succeeded",
        "settings",
        "circuit_open",
        "failing_since",
        "refilled_at",
        "created_at",
        "limit_reported",
        "tokens",
        "next_trial",
        "trial_in_flight",
        "wait_until",
    )

    def __init__(self, sets: api.Settings, rng: Random, now: float) -> None:
        self.settings, self.rng = sets, rng
        self.limit_reported = False  # a report named the limit
        self.limit_rate = UNREPORTED_RATE  # believed limit in calls a second from all senders
        self.pace, self.tokens, self.refilled_at = INF, 1.0, now
        self.wait_until = -INF  # nothing may go before this: told, or ours after a refusal without a word
        self.circuit_open, self.next_trial, self.trial_in_flight = False, INF, False
        self.ramp_start = -INF  # when the return was seen
        self.failure_streak = self.rejection_streak = 0  # in a row
        self.failing_since, self.failing_for = INF, 0.0  # start and length of the streak
        self.failure_share = 0.0  # running share of failures
        self.last_failure = self.last_busy = self.pace_cut_at = -INF
        self.succeeded = False  # something passed since the pace was last looked at
        self.allowance_left = 1.0  # share of the limit left, by the last report
        self.created_at, self.arrivals = now, 0.0  # messages handed in for it

    def set_limit(self, rate: float, told: bool) -> None:
        """Learn the limit from a report, which is heeded at once, or the list's weight until one came."""
        if rate <= 0 or (self.limit_reported and not told):
            return
        if told and self.pace == INF:
            self.pace = max(MIN_FIRST_PACE, MAX_PACE_FACTOR * rate / self.settings.senders)
        self.limit_reported, self.limit_rate = told, rate

    def own_rate(self, now: float) -> float:
        """This sender's part of the destination's rate: an even one, or its own part of the traffic."""
        own = self.arrivals * 1000.0 / max(now - self.created_at, self.settings.cold, 1.0)
        return max(self.limit_rate / self.settings.senders, own)

    def safe_gap(self, now: float, low: float = 0.5) -> float:
        """Calls about so far apart cannot push a returning destination over, though all senders make them."""
        return (
            1000.0
            / self.safe_rate(now, TRIAL_SHARE * self.settings.start_capacity)
            * (low + self.rng.random())
        )

    def safe_rate(self, now: float, share: float) -> float:
        """This sender's part of the tipping rate at a share of the capacity. Where senders call so rarely
        that few met the outage, the others make the load, and those few may add a fraction of it."""
        part = self.own_rate(now)
        met = -math.expm1(
            -part * max(self.failing_for, MIN_OUTAGE_FACTOR * self.settings.connect_timeout) / 1000.0
        )
        return part * max(share * self.settings.tip_multiple, UNAFFECTED_SHARE * (1.0 - met) / met)

    def allowed_rate(self, now: float) -> float:
        """Calls a second that may go now: the pace, and after an outage the ramp."""
        if self.ramp_start == -INF or not self.settings.cold:
            return self.pace
        into, first = (now - self.ramp_start) / self.settings.cold, self.settings.start_capacity
        return min(self.pace, self.safe_rate(now, RAMP_SHARE * (first + (1.0 - first) * into)))

    def refill(self, now: float) -> float:
        """Bring the bucket up to date and return the rate in force."""
        rate = self.allowed_rate(now)
        self.tokens = 1.0 if rate == INF else min(1.0, self.tokens + (now - self.refilled_at) * rate / 1000.0)
        self.refilled_at = now
        return rate

    def next_call_at(self, now: float, last: bool = False) -> float:
        """The earliest time for the next call, perhaps the last one held; infinite while a trial is out. The
        ramp lasts until then: guards against a fleet sending at once what it held through the cold time."""
        if last and now - self.ramp_start >= self.settings.cold:
            self.ramp_start = -INF
        at = max(now, self.wait_until)
        if self.circuit_open:
            return INF if self.trial_in_flight else max(at, self.next_trial)
        rate = self.refill(now)
        if self.tokens < 1.0 - 1e-9:
            at = max(at, now + (1.0 - self.tokens) * 1000.0 / rate)
        return at

    def on_sent(self, now: float) -> bool:
        """A call goes out; true if it is the trial."""
        self.trial_in_flight |= self.circuit_open
        if not self.circuit_open and self.refill(now) != INF:
            self.tokens -= 1.0
        return self.circuit_open

    def open_circuit(self, now: float, wait: float = 0.0) -> None:
        """Take the destination for out: single trials, spread from a told wait's end on, one of all then."""
        gap = self.safe_gap(now, -1.0 / self.settings.senders if wait else 0.5)
        self.circuit_open, self.last_failure, self.next_trial = True, now, now + wait + max(0.0, gap)

    def on_success(self, now: float) -> None:
        """A call was served."""
        self.failure_streak = self.rejection_streak = 0
        self.failing_since = INF
        self.succeeded = True
        self.failure_share -= FAILURE_GAIN * self.failure_share
        if self.circuit_open and now >= self.wait_until:
            self.circuit_open, self.ramp_start, self.tokens, self.refilled_at = (
                False,
                now,
                self.rng.random(),
                now,
            )

    def on_failure(self, now: float, trial: bool, newer: bool = True) -> None:
        """A call failed for good, timed out or found no connection. In a row count only calls newer than the
        last that passed: guards against taking a busy destination whose losses stand side by side for out."""
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
        """Turned away for want of a connection. Where nothing has passed lately it may be out and say it so:
        guards against a fleet pushing it over when it is back, and cold."""
        self.failing_since, self.rejection_streak = min(self.failing_since, now), self.rejection_streak + 1
        self.failing_for = now - self.failing_since
        lasting = (
            self.rejection_streak >= OUTAGE_FAILURES
            and self.failing_for >= RECENT_FACTOR * self.settings.connect_timeout
        )
        if trial or (lasting and not self.circuit_open):
            self.open_circuit(now)

    def on_requested_wait(self, now: float, wait: float) -> None:
        """Heed a wait, whichever message of a shared call brought it."""
        if wait > 0:
            self.wait_until = max(self.wait_until, now + wait + self.settings.tick)

    def on_busy(self, now: float, wait: float, trial: bool, sent: float) -> None:
        """The destination refused a call unseen: over a limit, or shut. Calls sent before the last refusal
        was known are the same evidence (guards against taking a clump over the limit for an outage)."""
        long = LONG_WAIT_FACTOR * self.settings.connect_timeout
        if sent < self.last_busy and not trial and wait <= long:
            return
        self.last_busy, lasting = now, False
        self.failing_since = min(self.failing_since, now)
        self.failing_for = now + wait - self.failing_since
        if wait <= 0 and not self.circuit_open:
            # Longer with each refusal in a row while there should be room: guards against a fleet hammering
            # a full queue, which burns its messages' attempts and pushes the destination over at its return.
            steps = REJECTION_STEPS + self.own_rate(now) * self.settings.cold / 1000.0
            wait = 1000.0 / max(self.limit_rate, 1.0) * (0.5 + self.rng.random())
            lasting = self.rejection_streak > steps
            self.wait_until = max(
                self.wait_until, now + (wait if self.rejection_streak < steps else self.safe_gap(now))
            )
            self.rejection_streak += not self.limit_reported  # else reports tell when there is room
        # A wait far over any span of a limit means shut: guards against a burst of all at its end.
        if trial or ((wait > long or lasting) and not self.circuit_open):
            self.open_circuit(now, wait)
        if not self.circuit_open:
            # Drawn: guards against a burst refused as one coming back as one.
            self.tokens = min(self.tokens, -MAX_TOKEN_DEBT * self.rng.random())
            if now - self.pace_cut_at >= PERIOD_MS:
                # Reports tell when there is room again; without them only calls can find it.
                first = MAX_PACE_FACTOR * self.own_rate(now)
                self.pace, self.pace_cut_at = (
                    max(MIN_PACE_SHARE * self.own_rate(now), min(self.pace * PACE_CUT_FACTOR, first)),
                    now,
                )

    def on_second(self, now: float) -> bool:
        """Let the pace recover; false once nothing more comes back by itself."""
        before = self.pace
        if self.pace < INF:
            room = self.allowance_left > LOW_ALLOWANCE if self.limit_reported else self.succeeded
            self.succeeded = False
            grown = self.pace * (1.0 + (PACE_GROWTH if room else -PACE_DECAY if self.limit_reported else 0.0))
            self.pace = max(
                min(grown, self.limit_rate) if self.limit_reported else grown,
                MIN_PACE_SHARE * self.own_rate(now),
            )
        # A told limit's floor may fall once the cold time is over; all else that stands still stays so.
        return self.pace != before or (self.limit_reported and now - self.created_at < self.settings.cold)
