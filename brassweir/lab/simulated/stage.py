"""The simulated stage: a day played through real engines, modules and journals against modelled partners.

Everything happens on one simulated clock, in one fixed order: the same day gives the same tape, byte for
byte. Senders that are killed or rolled keep their journals on simulated disks; the others keep nothing,
which changes no decision and saves the time.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

from brassweir import interface as api
from brassweir.core.clock import SimClock
from brassweir.lab.judges.tape import Published, Tape
from brassweir.lab.models.day import Day, Strike
from brassweir.lab.models.partner import SimPartner
from brassweir.lab.simulated.clients import Clients
from brassweir.lab.simulated.disk import SimStorage
from brassweir.lab.simulated.sender import DOWN, SimSender

IDLE = 20_000.0  # ms for which an unused connection stands where the day says nothing
SAMPLE = 500.0  # ms between two looks at the senders' state


@dataclass(slots=True)
class Sample:
    """The senders' state at one time, over all of them."""

    at: float
    open: int
    out: int
    bound: float
    shut: int


class Stage:
    """One day."""

    def __init__(self, day: Day, trace: tuple[str, Path] | None = None) -> None:
        self.day, self.trace = day, trace
        self.clock = SimClock(0.0)
        self.tape = Tape()
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
            kinds=tuple(
                api.DestinationKind(name, name in day.apart, batch) for name, batch in day.batches.items()
            ),
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
        self.clients = Clients(self)
        self.fates = self.clients.fates
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
            self.clock.call_at(order.at, lambda order=order, number=number: self.clients.begin(order, number))  # type: ignore[misc]
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
            state = api.EntryState.DRAINING if strike.kind == "drain" else api.EntryState.GONE
            names = [self.day.homes[target - 1].endpoints[0] for target in strike.targets]
            call_at(strike.start, lambda: self._publish(names, state))
            call_at(strike.end, lambda: self._publish(names, api.EntryState.READY))

    def _kill(self, sender: SimSender) -> None:
        if not sender.down:  # one that is dead already cannot be killed
            sender.end()
            self.clock.call_at(self.clock.now() + DOWN, sender.start)

    def _publish(self, names: list[str], state: api.EntryState) -> None:
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
                    if info.state is not api.EntryState.GONE
                },
            )
        )
        for sender in self.senders:
            when = now + self.day.list_delays[sender.number]
            if now < sender.stale_until and state is api.EntryState.READY:
                when = max(
                    when, sender.stale_until
                )  # what forbids is never late: a stale list lacks what is new

            def tell(sender: SimSender = sender) -> None:
                if sender.engine is not None:
                    # As it is by then: a list that comes late never takes back a newer one.
                    entries = tuple(self.infos[name] for name in names)
                    sender.engine.update_list(api.ListUpdate(api.ListKind.DELTA, entries))

            self.clock.call_at(when, tell)

    # ---- what is seen of the senders

    def _sample(self) -> None:
        engines = [sender.engine for sender in self.senders if sender.engine is not None]
        self.samples.append(
            Sample(
                self.clock.now(),
                sum(engine.sender.load.open_messages for engine in engines),
                sum(engine.sender.load.used_slots for engine in engines),
                sum(engine.sender.backlog_bound.value for engine in engines),
                sum(
                    gate.circuit_open
                    for engine in engines
                    for dest in engine.sender.destinations.values()
                    for gate in dest.gates()
                ),
            )
        )
