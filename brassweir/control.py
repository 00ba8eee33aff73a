"""All decisions of a sender. Its types, events and actions are in brassweir/interface.py.

Clock, settings, seed and events in, actions out: no input or output, no global state; times in milliseconds.
docs/design.md tells which part follows the paper and where, and why, it departs.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from brassweir import interface as api
from brassweir.interface import Action, Effect, Result, State

INF = math.inf

# The paper's loop.
KP = 2.36  # slots per unit of error: the paper's proportional gain
KI = 3.62  # per second: the paper's integral gain
SET_POINT = 0.9  # share of the aim that an answered message should have used
PERIOD = 1000.0  # ms between two steps of the loop
START_SLOTS = 2.0  # x slots: the bound before anything was seen
CAP = 0.75  # share of the slots that one destination may hold
SICK_CAP = 0.5  # the same while it is slow or failed lately
CLIFF = 0.2  # worth left at the deadline: below it a late message has little to lose there, so it yields
SLOW = 2.0  # x mean call time: a call out for longer makes its destination sick
LATELY = 2.0  # x connect time-out: a failure counts as recent for so long

# Call times and time-outs.
MEAN_GAIN = 0.1  # weight of a new call time in its mean: some ten calls are remembered
UNMET = 0.25  # x connect time-out: call time taken for an unmet destination when none was met
TIMEOUT_MEANS = 6.0  # x mean call time: beyond it an answer hardly comes
TIMEOUT_LEAST = 1.0  # x connect time-out: shortest time-out
TIMEOUT_GROWTH = 2.0  # x for each further attempt, so that a heavy call may end
TIMEOUT_UNSAFE = 3.0  # x the time-out of others: giving up a call that can't be repeated loses the message
LOST = 0.03  # running share of lost answers from which time-outs are short
LOST_GAIN = 0.05  # weight of a call in that share
LOST_MEANS = 4.0  # x mean call time: time-out then
LOST_LEAST = 0.4  # x connect time-out: shortest time-out then
ILL = 4.0  # x usual call time: a destination whose mean grew so much is ill
USUAL_GAIN = 0.01  # weight of a slower call in the usual call time, which is to outlast an illness
LAST_CALL = 3.0  # x mean call time: no call that can't be repeated begins nearer to this sender's end
HUSH = 6.0  # x mean call time: no answer since a call that old means silence

# Outages, trials and return.
FAILS_SHUT = 3  # failures in a row that mean an outage
LONG_WAIT = 2.0  # x connect time-out: a longer wait, told or grown to, means shut and not a limit
MOSTLY = 0.55  # running share of failures that means an outage, though some calls still pass
BAD_GAIN = 0.1  # weight of a new outcome in that share
FAILS_ILL = 2  # failures in a row that set a destination apart; a single one may be a lost call
RATE_UNTOLD = 1.0  # calls a second from all senders while nothing told a limit: the own part counts then
FULL_STEPS = 1.0  # refusals in a row before the safe gap; one more for each own message in the cold time
TRIAL_PART = 1.0  # share of the tipping rate at the return that trials of all senders may take
OTHERS = 0.3  # share of the load of senders that met no failure there which the others may add at a return
MET_LEAST = 3.0  # x connect time-out: an outage is taken to last so long: a burst may meet its last moments
RAMP = 0.6  # share of the tipping rate used on return: other senders ramp too

ASK_AGAIN = 0.1  # x the time in which a list must be asked for: wait after a failed call, up to doubled
CONNS_BACK = 0.2  # calls at once that an endpoint short of connections gets back each second
KEEP = 3.0  # x idle time / senders: where connections lack, one whose next call comes later is closed
GAP_GAIN = 0.3  # weight of a new gap between two calls to an endpoint: some three are remembered
LACKED = 3.0  # x idle time: a missing connection is remembered for so long
QUEUE = 2.0  # x aim: a message that would queue for longer under a limit is refused
DOZE = 10.0  # x PERIOD: a destination without messages for so long is folded up
ASIDE = 0.5  # x connect time-out: wait for a message, or an endpoint that failed twice, set aside

# Pace under a limit.
PACE_CUT = 0.7  # x pace at a refusal over the limit
TOKENS_SPREAD = 2.0  # calls: the most by which a refusal puts off the next one beyond the pace
PACE_GROWTH = 0.08  # share of the pace that comes back each second without one
PACE_EASE = 0.1  # share of the pace given up each second while the report tells of no allowance left
SCARCE = 0.2  # share of the allowance left under which the limit, not an outage, refuses calls
PACE_FIRST = 2.0  # x this sender's part: pace at the first report, and the highest after a refusal
PACE_LEAST = 1.0  # calls a second: a lower pace at the first report would rest on chance, not evidence
PACE_FLOOR = 0.5  # share of this sender's part under which the pace is not cut


def fold(thing: Any, fresh: Any) -> tuple[Any, ...]:
    """The plain values of a thing that a fresh one of its kind has not: slot, value, slot, value."""
    pairs = [(name, getattr(thing, name)) for name in thing.__slots__]
    plain = [pair for pair in pairs if isinstance(pair[1], int | float)]
    moved = [pair for pair in plain if pair[1] != getattr(fresh, pair[0])]
    return tuple(part for pair in moved for part in pair)


def unfold(fresh: Any, folded: tuple[Any, ...]) -> None:
    """Make a fresh thing what the folded one was."""
    for name, value in zip(folded[::2], folded[1::2], strict=True):
        setattr(fresh, name, value)


class Mean:
    """A running mean of call times, which starts at the first one seen."""

    __slots__ = ("usual", "value")

    def __init__(self) -> None:
        self.value = self.usual = 0.0

    def add(self, sample: float) -> None:
        """Take one call time."""
        self.value += (sample - self.value) * (MEAN_GAIN if self.value else 1.0)
        gain = 1.0 if not self.usual else USUAL_GAIN if sample > self.usual else MEAN_GAIN
        self.usual += (min(sample, self.value) - self.usual) * gain


class Bound:
    """The backlog bound and its PI loop (paper, section 4)."""

    def __init__(self, slots: int, max_open: int) -> None:
        self.low, self.high = float(slots), float(max(slots, max_open))
        self.value = min(START_SLOTS * slots, self.high)
        self.delta = self.last = self.total = 0.0
        self.count = 0

    def answered(self, ratio: float) -> None:
        """Note a sent message's answer by the share of its aim that it used."""
        self.total += ratio
        self.count += 1

    def step(self) -> None:
        """Move the bound; a second without answers changes nothing."""
        if not self.count:
            return
        error = SET_POINT - self.total / self.count
        self.total, self.count = 0.0, 0
        self.delta += KP * ((KI + 1.0) * error - self.last)
        self.last = error
        self.value = math.floor(self.value + self.delta)
        if not self.low < self.value < self.high:
            self.value, self.delta = min(max(self.value, self.low), self.high), 0.0


