"""The clock of one life of a sender, its connections, and the carrier over the modelled network."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from brassweir.core.clock import SimClock, SimHandle
from brassweir.core.identity import delivery_id
from brassweir.core.ports import Attempt, Outcome
from brassweir.forward.decide.batching import CallBatcher
from brassweir.interface import Result
from brassweir.lab.models.partner import Parcel, SimPartner

if TYPE_CHECKING:
    from brassweir.lab.simulated.sender import SimSender


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
        self.joining: dict[str, CallBatcher] = {}
        self.waiting: dict[int, tuple[Attempt, Callable[[Outcome], None]]] = {}
        self.numbers = 0
        self.flushing = False

    def start(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        """Begin an attempt; those of a turn to one endpoint share a call where the kind has batches."""
        batch = self.sender.stage.day.batches.get(attempt.endpoint.kind, 1)
        self.numbers += 1
        self.waiting[self.numbers] = (attempt, done)
        joining = self.joining.setdefault(attempt.endpoint.kind, CallBatcher(batch))
        full = joining.add(attempt.endpoint.name, self.numbers)
        if full is not None:
            self._call(full)
        elif not self.flushing:
            self.flushing = True
            self.clock.call_soon(self._flush)

    def _flush(self) -> None:
        self.flushing = False
        for joining in self.joining.values():
            for _, numbers in joining.flush():
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
            lack = Outcome(Result.CONNECTION_LIMIT if said else Result.NO_CONNECTION, "no connection left")
            clock.call_at(clock.now() + 2.0 * way, lambda: self._tell(calls, [lack] * len(calls)))
            return
        parcels = [
            Parcel(
                attempt.submission.identity,
                delivery_id(attempt.submission.owner, attempt.submission.identity),
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
                links.back(clock.now(), outcomes[0].result in (Result.OK, Result.BUSY, Result.ERROR))
                self._tell(calls, outcomes)

            stage.clock.call_at(stage.clock.now() + way, heard)

        def go() -> None:
            late = clock.now() >= begin and bool(setup)
            start_guard = [not late and attempt.start_guard.begin() for attempt, _ in calls]
            if late:
                self._tell(calls, [Outcome(Result.NO_CONNECTION, "its time was over")] * len(calls))
            if not any(start_guard):
                links.back(clock.now(), True)
                return
            # Those called back meanwhile are not among them; what is on the wire arrives, whatever becomes
            # of its sender.
            parcels[:] = [parcel for parcel, still in zip(parcels, start_guard, strict=True) if still]
            calls[:] = [call for call, still in zip(calls, start_guard, strict=True) if still]
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
