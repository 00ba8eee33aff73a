"""A modelled destination on simulated time: the same desk as the stand-ins on sockets have, without the
sockets."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from brassweir.core.clock import SimClock
from brassweir.core.ports import Outcome
from brassweir.interface import Result
from brassweir.lab.judges.tape import Arrival, Effect, Ended, Outage, Overloaded, Tape, UndeliveredAnswer
from brassweir.lab.models.day import Home, Strike
from brassweir.lab.models.desk import Desk

RESET_SPAN = 5.0  # ms that a partner takes to cut a call or to answer with an error


@dataclass(frozen=True, slots=True)
class Parcel:
    """One message within a call."""

    payment: str
    ident: str
    effect: str


# The outcomes of a call's parcels, and the numbers of their arrivals.
Reply = Callable[[list[Outcome], list[int]], None]


class SimPartner:
    """One destination. ``number`` is what the module knows it by."""

    def __init__(self, number: int, home: Home, clock: SimClock, tape: Tape, seed: int) -> None:
        self.number, self.home, self.clock, self.tape = number, home, clock, tape
        self.desk = Desk(home.manner)
        self.rng = Random(f"{seed} partner {number}")
        self.strikes: list[Strike] = []
        self.open = 0  # connections
        self.busy = 0
        self.queue: deque[Callable[[], None]] = deque()
        self.done: OrderedDict[str, float] = OrderedDict()
        self.calls = 0

    def begin(self, strikes: list[Strike]) -> None:
        """The day's troubles of this destination."""
        self.strikes = strikes
        for strike in strikes:
            if strike.kind in ("crash", "hang", "crowded"):
                self.clock.call_at(strike.start, lambda one=strike: self._outage(one, False))  # type: ignore[misc]
                self.clock.call_at(strike.end, lambda one=strike: self._outage(one, True))  # type: ignore[misc]

    def _outage(self, strike: Strike, over: bool) -> None:
        now = self.clock.now() / 1000.0
        if over:
            self.desk.returned(now)
        self.tape.add(Outage(now, self.home.name, over, True, strike.kind == "crash" and not over))

    def struck(self, *kinds: str) -> Strike | None:
        """A trouble of these kinds that is on now and strikes this call."""
        now = self.clock.now()
        for strike in self.strikes:
            if strike.kind in kinds and strike.start <= now < strike.end:
                if strike.share >= 1.0 or self.rng.random() < strike.share:
                    return strike
        return None

    def connects(self) -> float | None:
        """A connection is asked for: the ms that it takes beyond the way there and back; None if refused."""
        if self.struck("crash", "crowded") is not None or self.open >= self.home.manner.connections:
            return None
        slow = self.struck("slow_connect")
        self.open += 1
        return 200.0 * slow.factor if slow is not None else 0.0

    def hung_up(self) -> None:
        """A connection is gone."""
        self.open -= 1

    def call(self, sender: str, endpoint: str, parcels: list[Parcel], reply: Reply) -> None:
        """One call has come whole; ``reply`` is called once, or never where it hangs."""
        clock = self.clock
        now = clock.now() / 1000.0
        numbers = []
        for parcel in parcels:
            self.calls += 1
            numbers.append(self.calls)
            self.tape.add(
                Arrival(now, self.calls, self.home.name, endpoint, sender, parcel.ident, parcel.payment)
            )

        def ended(how: str, waited: float = 0.0) -> None:
            for number in numbers:
                self.tape.add(Ended(clock.now() / 1000.0, number, self.home.name, sender, how, waited))

        def say(outcome: Outcome, how: str, waited: float = 0.0) -> None:
            ended(how, waited)
            reply([outcome] * len(parcels), numbers)

        if self.struck("hang") is not None:
            ended("hung")
            return
        if self.struck("crash") is not None:
            clock.call_at(clock.now() + RESET_SPAN, lambda: say(Outcome(Result.RESET, "cut"), "reset"))
            return
        if self.struck("errors") is not None:
            clock.call_at(clock.now() + RESET_SPAN, lambda: say(Outcome(Result.ERROR, "status 500"), "error"))
            return
        if self.struck("reset") is not None:
            clock.call_at(clock.now() + RESET_SPAN, lambda: say(Outcome(Result.RESET, "cut"), "reset"))
            return
        shut = self.struck("shut")
        if shut is not None:
            self._full(say, (shut.end - clock.now()) / 1000.0, shut.factor > 0.0)
            return
        by = self.desk.tips(now, sender)
        if by is not None:
            self.tape.add(Overloaded(now, self.home.name, by))
        if by is not None or now < self.desk.fallen:
            say(Outcome(Result.ERROR, "status 500"), "fallen")
            return
        throttle = self.struck("throttle")
        wait = self.desk.limited(now, throttle.factor if throttle is not None else 1.0)
        if wait > 0.0:
            self._full(say, wait, self.rng.random() < self.home.manner.tells_wait)
            return
        if len(self.queue) >= self.home.manner.queue:
            self._full(say, 0.0, False)
            return
        self.queue.append(lambda: self._work(parcels, numbers, reply, ended))
        self._next()

    def _full(self, say: Callable[..., None], wait: float, tells: bool) -> None:
        told = float(max(1, int(wait + 0.999))) if tells and wait > 0.0 else 0.0
        say(Outcome(Result.BUSY, "status 429", wait=told * 1000.0), "full", told)

    def _next(self) -> None:
        pause = self.struck("pause")
        if pause is not None and self.queue:
            self.clock.call_at(pause.end, self._next)
            return
        while self.queue and self.busy < self.home.manner.workers:
            self.busy += 1
            self.queue.popleft()()

    def _work(
        self, parcels: list[Parcel], numbers: list[int], reply: Reply, ended: Callable[..., None]
    ) -> None:
        now = self.clock.now() / 1000.0
        span = self.desk.service(self.rng.gauss(0.0, 1.0), self.rng.random(), now)
        slow = self.struck("slow")
        if slow is not None:
            span *= slow.factor
        tail = self.struck("tail")
        if tail is not None:
            span *= tail.factor
        span *= 1.0 + 0.1 * (len(parcels) - 1)  # a further message in a call costs a tenth of one

        def finish() -> None:
            self.busy -= 1
            for parcel in parcels:
                self._effect(parcel)
            if self.struck("lost") is not None:
                ended("lost")  # done, and the answer does not arrive
            else:
                ended("done")
                reply([Outcome(Result.OK)] * len(parcels), numbers)
            self._next()

        self.clock.call_at(self.clock.now() + span * 1000.0, finish)

    def unheard(self, numbers: list[int]) -> None:
        """The caller was gone when the answer came."""
        for number in numbers:
            self.tape.add(UndeliveredAnswer(self.clock.now() / 1000.0, self.home.name, number))

    def _effect(self, parcel: Parcel) -> None:
        now = self.clock.now() / 1000.0
        while self.done and next(iter(self.done.values())) < now - self.home.manner.window:
            self.done.popitem(last=False)
        if parcel.effect == "keyed":
            if parcel.ident in self.done:
                return
            self.done[parcel.ident] = now
        self.tape.add(Effect(now, self.home.name, parcel.payment, parcel.ident))
