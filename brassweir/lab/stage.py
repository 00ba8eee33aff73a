"""The simulated stage: a day played through real engines, modules and journals against modelled partners.

Everything happens on one simulated clock, in one fixed order: the same day gives the same tape, byte for
byte. Senders that are killed or rolled keep their journals on simulated disks; the others keep nothing,
which changes no decision and saves the time.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from brassweir import interface as api
from brassweir.core.clock import SimClock, SimHandle
from brassweir.core.engine import Engine, Watcher
from brassweir.core.identity import onward
from brassweir.core.ledger import Record
from brassweir.core.ports import Attempt, FinalAnswer, Outcome, Payload, Submission
from brassweir.forward.decide.joining import Joining
from brassweir.interface import Result
from brassweir.journal.recover import plan
from brassweir.journal.restart import carry_out
from brassweir.journal.scan import scan
from brassweir.journal.store import JournalStore
from brassweir.journal.writer import Writer
from brassweir.lab.disk import SimIo, SimStorage
from brassweir.lab.models.day import Day, Order, Strike
from brassweir.lab.models.partner import Parcel, SimPartner
from brassweir.lab.tape import Answered, HandIn, Published, Tape
from brassweir.lab.trace import Recorder

REMEMBER = 600_000.0  # ms
IDLE = 20_000.0  # ms for which an unused connection stands where the day says nothing
DOWN, ROLL_GRACE = 400.0, 4000.0  # ms from a kill to the next start; from a drain to its end
LOST_PAUSE = 300.0  # ms until a client whose connection broke asks again
PATIENCE = 10_000.0  # ms beyond its time for which a client whose connection broke asks on
SAMPLE = 500.0  # ms between two looks at the senders' state


class Alive(SimClock):
    """A clock for one life of one sender: what it has put off does not happen after its end."""

    def __init__(self, clock: SimClock) -> None:
        self.clock, self.alive = clock, True

    def now(self) -> float:
        """The simulated time."""
        return self.clock.now()

    def call_at(self, when: float, what: Callable[[], None]) -> SimHandle:
        """Run ``what`` at ``when`` if this life is not over."""
        return self.clock.call_at(when, lambda: what() if self.alive else None)

    def call_soon(self, what: Callable[[], None]) -> SimHandle:
        """Run ``what`` at this time if this life is not over."""
        return self.call_at(self.now(), what)


@dataclass(slots=True)
class Fate:
    """What became of one message: for the table of results. Times in ms."""

    order: Order
    number: int
    tries: int = 0
    answer: str = ""
    age: float = 0.0
    refusals: int = 0
    attempts: int = 0
    met: set[str] = field(default_factory=set)  # results of its attempts that were no delivery


@dataclass(slots=True)
class Sample:
    """The senders' state at one time, over all of them."""

    at: float
    open: int
    out: int
    bound: float
    shut: int


class Links:
    """A sender's connections to one endpoint: how many stand, and since when each is unused."""

    def __init__(self, partner: SimPartner, idle_time: float) -> None:
        self.partner, self.idle_time = partner, idle_time
        self.idle: list[float] = []

    def take(self, now: float) -> float | None:
        """Connect if need be: the ms that takes; None if refused."""
        while self.idle:
            if now - self.idle.pop() < self.idle_time:
                return 0.0
            self.partner.hung_up()
        extra = self.partner.connects()
        return None if extra is None else extra + 1.0

    def back(self, now: float, usable: bool) -> None:
        """A call is over."""
        if usable:
            self.idle.append(now)
        else:
            self.partner.hung_up()

    def drop(self) -> None:
        """Close those that are unused."""
        for _ in self.idle:
            self.partner.hung_up()
        self.idle.clear()