class Gate:
    """May calls go to one destination, or one separate route, now: waits, pace, outage and return."""

    __slots__ = ("arrivals", "bad", "cut", "fails", "full_at", "last_fail", "left", "met", "pace", "ramp",
                 "rate", "refused", "rng", "served", "sets", "shut", "since", "stamp", "start", "told",
                 "tokens", "trial", "trial_out", "wait")

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

    def safe_gap(self, now: float) -> float:
        """Calls about so far apart cannot push a returning destination over, though all senders make them."""
        return 1000.0 / self.safe_rate(now, TRIAL_PART * self.sets.start_capacity) * (0.5 + self.rng.random())

    def safe_rate(self, now: float, share: float) -> float:
        """This sender's part of the tipping rate at a share of the capacity. Where senders call so rarely
        that few met the outage, the others make the load, and those few may add a fraction of it."""
        part = self.part(now)
        met = -math.expm1(-part * max(self.met, MET_LEAST * self.sets.connect_timeout) / 1000.0)
        return part * max(share * self.sets.tip_multiple, OTHERS * (1.0 - met) / met)

    def allowed(self, now: float) -> float:
        """Calls a second that may go now: the pace, and after an outage the ramp."""
        into = now - self.ramp
        if into >= self.sets.cold or self.ramp == -INF:
            return self.pace
        share = self.sets.start_capacity + (1.0 - self.sets.start_capacity) * into / self.sets.cold
        return min(self.pace, self.safe_rate(now, RAMP * share))

    def refill(self, now: float) -> float:
        """Bring the bucket up to date and return the rate in force."""
        rate = self.allowed(now)
        if rate == INF:
            self.tokens, self.stamp = 1.0, now
            return rate
        self.tokens = min(1.0, self.tokens + (now - self.stamp) * rate / 1000.0)
        self.stamp = now
        return rate

    def when(self, now: float) -> float:
        """The earliest time for the next call; infinite while a trial is out."""
        at = max(now, self.wait)
        if self.shut:
            return INF if self.trial_out else max(at, self.trial)
        rate = self.refill(now)
        if self.tokens < 1.0 - 1e-9:
            at = max(at, now + (1.0 - self.tokens) * 1000.0 / rate)
        return at

    def sent(self, now: float) -> bool:
        """A call goes out; true if it is the trial."""
        if self.shut:
            self.trial_out = True
            return True
        if self.refill(now) != INF:
            self.tokens -= 1.0
        return False

    def close(self, now: float) -> None:
        """Take the destination for out: only single trials from here on."""
        self.shut, self.last_fail, self.trial = True, now, now + self.safe_gap(now)

    def passed(self, now: float) -> None:
        """A call was served."""
        self.fails = self.refused = 0
        self.since = INF
        self.served = True
        self.bad -= BAD_GAIN * self.bad
        if self.shut and now >= self.wait:  # an earlier call's late pass ends no told closing
            self.shut, self.ramp, self.tokens, self.stamp = False, now, self.rng.random(), now

    def failed(self, now: float, trial: bool, newer: bool = True) -> None:
        """A call failed for good, ran out of time or found no connection. In a row count only calls newer
        than the last that passed: guards against taking a busy destination that loses some calls for one
        that is out, since many are out at once there and two losses often stand side by side."""
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
        self.met = now - self.since
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
            self.close(now)
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


