"""May calls go to one destination now: waits, the pace under a limit, outages, trials and the return."""

import math
from random import Random

from brassweir import interface as api
from brassweir.control.bound import PERIOD
from brassweir.control.means import INF

LATELY = 2.0  # x connect time-out: a failure counts as recent for so long

# Outages, trials and return.
FAILS_SHUT = 3  # failures in a row that mean an outage
LONG_WAIT = 2.0  # x connect time-out: a longer wait, told or grown to, means shut and not a limit
MOSTLY = 0.55  # running share of failures that means an outage, though some calls still pass
BAD_GAIN = 0.1  # weight of a new outcome in that share
RATE_UNTOLD = 1.0  # calls a second from all senders while nothing told a limit: the own part counts then
FULL_STEPS = 1.0  # refusals in a row before the safe gap; one more for each own message in the cold time
TRIAL_PART = 1.0  # share of the tipping rate at the return that trials of all senders may take
OTHERS = 0.3  # share of the load of senders that met no failure there which the others may add at a return
MET_LEAST = 3.0  # x connect time-out: an outage is taken to last so long: a burst may meet its last moments
RAMP = 0.6  # share of the tipping rate used on return: other senders ramp too

# Pace under a limit.
PACE_CUT = 0.7  # x pace at a refusal over the limit
TOKENS_SPREAD = 2.0  # calls: the most by which a refusal puts off the next one beyond the pace
PACE_GROWTH = 0.08  # share of the pace that comes back each second without one
PACE_EASE = 0.1  # share of the pace given up each second while the report tells of no allowance left
SCARCE = 0.2  # share of the allowance left under which the limit, not an outage, refuses calls
PACE_FIRST = 2.0  # x this sender's part: pace at the first report, and the highest after a refusal
PACE_LEAST = 1.0  # calls a second: a lower pace at the first report would rest on chance, not evidence
PACE_FLOOR = 0.5  # share of this sender's part under which the pace is not cut