class SimCarrier:
    """Carries one sender's attempts over the modelled network."""

    def __init__(self, sender: SimSender, clock: Alive) -> None:
        self.sender, self.clock = sender, clock
        self.links: dict[str, Links] = {}
        self.joining: dict[str, Joining] = {}
        self.waiting: dict[int, tuple[Attempt, Callable[[Outcome], None]]] = {}
        self.numbers = 0
        self.flushing = False

    def start(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        """Begin an attempt; those of a turn to one endpoint share a call where the kind has batches."""
        batch = self.sender.stage.day.batches.get(attempt.endpoint.kind, 1)
        self.numbers += 1
        self.waiting[self.numbers] = (attempt, done)
        joining = self.joining.setdefault(attempt.endpoint.kind, Joining(batch))
        full = joining.add(attempt.endpoint.name, self.numbers)
        if full is not None:
            self._call(full)
        elif not self.flushing:
            self.flushing = True
            self.clock.call_soon(self._flush)

    def _flush(self) -> None:
        self.flushing = False
        for joining in self.joining.values():
            for _, numbers in joining.rest():
                self._call(numbers)

    def close_idle(self, endpoint: str) -> None:
        """Close idle connections to an endpoint."""
        if endpoint in self.links:
            self.links[endpoint].drop()

    def _call(self, numbers: list[int]) -> None:
        calls = [self.waiting.pop(number) for number in numbers]
        info = calls[0][0].endpoint
        stage, clock = self.sender.stage, self.clock
        partner = stage.partners[info.destination]
        way = stage.way(self.sender, partner)
        links = self.links.get(info.name)
        if links is None:
            links = self.links[info.name] = Links(partner, stage.settings.idle_close)
        connect = links.take(clock.now())
        if connect is None:
            said = partner.home.says_crowded and partner.struck("crash") is None
            lack = Outcome(Result.CROWDED if said else Result.NO_CONNECTION, "no connection left")
            clock.call_at(clock.now() + 2.0 * way, lambda: self._tell(calls, [lack] * len(calls)))
            return
        parcels = [
            Parcel(
                attempt.submission.identity,
                onward(attempt.submission.owner, attempt.submission.identity),
                stage.effects[attempt.submission.class_name],
            )
            for attempt, _ in calls
        ]
        setup = 2.0 * way + connect if connect else 0.0
        if setup > stage.day.senders.connect_timeout:
            links.back(clock.now(), False)
            clock.call_at(
                clock.now() + stage.day.senders.connect_timeout,
                lambda: self._tell(calls, [Outcome(Result.NO_CONNECTION, "connect timed out")] * len(calls)),
            )
            return
        begin = min(attempt.abandon_at for attempt, _ in calls)

        def arrive() -> None:
            partner.call(self.sender.name, info.name, parcels, answered)

        given_up = False
        expiry = SimHandle(lambda: None)

        def expire() -> None:  # a call that is given up ends its connection, whoever still lives
            nonlocal given_up
            given_up = True
            links.back(0.0, False)

        def answered(outcomes: list[Outcome], numbers: list[int]) -> None:
            def heard() -> None:
                if given_up:
                    partner.unheard(numbers)
                    return
                expiry.cancel()
                if not clock.alive:
                    partner.unheard(numbers)
                    links.back(0.0, False)
                    return
                links.back(clock.now(), outcomes[0].result in (Result.OK, Result.FULL, Result.ERROR))
                self._tell(calls, outcomes)

            stage.clock.call_at(stage.clock.now() + way, heard)

        def go() -> None:
            late = clock.now() >= begin and bool(setup)
            going = [not late and attempt.going.go() for attempt, _ in calls]
            if late:
                self._tell(calls, [Outcome(Result.NO_CONNECTION, "its time was over")] * len(calls))
            if not any(going):
                links.back(clock.now(), True)
                return
            # Those called back meanwhile are not among them; what is on the wire arrives, whatever becomes
            # of its sender.
            parcels[:] = [parcel for parcel, still in zip(parcels, going, strict=True) if still]
            calls[:] = [call for call, still in zip(calls, going, strict=True) if still]
            nonlocal expiry
            expiry = stage.clock.call_at(max(attempt.abandon_at for attempt, _ in calls), expire)
            stage.clock.call_at(clock.now() + way, arrive)

        if setup:
            clock.call_at(clock.now() + setup, go)
        else:
            go()

    def _tell(self, calls: list[tuple[Attempt, Callable[[Outcome], None]]], outcomes: list[Outcome]) -> None:
        if not self.clock.alive:
            return
        for (_, done), outcome in zip(calls, outcomes, strict=True):
            done(outcome)


class SimSender(Watcher):
    """One sender over all its lives."""

    def __init__(self, stage: Stage, number: int) -> None:
        self.stage, self.number, self.name = stage, number, f"s{number + 1}"
        self.zone = number % stage.day.senders.zones
        self.storage: SimStorage | None = None
        self.lives = 0
        self.engine: Engine | None = None
        self.store: JournalStore | None = None
        self.clock = Alive(stage.clock)
        self.carrier = SimCarrier(self, self.clock)
        self.cut: list[Callable[[], None]] = []  # clients' connections: who is to learn that they broke
        self.stale_until = -1.0
        self.down = True
        self.recorder: Recorder | None = None

    def start(self) -> None:
        """Begin a life, on what the life before has written down."""
        stage = self.stage
        clock = self.clock = Alive(stage.clock)
        self.lives += 1
        self.down = False
        carrier = self.carrier = SimCarrier(self, clock)
        self.store = None
        found = None
        if self.storage is not None:
            found = scan(self.storage)
            writer = Writer(self.storage, found)
            writer.open()
            self.store = JournalStore(
                writer,
                SimIo(clock, stage.day.senders.commit),
                stage.classes,
                clock.now,
                str,
                lambda error: None,
                REMEMBER,
            )
        seed = stage.day.seed * 1000 + self.number + 7919 * self.lives
        engine = Engine(
            stage.settings,
            seed,
            clock,
            lambda _: carrier,
            store=self.store,
            watcher=self,
            remember=REMEMBER,
            most=1_000_000,
        )
        if stage.trace is not None and stage.trace[0] == self.name and self.lives == 1:
            recorder = Recorder(stage.trace[1], stage.settings, seed, clock.now())
            self.engine_trace(engine, recorder)
        listed = tuple(info for info in stage.infos.values() if info.state is not api.State.GONE)
        engine.news(api.ListNews(api.ListKind.FULL, listed))
        if found is None or self.store is None:
            self.engine = engine
            return
        store = self.store
        store.begin(self.name)
        made = plan(
            found.lives, found.holes, stage.classes, clock.now(), REMEMBER, stage.settings.order_pause
        )

        def recover() -> None:
            carry_out(made, engine, store, int, lambda ident, submission: None)
            self.engine = engine  # nobody is listened to before

        clock.call_at(clock.now() + made.pause, recover)

    def engine_trace(self, engine: Engine, recorder: Recorder) -> None:
        """Write down what the module is told and what it says."""
        self.recorder = recorder
        engine.traced = recorder.turn

    def end(self) -> None:
        """The process is gone, whatever it was doing."""
        self.clock.alive = False
        for endpoint in self.carrier.links:
            self.carrier.close_idle(endpoint)
        self.down = True
        self.engine = None
        if self.storage is not None:
            self.storage = self.storage.after(
                "lost", Random(f"{self.stage.day.seed} {self.name} {self.lives}")
            )
        cut, self.cut = self.cut, []
        for one in cut:
            one()

    def roll(self) -> None:
        """Drain, then end; the process after it starts at once."""
        engine = self.engine
        if engine is None:
            return
        engine.stop_taking()

        def close() -> None:
            if self.engine is engine:
                engine.close()
                self.stage.clock.call_at(self.stage.clock.now() + 100.0, over)

        def over() -> None:
            if self.engine is engine:
                self.end()
                self.stage.clock.call_at(self.stage.clock.now() + DOWN, self.start)

        self.stage.clock.call_at(self.stage.clock.now() + 0.8 * ROLL_GRACE, close)

    # ---- what it lets be seen

    def outcome(self, record: Record, number: int, outcome: Outcome, late: bool) -> None:
        """Note how attempts ended, for the reasons that a report gives."""
        fate = self.stage.fates.get(record.submission.identity)
        if fate is not None:
            fate.attempts += 1
            if outcome.result is not Result.OK:
                fate.met.add(outcome.result.value)


class Stage:
    """One day."""

    def __init__(self, day: Day, trace: tuple[str, Path] | None = None) -> None:
        self.day, self.trace = day, trace
        self.clock = SimClock(0.0)
        self.tape = Tape()
        self.rng = Random(f"{day.seed} clients")
        self.classes = {
            one.name: api.MessageClass(
                one.name,
                one.aim,
                one.deadline,
                api.Effect(one.effect),
                one.late_worth,
                "all",
                one.window,
                one.in_order,
            )
            for one in day.classes
        }
        self.effects = {one.name: one.effect for one in day.classes}
        sets = day.senders
        self.settings = api.Settings(
            classes=tuple(self.classes.values()),
            slots=sets.slots,
            max_open=sets.max_open,
            senders=sets.count,
            kinds=tuple(api.Kind(name, name in day.apart, batch) for name, batch in day.batches.items()),
            max_attempts=sets.max_attempts,
            connect_timeout=sets.connect_timeout,
            idle_close=sets.idle or IDLE,
            few_connections=sets.few_connections,
            max_retry_after=sets.max_retry_after,
            order_pause=sets.order_pause,
            cold=sets.cold,
            start_capacity=sets.start_capacity,
            tip_multiple=sets.tip_multiple,
        )
        self.partners = {
            number: SimPartner(number, home, self.clock, self.tape, day.seed)
            for number, home in enumerate(day.homes, 1)
        }
        self.infos = {
            name: api.EndpointInfo(name, number, home.kind)
            for number, home in enumerate(day.homes, 1)
            for name in home.endpoints
        }
        self.senders = [SimSender(self, number) for number in range(sets.count)]
        self.fates: dict[str, Fate] = {}
        self.samples: list[Sample] = []

    def way(self, sender: SimSender, partner: SimPartner) -> float:
        """Milliseconds one way."""
        home = partner.home
        return home.near if home.zone == sender.zone else home.far

    def run(self) -> float:
        """Play the day; returns the real seconds it took."""
        day, begun = self.day, time.perf_counter()
        per_home: dict[int, list[Strike]] = {}
        for strike in day.strikes:
            if strike.kind in ("sender_crash", "sender_roll"):
                for target in strike.targets:
                    self.senders[target].storage = SimStorage()
            elif strike.kind not in ("stale_list", "drain", "gone", "burst"):
                for target in strike.targets:
                    per_home.setdefault(target, []).append(strike)
        for sender in self.senders:
            sender.start()
        self.tape.add(Published(0.0, {name: "ready" for name in self.infos}))
        for number, strikes in per_home.items():
            self.partners[number].begin(strikes)
        for strike in day.strikes:
            self._schedule(strike)
        for number, order in enumerate(day.orders):
            self.clock.call_at(order.at, lambda order=order, number=number: self._begin(order, number))  # type: ignore[misc]
        for i in range(int(day.end / SAMPLE)):
            self.clock.call_at(i * SAMPLE, self._sample)
        self.clock.run(day.end + max(one.deadline for one in day.classes) + 10_000.0)
        for sender in self.senders:
            if sender.recorder is not None:
                sender.recorder.close()
        return time.perf_counter() - begun

    # ---- troubles of senders and lists

    def _schedule(self, strike: Strike) -> None:
        call_at = self.clock.call_at
        if strike.kind == "sender_crash":
            for target in strike.targets:
                call_at(strike.start, lambda sender=self.senders[target]: self._kill(sender))  # type: ignore[misc]
        elif strike.kind == "sender_roll":
            for target in strike.targets:
                call_at(strike.start, self.senders[target].roll)
        elif strike.kind == "stale_list":
            for target in strike.targets:
                self.senders[target].stale_until = max(self.senders[target].stale_until, strike.end)
        elif strike.kind in ("drain", "gone"):
            state = api.State.DRAINING if strike.kind == "drain" else api.State.GONE
            names = [self.day.homes[target - 1].endpoints[0] for target in strike.targets]
            call_at(strike.start, lambda: self._publish(names, state))
            call_at(strike.end, lambda: self._publish(names, api.State.READY))

    def _kill(self, sender: SimSender) -> None:
        if not sender.down:  # one that is dead already cannot be killed
            sender.end()
            self.clock.call_at(self.clock.now() + DOWN, sender.start)

    def _publish(self, names: list[str], state: api.State) -> None:
        for name in names:
            old = self.infos[name]
            self.infos[name] = api.EndpointInfo(name, old.destination, old.kind, old.zone, state)
        now = self.clock.now()
        self.tape.add(
            Published(
                now / 1000.0,
                {
                    name: info.state.value
                    for name, info in self.infos.items()
                    if info.state is not api.State.GONE
                },
            )
        )
        for sender in self.senders:
            when = now + self.day.list_delays[sender.number]
            if now < sender.stale_until and state is api.State.READY:
                when = max(
                    when, sender.stale_until
                )  # what forbids is never late: a stale list lacks what is new

            def tell(sender: SimSender = sender) -> None:
                if sender.engine is not None:
                    # As it is by then: a list that comes late never takes back a newer one.
                    entries = tuple(self.infos[name] for name in names)
                    sender.engine.news(api.ListNews(api.ListKind.DELTA, entries))

            self.clock.call_at(when, tell)

    # ---- clients

    def _begin(self, order: Order, number: int) -> None:
        payment = f"p-{number}"
        self.fates[payment] = Fate(order, number)
        self._hand_in(order, payment, 0, self.clock.now(), order.sender)

    def _hand_in(
        self, order: Order, payment: str, attempt: int, begun: float, to: int, lost: bool = False
    ) -> None:
        """One try; ``lost`` says that the last one broke: its client asks on, to learn the answer."""
        day, now = self.day, self.clock.now()
        cls = self.classes[order.class_name]
        fate = self.fates[payment]
        left = begun + cls.deadline - now
        over = left <= -PATIENCE if lost else left <= 100.0 or fate.refusals >= day.clients.tries
        if over:
            return
        left = max(left, 1.0)
        sender = self.senders[to]
        client = f"c{order.client}"
        if sender.engine is None:  # nobody listens there
            self.clock.call_at(
                now + LOST_PAUSE, lambda: self._again(order, payment, attempt, begun, to, LOST_PAUSE, True)
            )
            return
        fate.tries += 1
        self.tape.add(
            HandIn(
                now / 1000.0,
                client,
                sender.name,
                payment,
                payment,
                order.class_name,
                order.key,
                day.homes[order.destination - 1].name,
                attempt,
                left / 1000.0,
            )
        )
        open_ = True

        def answered(answer: FinalAnswer) -> None:
            nonlocal open_
            if not open_:
                return
            open_ = False
            sender.cut.remove(broke)
            self._answered(order, payment, attempt, begun, to, answer)

        def broke() -> None:
            nonlocal open_
            open_ = False
            self.tape.add(Answered(self.clock.now() / 1000.0, client, payment, payment, "lost", attempt))
            self._again(order, payment, attempt, begun, to, LOST_PAUSE, True)

        sender.cut.append(broke)
        payload = Payload("a/b", payment.encode()) if sender.storage is not None else None
        sender.engine.submit(
            Submission(
                "client", payment, order.class_name, order.destination, left, order.key, attempt > 0, payload
            ),
            answered,
        )

    def _answered(
        self, order: Order, payment: str, attempt: int, begun: float, to: int, answer: FinalAnswer
    ) -> None:
        now, fate = self.clock.now(), self.fates[payment]
        self.tape.add(
            Answered(
                now / 1000.0,
                f"c{order.client}",
                payment,
                payment,
                answer.answer.value,
                attempt,
                answer.retry_after / 1000.0,
            )
        )
        fate.answer, fate.age = answer.answer.value, now - begun
        if answer.answer.value != "refused":
            return
        fate.refusals += 1
        day = self.day
        pause = answer.retry_after if self.rng.random() < day.clients.honour_wait else 0.0
        pause = max(pause, day.clients.backoff * (2.0**attempt) * (0.5 + self.rng.random()))
        self._again(order, payment, attempt, begun, to, pause)

    def _again(
        self,
        order: Order,
        payment: str,
        attempt: int,
        begun: float,
        to: int,
        pause: float,
        lost: bool = False,
    ) -> None:
        # Ordered and unsafe messages stay with their sender: another could not know what became of them.
        stays = bool(order.key) or self.effects[order.class_name] == "unsafe"
        if not stays and self.rng.random() < self.day.clients.moves:
            to = self.rng.randrange(len(self.senders))
        self.clock.call_at(
            self.clock.now() + pause, lambda: self._hand_in(order, payment, attempt + 1, begun, to, lost)
        )

    # ---- what is seen of the senders

    def _sample(self) -> None:
        engines = [sender.engine for sender in self.senders if sender.engine is not None]
        self.samples.append(
            Sample(
                self.clock.now(),
                sum(engine.sender.load.open for engine in engines),
                sum(engine.sender.load.out for engine in engines),
                sum(engine.sender.bound.value for engine in engines),
                sum(
                    gate.shut
                    for engine in engines
                    for dest in engine.sender.dests.values()
                    for gate in dest.gates()
                ),
            )
        )