class Endpoint:
    """One endpoint: what the list says of it and how its last calls went."""

    __slots__ = ("avoid", "conns", "fails", "gap", "gate", "info", "lack", "last_ok", "lot", "out", "usable",
                 "used")

    def __init__(self, info: api.EndpointInfo, gate: Gate, lot: float) -> None:
        self.info, self.gate, self.lot = info, gate, lot
        self.usable, self.out, self.fails = True, 0, 0
        self.avoid = self.used = self.last_ok = -INF
        self.conns = INF  # calls at once that its connections allow
        self.lack = INF  # other calls out when a connection was last missing
        self.gap = INF  # usual time between two messages there, up to the idle time


class Load:
    """What is open somewhere: summed cost, messages, slots in use."""

    __slots__ = ("cost", "open", "out")

    def __init__(self) -> None:
        self.cost, self.open, self.out = 0.0, 0, 0

    def add(self, cost: float, messages: int, slots: int) -> None:
        """Count some in, or out if negative."""
        self.cost, self.open, self.out = self.cost + cost, self.open + messages, self.out + slots


class Destination:
    """One destination: its endpoints, its held messages by deadline and its calls."""

    __slots__ = ("calls", "endpoints", "gate", "heap", "id", "ill", "last_pass", "load", "mean", "unanswered",
                 "woken")

    def __init__(self, ident: int, gate: Gate) -> None:
        self.id, self.gate = ident, gate
        self.endpoints: dict[str, Endpoint] = {}
        self.heap: list[tuple[float, int, Message]] = []  # held: (due, order, message)
        self.calls: dict[tuple[int, int], Call] = {}  # in the order of sending
        self.mean = Mean()
        self.load = Load()
        self.ill = False  # apart from the rest: see Sender._judge
        self.woken = INF  # next wake set
        self.last_pass = -INF
        self.unanswered = 0  # calls in a row

    def gates(self) -> list[Gate]:
        """The gates in use: one where its endpoints share a limit, else one for each route."""
        return [endpoint.gate for endpoint in self.endpoints.values() if endpoint.usable] or [self.gate]

    def oldest(self) -> float:
        """When the oldest call still out was sent."""
        return next((call.sent for call in self.calls.values()), INF)

    def head(self, now: float) -> Message | None:
        """The held message with the earliest deadline. Where worth drops fastest just after the aim, one that
        cannot make it goes by its last deadline: guards against the late making all others late too."""
        while self.heap:
            due, _, message = self.heap[0]
            if message.held and now + self.mean.value > message.due and message.yields:
                message.due, message.yields = message.deadline, False
            elif message.held and message.due == due:
                return message
            heappop(self.heap)
            if message.held:
                heappush(self.heap, (message.due, message.order, message))
        return None


class Call:
    """One call, which holds one slot until all messages in it have their outcomes."""

    def __init__(self, endpoint: Endpoint, sent: float) -> None:
        self.endpoint, self.sent, self.others = endpoint, sent, endpoint.out
        self.messages, self.size, self.trial = 0, 0, False  # without outcome, all, is it the trial
        self.learnt = False  # its fate is evidence once, however many messages it holds


class Message:
    """A message taken and not yet over, or over with an attempt still out."""

    def __init__(self, event: api.NewMessage, cls: api.MessageClass, dest: Destination, order: int,
                 now: float, yields: bool) -> None:
        self.id, self.cls, self.key = event.id, cls, event.key
        self.dest, self.order = dest, order
        self.deadline = now + event.left
        self.first = min(now, self.deadline - cls.deadline)  # first hand-in
        self.span = cls.aim if 0 < cls.aim < cls.deadline else cls.deadline
        self.due = self.first + self.span
        self.turns = cls.in_order and bool(event.key)  # one at a time with others of its key
        self.yields = yields  # to messages that can still make their aim
        self.cost = 1.0
        self.tries, self.live = 0, dict[int, Call]()  # attempts: all, outstanding
        self.may_run = INF  # send time of the first attempt that may have run
        self.zone = ""  # where that was
        self.held = self.over = self.was_sent = False


class KeyLine:
    """The messages of one key in the order taken; the first has the turn."""

    def __init__(self) -> None:
        self.queue: deque[Message] = deque()
        self.rest = -INF  # the key pauses until then