class Gate:
    """May calls go to one destination, or one separate route, now: waits, pace, outage and return."""

    __slots__ = (
        "arrivals",
        "bad",
        "cut",
        "fails",
        "full_at",
        "last_fail",
        "left",
        "met",
        "pace",
        "ramp",
        "rate",
        "refused",
        "rng",
        "served",
        "sets",
        "shut",
        "since",
        "stamp",
        "start",
        "told",
        "tokens",
        "trial",
        "trial_out",
        "wait",
    )

    def __init__(self, sets: api.Settings, rng: Random, now: float) -> None:
        self.sets, self.rng = sets, rng
        self.told = False  # a report named the limit
        self.rate = RATE_UNTOLD  # believed limit in calls a second from all senders
        self.pace, self.tokens, self.stamp = INF, 1.0, now
        self.wait = -INF  # nothing may go before this: told, or ours after a refusal without a word
        self.shut, self.trial, self.trial_out = False, INF, False
        self.ramp = -INF  # when the return was seen
        self.fails = self.refused = 0  # in a row
        self.since, self.met = INF, 0.0  # start of that row, and how long it lasted when last looked at
        self.bad = 0.0  # running share of failures
        self.last_fail = self.full_at = self.cut = -INF
        self.served = False  # something passed since the pace was last looked at
        self.left = 1.0  # share of the limit left, by the last report
        self.start, self.arrivals = now, 0.0  # messages handed in for it

    def limit(self, rate: float, told: bool) -> None:
        """Learn the limit from a report, which is heeded at once, or the list's weight until one came."""
        if rate <= 0 or (self.told and not told):
            return
        if told and self.pace == INF:
            self.pace = max(PACE_LEAST, PACE_FIRST * rate / self.sets.senders)
        self.told, self.rate = told, rate

    def part(self, now: float) -> float:
        """This sender's part of the destination's rate: an even one, or its own part of the traffic."""
        own = self.arrivals * 1000.0 / max(now - self.start, self.sets.cold, 1.0)
        return max(self.rate / self.sets.senders, own)

    def safe_gap(self, now: float, low: float = 0.5) -> float:
        """Calls about so far apart cannot push a returning destination over, though all senders make them."""
        return 1000.0 / self.safe_rate(now, TRIAL_PART * self.sets.start_capacity) * (low + self.rng.random())

    def safe_rate(self, now: float, share: float) -> float:
        """This sender's part of the tipping rate at a share of the capacity. Where senders call so rarely
        that few met the outage, the others make the load, and those few may add a fraction of it."""
        part = self.part(now)
        met = -math.expm1(-part * max(self.met, MET_LEAST * self.sets.connect_timeout) / 1000.0)
        return part * max(share * self.sets.tip_multiple, OTHERS * (1.0 - met) / met)

    def allowed(self, now: float) -> float:
        """Calls a second that may go now: the pace, and after an outage the ramp."""
        if self.ramp == -INF or not self.sets.cold:
            return self.pace
        into, first = (now - self.ramp) / self.sets.cold, self.sets.start_capacity
        return min(self.pace, self.safe_rate(now, RAMP * (first + (1.0 - first) * into)))

    def refill(self, now: float) -> float:
        """Bring the bucket up to date and return the rate in force."""
        rate = self.allowed(now)
        self.tokens = 1.0 if rate == INF else min(1.0, self.tokens + (now - self.stamp) * rate / 1000.0)
        self.stamp = now
        return rate

    def when(self, now: float, last: bool = False) -> float:
        """The earliest time for the next call, perhaps the last one held; infinite while a trial is out. The
        ramp lasts until then: guards against a fleet sending at once what it held through the cold time."""
        if last and now - self.ramp >= self.sets.cold:
            self.ramp = -INF
        at = max(now, self.wait)
        if self.shut:
            return INF if self.trial_out else max(at, self.trial)
        rate = self.refill(now)
        if self.tokens < 1.0 - 1e-9:
            at = max(at, now + (1.0 - self.tokens) * 1000.0 / rate)
        return at

    def sent(self, now: float) -> bool:
        """A call goes out; true if it is the trial."""
        self.trial_out |= self.shut
        if not self.shut and self.refill(now) != INF:
            self.tokens -= 1.0
        return self.shut

    def close(self, now: float, wait: float = 0.0) -> None:
        """Take the destination for out: single trials, spread from a told wait's end on, one of all then."""
        gap = self.safe_gap(now, -1.0 / self.sets.senders if wait else 0.5)
        self.shut, self.last_fail, self.trial = True, now, now + wait + max(0.0, gap)

    def passed(self, now: float) -> None:
        """A call was served."""
        self.fails = self.refused = 0
        self.since = INF
        self.served = True
        self.bad -= BAD_GAIN * self.bad
        if self.shut and now >= self.wait:  # an earlier call's late pass ends no told closing
            self.shut, self.ramp, self.tokens, self.stamp = False, now, self.rng.random(), now

    def failed(self, now: float, trial: bool, newer: bool = True) -> None:
        """A call failed for good, timed out or found no connection. In a row count only calls newer than the
        last that passed: guards against taking a busy destination whose losses stand side by side for out."""
        if newer:
            self.fails += 1
            self.since = min(self.since, now)
            self.met = now - self.since
        self.bad += BAD_GAIN * (1.0 - self.bad)
        self.last_fail = now
        if trial or (not self.shut and (self.fails >= FAILS_SHUT or self.bad > MOSTLY)):
            self.close(now)

    def crowded(self, now: float, trial: bool) -> None:
        """Turned away for want of a connection. Where nothing has passed lately it may be out and say it so:
        guards against a fleet pushing it over when it is back, and cold."""
        self.since, self.refused = min(self.since, now), self.refused + 1
        self.met = now - self.since
        lasting = self.refused >= FAILS_SHUT and self.met >= LATELY * self.sets.connect_timeout
        if trial or (lasting and not self.shut):
            self.close(now)

    def told_wait(self, now: float, wait: float) -> None:
        """Heed a wait, whichever message of a shared call brought it."""
        if wait > 0:
            self.wait = max(self.wait, now + wait + self.sets.tick)

    def full(self, now: float, wait: float, trial: bool, sent: float) -> None:
        """The destination refused a call unseen: over a limit, or shut. Calls sent before the last refusal
        was known are the same evidence (guards against taking a clump over the limit for an outage)."""
        long = LONG_WAIT * self.sets.connect_timeout
        if sent < self.full_at and not trial and wait <= long:
            return
        self.full_at, lasting = now, False
        self.since = min(self.since, now)
        self.met = now + wait - self.since
        if wait <= 0 and not self.shut:
            # Longer with each refusal in a row while there should be room: guards against a fleet hammering
            # a full queue, which burns its messages' attempts and pushes the destination over at its return.
            steps = FULL_STEPS + self.part(now) * self.sets.cold / 1000.0
            wait = 1000.0 / max(self.rate, 1.0) * (0.5 + self.rng.random())
            lasting = self.refused > steps
            self.wait = max(self.wait, now + (wait if self.refused < steps else self.safe_gap(now)))
            self.refused += not self.told  # else reports tell when there is room
        # A wait far over any span of a limit means shut: guards against a burst of all at its end.
        if trial or ((wait > long or lasting) and not self.shut):
            self.close(now, wait)
        if not self.shut:
            # Drawn: guards against a burst refused as one coming back as one.
            self.tokens = min(self.tokens, -TOKENS_SPREAD * self.rng.random())
            if now - self.cut >= PERIOD:  # once: a limit that counts over a span refuses all until its end
                # Reports tell when there is room again; without them only calls can find it.
                first = PACE_FIRST * self.part(now)
                self.pace, self.cut = max(PACE_FLOOR * self.part(now), min(self.pace * PACE_CUT, first)), now

    def second(self, now: float) -> bool:
        """Let the pace recover; false once nothing more comes back by itself."""
        before = self.pace
        if self.pace < INF:
            room = self.left > SCARCE if self.told else self.served
            self.served = False
            grown = self.pace * (1.0 + (PACE_GROWTH if room else -PACE_EASE if self.told else 0.0))
            self.pace = max(min(grown, self.rate) if self.told else grown, PACE_FLOOR * self.part(now))
        # A told limit's floor may fall once the cold time is over; all else that stands still stays so.
        return self.pace != before or (self.told and now - self.start < self.sets.cold)