class Sender:
    """The decisions of one sender."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.sets, self.rng = settings, Random(seed)
        self.classes = {cls.name: cls for cls in settings.classes}
        self.batch = {kind.name: kind.batch for kind in settings.kinds}
        self.apart_kinds = {kind.name for kind in settings.kinds if kind.apart}
        self.bound = Bound(settings.slots, settings.max_open)
        self.mean = Mean()
        self.dests: dict[int, Destination] = {}  # those awake
        # Those folded up: when first listed, what differs from a fresh one, then info and lot by turns.
        self.asleep: dict[int, tuple[Any, ...]] = {}
        self.homes: dict[str, int] = {}  # the destination of each endpoint ever listed
        self.idle: dict[int, float] = {}  # awake without messages since, longest first
        self.stirred: dict[Gate, None] = {}  # gates whose pace may move by itself
        self.short: dict[Endpoint, None] = {}  # endpoints whose connections were all taken
        self.messages: dict[int, Message] = {}
        self.lost = 0.0  # running share of calls whose answer got lost
        self.keys: dict[str, KeyLine] = {}
        self.load, self.apart = Load(), Load()  # of all, of ill destinations
        self.lacked: dict[str, float] = {}  # when a connection was last missing, by kind of destination
        self.order = 0
        self.ready: list[tuple[float, int, int]] = []  # (deadline, order, destination) free to send
        self.wakes: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self.timer = INF  # earliest timer set
        self.calls: dict[str, Call] = {}  # calls of this reply that may be shared
        self.now = now
        self.leaves = INF  # when this sender ends
        self.actions: list[Action] = []
        self._wake(now + PERIOD, self._second)
        if settings.ask_list:
            self._wake(now, lambda _: self.actions.append(api.WatchList()))

    def handle(self, now: float, events: list[api.Event]) -> list[Action]:
        """Take the events of one moment and return what to do."""
        self.now, self.actions, self.calls = now, [], {}
        if self.timer <= now or api.TimerDue() in events:
            self.timer = INF  # due, perhaps by a rounded time: guards against waiting for it for ever
        self._wakes()
        for event in events:
            if isinstance(event, api.AttemptEnded):
                self._ended(event)
            elif isinstance(event, api.NewMessage):
                self._pump()
                self._admit(event)
            elif isinstance(event, api.ListNews):
                self._news(event)
            elif isinstance(event, api.Past):
                self._past(event)
            elif isinstance(event, api.Leaving):
                self.leaves = event.at
            elif isinstance(event, api.Withdrawn):
                if event.id in self.messages and not self.messages[event.id].over:
                    self._over(self.messages[event.id])
        self._pump()
        self._wakes()
        if self.wakes and self.wakes[0][0] < self.timer:
            self.timer = max(self.wakes[0][0], now + self.sets.tick)
            self.actions.append(api.SetTimer(self.timer))
        return self.actions

    def _wake(self, at: float, what: Callable[[Any], None], arg: Any = None) -> None:
        self.order += 1
        heappush(self.wakes, (at, self.order, what, arg))

    def _wakes(self) -> None:
        while self.wakes and self.wakes[0][0] <= self.now:
            _, _, what, arg = heappop(self.wakes)
            what(arg)

    def _second(self, _: None) -> None:
        self.bound.step()
        for gate in [gate for gate in self.stirred if not gate.second(self.now)]:
            del self.stirred[gate]
        for endpoint in [*self.short]:
            endpoint.conns += CONNS_BACK
            if endpoint.conns > self.sets.slots:  # no more calls than that can be out
                endpoint.conns = endpoint.lack = INF
                del self.short[endpoint]
        while self.idle:
            ident, since = next(iter(self.idle.items()))
            if self.now - since < DOZE * PERIOD:
                break
            del self.idle[ident]
            self._doze(self.dests[ident])
        self._wake(self.now + PERIOD, self._second)

    def _news(self, news: api.ListNews) -> None:
        if news.kind is api.ListKind.FAILED:
            if self.sets.ask_list:
                wait = ASK_AGAIN * self.sets.ask_within * (1.0 + self.rng.random())
                self._wake(self.now + wait, lambda _: self.actions.append(api.WatchList()))
            return
        if news.kind is not api.ListKind.DELTA:
            named = {info.name for info in news.entries}
            for name, home in self.homes.items():
                if name not in named:
                    self._dest(home).endpoints[name].usable = False
        for info in news.entries:
            was = self.homes.get(info.name, info.destination)
            if was != info.destination:
                self._dest(was).endpoints[info.name].usable = False  # it has moved to another destination
            self.homes[info.name] = info.destination
            awake, nap = self.dests.get(info.destination), self.asleep.get(info.destination, ())
            known = info.name in awake.endpoints if awake else any(one.name == info.name for one in nap[2::2])
            # Drawn so that a fleet of fresh senders spreads by rate: guards against all taking the same one;
            # and drawn now, also for one asleep, so that no decision hangs on who sleeps.
            lot = 0.0 if known else self.rng.expovariate(1.0) / (info.rate or 1.0)
            if awake is None and not known and info.state is State.READY and nap[:2] in ((), (self.now, ())):
                self.asleep[info.destination] = (*(nap or (self.now, ())), info, lot)
                continue
            if nap and not nap[1] and info in nap[2::2]:
                continue  # nothing new of one that was never used
            dest = self._dest(info.destination)
            endpoint = dest.endpoints.get(info.name) or self._endpoint(dest, info, lot, self.now)
            endpoint.info, endpoint.usable = info, info.state is State.READY
            if self.sets.weights != "none":
                endpoint.gate.limit(info.rate, False)
                self.stirred[endpoint.gate] = None
            self._list(dest)

    def _past(self, event: api.Past) -> None:
        """What an attempt before a restart told is heeded as if it had just ended, less the time since."""
        home = self.homes.get(event.endpoint)
        if home is None or event.result in (Result.OK, Result.CROWDED, Result.MOOT, Result.CANCELLED):
            return
        gate = self._dest(home).endpoints[event.endpoint].gate
        self.stirred[gate] = None
        if event.result is Result.FULL:
            gate.told_wait(self.now, event.wait - event.ago)
            gate.full(self.now, max(event.wait - event.ago, 0.0), False, self.now)
        else:
            gate.failed(self.now, False)

    def _endpoint(self, dest: Destination, info: api.EndpointInfo, lot: float, since: float) -> Endpoint:
        gate = Gate(self.sets, self.rng, since) if info.kind in self.apart_kinds else dest.gate
        made = dest.endpoints[info.name] = Endpoint(info, gate, lot)
        if self.sets.weights != "none":
            gate.limit(info.rate, False)
        return made

    def _dest(self, ident: int) -> Destination:
        """A destination awake; one asleep comes back just as it was."""
        dest = self.dests.get(ident)
        if dest is None:
            since, folded, *listed = self.asleep.pop(ident, (self.now, ()))
            dest = self.dests[ident] = Destination(ident, Gate(self.sets, self.rng, since))
            for info, lot in zip(listed[::2], listed[1::2], strict=True):
                self._endpoint(dest, info, lot, since)
            for thing, part in zip(self._parts(dest), folded, strict=bool(folded)):
                unfold(thing, part)
            self.idle[ident] = self.now
        return dest

    @staticmethod
    def _parts(dest: Destination) -> list[Any]:
        """All that is folded of a destination."""
        made = [*dest.endpoints.values()]
        apart = [one.gate for one in made if one.gate is not dest.gate]
        return [dest, dest.gate, dest.mean, dest.load, *made, *apart]

    def _doze(self, dest: Destination) -> None:
        """Fold up a destination with nothing open and nothing to recover: only what cannot be worked out
        again is kept. Guards against thousands with a message now and then costing what busy ones cost."""
        made = [*dest.endpoints.values()]
        if dest.load.open or dest.calls:
            return  # it comes by here again when it is empty
        if any(one in self.short or one.gate in self.stirred for one in made) or dest.gate in self.stirred:
            self.idle[dest.id] = self.now
            return
        since, dest.woken = dest.gate.start, INF
        fresh = Destination(dest.id, Gate(self.sets, self.rng, since))
        for one in made:
            self._endpoint(fresh, one.info, one.lot, since)
        parts, blanks = self._parts(dest), self._parts(fresh)
        if len(parts) != len(blanks):
            return  # an endpoint's kind has changed, and its gate is of the old kind: it stays awake
        folded = tuple(fold(*pair) for pair in zip(parts, blanks, strict=True))
        listed = (part for one in made for part in (one.info, one.lot))
        self.asleep[dest.id] = (since, folded if any(folded) else (), *listed)
        del self.dests[dest.id]

    def _call_time(self, dest: Destination) -> float:
        return dest.mean.value or self.mean.value or UNMET * self.sets.connect_timeout

    def _admit(self, event: api.NewMessage) -> None:
        if event.id in self.messages:
            raise api.MisuseError(f"message {event.id} was handed in twice")
        cls = self.classes.get(event.class_name)
        if cls is None:
            raise api.MisuseError(f"message {event.id} has the unknown class {event.class_name!r}")
        dest = self._dest(event.destination)
        self.order += 1
        message = Message(event, cls, dest, self.order, self.now, self.sets.by_half or cls.late_worth < CLIFF)
        message.cost = dest.mean.value / self.mean.value if dest.mean.value and self.mean.value else 1.0
        self.messages[message.id] = message
        self._count(dest, message.cost, 1, 0)
        for endpoint in dest.endpoints.values():
            endpoint.gate.arrivals += (not event.resent) / len(dest.endpoints)  # tries again swell no part
            self.stirred[endpoint.gate] = None
        if message.turns:
            self.keys.setdefault(message.key, KeyLine()).queue.append(message)
        if not event.admitted and (not self._room(dest) or self._queue(dest) > QUEUE * message.span):
            self._give_up(message)
        elif not message.turns or self._has_turn(message):
            self._hold(message)
        else:
            self._expiry(message)

    def _expiry(self, message: Message) -> None:
        """Look again when its time, or the window of its key, is all but up; anew at each hold, since an
        attempt may have been out at the last look."""
        at = message.deadline - self._call_time(message.dest)
        if message.cls.effect is Effect.KEYED:
            at = min(at, message.may_run + message.cls.window + self.sets.tick)
        self._wake(max(at, self.now), self._expire, message)

    def _expire(self, message: Message) -> None:
        if message.held or not (message.over or message.live):
            self._give_up(message)

    def _count(self, dest: Destination, cost: float, messages: int, slots: int) -> None:
        """The one place where totals move, so that no decision walks the destinations."""
        self.load.add(cost, messages, slots)
        dest.load.add(cost, messages, slots)
        if dest.ill:
            self.apart.add(cost, messages, slots)

    def _room(self, dest: Destination) -> bool:
        """Is the backlog, with the new message in it, within the bound? What waits for ill destinations
        weighs only on messages for these, which may fill their share of the holding limit."""
        if dest.ill:
            return self.apart.open <= SICK_CAP * self.sets.max_open
        return self.load.out < self.sets.slots or self.load.cost - self.apart.cost <= self.bound.value

    def _queue(self, dest: Destination) -> float:
        """How long the pace of its gates lets a new message wait. Guards against a standing queue under a
        limit, in which earliest deadline first makes every message late. Not where reports tell when there is
        room, nor by the ramp after an outage: both soon grow, and what is held then still goes in time."""
        gates = {endpoint.gate: self.batch.get(endpoint.info.kind, 1)
                 for endpoint in dest.endpoints.values() if endpoint.usable}
        if not gates or any(gate.shut or gate.told for gate in gates):
            return 0.0
        rate = sum(gate.pace * batch for gate, batch in gates.items())
        return max(0, dest.load.open - 1 - len(dest.calls)) * 1000.0 / rate

    def _hold(self, message: Message) -> None:
        """Put a message that may go into its destination's heap."""
        if message.over or message.held or message.live:
            return
        message.held = True
        self._expiry(message)
        heappush(message.dest.heap, (message.due, message.order, message))
        self._list(message.dest)

    def _has_turn(self, message: Message) -> bool:
        line = self.keys[message.key]
        return line.queue[0] is message and (line.rest <= self.now or message.was_sent)

    def _turn(self, key: str) -> None:
        """Pass the turn on once nothing of an earlier message is out and the key has rested."""
        line = self.keys.get(key)
        if line is None:
            return
        while line.queue and line.queue[0].over and not line.queue[0].live:
            line.queue.popleft()
        if line.rest > self.now:
            self._wake(line.rest, self._turn, key)
        elif not line.queue:
            del self.keys[key]
        elif not line.queue[0].over:
            self._hold(line.queue[0])

    def _list(self, dest: Destination) -> None:
        dest.woken = INF if dest.woken <= self.now else dest.woken
        head = dest.head(self.now)
        if head is not None:
            heappush(self.ready, (head.due, head.order, dest.id))

    def _pump(self) -> None:
        """Send the earliest deadlines among destinations free to send while slots are free."""
        while self.ready and self.load.out < self.sets.slots:
            due, order, ident = heappop(self.ready)
            dest = self.dests.get(ident)
            head = dest.head(self.now) if dest is not None else None
            if dest is None or head is None or (head.due, head.order) != (due, order):
                continue
            self._release(dest, head)
        for call in [*self.calls.values()]:
            dest = self.dests[call.endpoint.info.destination]
            while (head := dest.head(self.now)) is not None and self._joins(dest, head) is not None:
                self._release(dest, head)

    def _joins(self, dest: Destination, message: Message) -> Endpoint | None:
        """Where a call of this reply still has room: a message that joins it takes no slot and no token of
        its own. Guards against a limit on calls passing for one on messages. A trial stays small."""
        for endpoint in dest.endpoints.values():
            call = self.calls.get(endpoint.info.name)
            if (call is not None and not call.trial and call.size < self.batch.get(endpoint.info.kind, 1)
                    and self._may_send(message, endpoint)):
                return endpoint
        return None

    def _release(self, dest: Destination, head: Message) -> None:
        last = head.deadline - self._call_time(dest)  # later it is not worth a call
        endpoint, at = self._route(dest, head) if self.now <= last else (None, self.now)
        if endpoint is None and self.now <= last and (at <= last or at == INF):
            if at < dest.woken:
                dest.woken = at
                self._wake(at, self._list, dest)
            return
        if endpoint is not None and self._may_send(head, endpoint):
            self._send(head, endpoint)
        elif endpoint is not None and self._may_retry(head):
            head.held = False  # its own state forbids it now: aside, so that it holds up no other
            self._wake(self.now + ASIDE * self.sets.connect_timeout, self._hold, head)
        else:
            self._give_up(head)
        self._list(dest)

    def _overdue(self, dest: Destination, means: float) -> bool:
        return self.now - dest.oldest() > means * self._call_time(dest)

    def _judge(self, dest: Destination) -> bool:
        """Ill: shut, failing lately, silent, or far slower than usual. Guards the bound and the slots of all
        others: ill destinations together keep to the share of the slots that a sick one may hold."""
        ill = (all(gate.shut or gate.fails >= FAILS_ILL for gate in dest.gates()) or self._silent(dest)
               or dest.mean.value > ILL * dest.mean.usual > 0)
        if ill != dest.ill:
            sign, load, dest.ill = 1 if ill else -1, dest.load, ill
            self.apart.add(sign * load.cost, sign * load.open, sign * load.out)
        return ill

    def _silent(self, dest: Destination) -> bool:
        """No answer since a call sent long ago: guards against filling slots at a hung destination."""
        return dest.last_pass < dest.oldest() and self._overdue(dest, HUSH)

    def _route(self, dest: Destination, message: Message) -> tuple[Endpoint | None, float]:
        """The endpoint to use now, or when to look again (infinite: at the next event there)."""
        joined = self._joins(dest, message)
        if joined is not None:
            return joined, self.now
        recent = self.now - LATELY * self.sets.connect_timeout
        lately = all(gate.last_fail > recent for gate in dest.gates())
        cap = max(1, math.floor(self.sets.slots * (SICK_CAP if lately or self._overdue(dest, SLOW) else CAP)))
        if dest.load.out >= cap or (dest.load.out and self._silent(dest)):
            return None, INF
        if self._judge(dest):
            if self.apart.out >= max(1, math.floor(self.sets.slots * SICK_CAP)):
                return None, self.now + UNMET * self.sets.connect_timeout
        best: Endpoint | None = None
        rank, soonest = tuple[Any, ...](), INF
        for endpoint in dest.endpoints.values():
            if not endpoint.usable or not self._in_group(message, endpoint):
                continue
            at = max(endpoint.gate.when(self.now), endpoint.avoid if not endpoint.gate.shut else -INF)
            if at > self.now or endpoint.out >= max(1.0, endpoint.conns):
                soonest = min(soonest, at if at > self.now else INF)
                continue
            mine = (endpoint.fails, endpoint.out, -endpoint.used, endpoint.lot)
            if best is None or mine < rank:
                best, rank = endpoint, mine
        return best, soonest

    def _in_group(self, message: Message, endpoint: Endpoint) -> bool:
        return message.may_run == INF or message.cls.group == "all" or message.zone == endpoint.info.zone

    # ---- the choke points: every send, every final answer

    def _may_retry(self, message: Message) -> bool:
        """May another attempt ever go out for it."""
        if message.over or message.tries >= self.sets.max_attempts:
            return False
        effect = message.cls.effect
        if message.live and (not self.sets.second_copies or effect is Effect.UNSAFE):
            return False
        if message.may_run == INF or effect is Effect.SAFE:
            return True
        return effect is Effect.KEYED and self.now <= message.may_run + message.cls.window

    def _may_send(self, message: Message, endpoint: Endpoint) -> bool:
        """The rules on sends, each once. One that can't be repeated is left for after a restart if its call
        could be cut by it."""
        cut = message.cls.effect is Effect.UNSAFE and self.leaves < INF
        return (self._may_retry(message) and endpoint.usable and endpoint.gate.wait <= self.now
                and not (cut and self.now + LAST_CALL * self._call_time(message.dest) > self.leaves)
                and self._in_group(message, endpoint) and self.now < message.deadline
                and (not message.turns or self._has_turn(message)))

    def _send(self, message: Message, endpoint: Endpoint) -> None:
        dest = message.dest
        call = self.calls.get(endpoint.info.name)
        if call is None or call.trial or call.size >= self.batch.get(endpoint.info.kind, 1):
            call = self.calls[endpoint.info.name] = Call(endpoint, self.now)
            call.trial = endpoint.gate.sent(self.now)
            self._count(dest, 0.0, 0, 1)
            endpoint.out += 1
        call.messages += 1
        call.size += 1
        message.live[message.tries] = dest.calls[message.id, message.tries] = call
        message.tries += 1
        message.held, message.was_sent = False, True
        if message.tries == 1:
            gap = min(self.now - endpoint.used, self.sets.idle_close)
            endpoint.gap = gap if endpoint.gap == INF else endpoint.gap + (gap - endpoint.gap) * GAP_GAIN
        endpoint.used = self.now
        until = min(self.now + self._time_out(message), message.deadline)
        self.actions.append(api.Send(message.id, endpoint.info.name, until))

    def _time_out(self, message: Message) -> float:
        """Short while answers get lost: guards against lost calls holding slots; fails some heavy ones."""
        call = self._call_time(message.dest)
        if self.lost > LOST:
            span = max(LOST_MEANS * call, LOST_LEAST * self.sets.connect_timeout)
        else:
            span = max(TIMEOUT_MEANS * call, TIMEOUT_LEAST * self.sets.connect_timeout)
            if message.cls.effect is Effect.UNSAFE:
                return span * TIMEOUT_UNSAFE
        return span * TIMEOUT_GROWTH ** (message.tries - 1)

    def _give_up(self, message: Message) -> None:
        """The final answer, at once: a refusal where a repeat is harmless, else a failure."""
        effect = message.cls.effect
        never_ran = message.may_run == INF and not message.live
        if never_ran or effect is Effect.SAFE or (effect is Effect.KEYED and message.cls.group == "all"):
            self.actions.append(api.Refuse(message.id, self._retry_after(message)))
        else:
            self.actions.append(api.Fail(message.id))
        self._over(message)

    def _retry_after(self, message: Message) -> float:
        """When it is worth coming back: once the excess is worked off, or the destination may be back."""
        call = self._call_time(message.dest)
        excess = (self.load.cost - self.apart.cost - self.bound.value) * (self.mean.value or call)
        back = min(max(gate.wait, gate.trial if gate.shut else -INF) for gate in message.dest.gates())
        return min(max(excess / self.sets.slots, call, back - self.now), self.sets.max_retry_after)

    def _over(self, message: Message) -> None:
        message.over, message.held = True, False
        self._count(message.dest, -message.cost, -1, 0)
        if message.was_sent and not message.dest.ill:
            self.bound.answered((self.now - message.first) / message.span)
        self._forget(message)

    def _forget(self, message: Message) -> None:
        """Drop it once nothing more can come for it."""
        if message.live:
            return
        self.messages.pop(message.id, None)
        if not message.dest.load.open and not message.dest.calls:
            self.idle.pop(message.dest.id, None)
            self.idle[message.dest.id] = self.now
        if message.turns:
            self._turn(message.key)

    def _ended(self, event: api.AttemptEnded) -> None:
        message = self.messages.get(event.id)
        call = message.live.pop(event.attempt, None) if message is not None else None
        if message is None or call is None:
            return
        dest = message.dest
        dest.calls.pop((message.id, event.attempt), None)
        call.messages -= 1
        if not call.messages:
            self._count(dest, 0.0, 0, -1)
            call.endpoint.out -= 1
            if call.trial:
                call.endpoint.gate.trial_out = False
        if event.result is Result.FULL:
            call.endpoint.gate.told_wait(self.now, event.wait)
        if not call.learnt and (not call.messages or event.result is not Result.TIMEOUT):
            call.learnt = True
            self._learn(dest, call, event)
        self._judge(dest)
        if event.result not in api.NEVER_RAN and message.may_run == INF:
            message.may_run, message.zone = call.sent, call.endpoint.info.zone
        unsure = event.result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
        if unsure and message.turns and message.key in self.keys:
            self.keys[message.key].rest = self.now + self.sets.order_pause
        if message.over:
            self._forget(message)
        elif event.closed or event.result is Result.OK:
            self._over(message)
        elif not message.live:
            if self._may_retry(message) and message.deadline - self.now > self._call_time(dest):
                self._hold(message)
            else:
                self._give_up(message)
        self._list(dest)
        self._close(call.endpoint)

    def _close(self, endpoint: Endpoint) -> None:
        """Give back an idle connection that others may lack: guards against a fleet filling an endpoint's
        connections with idle ones. Who holds one meets no lack, so where endpoints are known to hold few none
        waits for that. Costs handshakes, also where the endpoint is down."""
        lacked = self.now - self.lacked.get(endpoint.info.kind, -INF) < LACKED * self.sets.idle_close
        few = lacked or self.sets.few_connections
        keep = min(1.0, KEEP / self.sets.senders if few else 1.0) * self.sets.idle_close
        if not endpoint.out and 0.0 < keep <= endpoint.gap:
            self.actions.append(api.CloseIdle(endpoint.info.name))

    def _learn(self, dest: Destination, call: Call, event: api.AttemptEnded) -> None:
        """Tell the kinds of evidence apart; each has its own place."""
        result, endpoint, gate = event.result, call.endpoint, call.endpoint.gate
        self.stirred[gate] = None
        newer = call.sent >= endpoint.last_ok
        if event.limit is not None:
            gate.limit(event.limit, True)
            gate.left = event.limit_left if event.limit > 0 and event.limit_left is not None else 1.0
        if result is Result.CROWDED:
            gate.crowded(self.now, call.trial)
        if result in api.LACKING:
            self.lacked[endpoint.info.kind] = self.now
        dest.unanswered += result is Result.TIMEOUT
        if result is Result.OK:
            # Unanswered calls before one that passes at the usual pace were lost, not slow or hung.
            lost = dest.unanswered if event.latency < SLOW * dest.mean.usual else 0
            self.lost = 1.0 - (1.0 - self.lost * (1.0 - LOST_GAIN)) * (1.0 - LOST_GAIN) ** lost
            dest.unanswered = 0
            dest.mean.add(event.latency)
            if not dest.ill:
                self.mean.add(event.latency)  # what healthy destinations need: the ill must not move costs
            dest.last_pass = endpoint.last_ok = self.now
            if call.others >= endpoint.lack:  # as many stand at once as when one was missing
                endpoint.lack = endpoint.conns = INF
                self.short.pop(endpoint, None)
            endpoint.fails = 0
            gate.passed(self.now)
        elif result is Result.FULL:
            gate.full(self.now, event.wait, call.trial, call.sent)
        elif result in api.LACKING and not call.trial and (
                result is Result.CROWDED or endpoint.out
                or self.now - endpoint.last_ok < LATELY * self.sets.connect_timeout):
            endpoint.fails += newer
            # Other calls pass. If one is missing twice before as many stood, its connections are all taken;
            # once may be an accident: guards against a path that loses some for ever seeming short of them.
            again, endpoint.lack = endpoint.lack < INF, float(endpoint.out)
            endpoint.conns = max(1.0, endpoint.lack) + (not again)
            self.short[endpoint] = None
            if again or (newer and endpoint.fails > 1):
                endpoint.avoid = self.now + ASIDE * self.sets.connect_timeout
        elif result in (Result.ERROR, Result.TIMEOUT, Result.RESET, Result.NO_CONNECTION):
            if result is Result.TIMEOUT and dest.last_pass < call.sent:
                # Slow as a whole, not one lost call: lost calls must not lengthen the time-outs of all.
                dest.mean.add(max(event.latency, dest.mean.value))
            endpoint.fails += newer
            if newer and endpoint.fails > 1:
                endpoint.avoid = self.now + ASIDE * self.sets.connect_timeout
            gate.failed(self.now, call.trial, call.trial or call.sent >= dest.last_pass)
