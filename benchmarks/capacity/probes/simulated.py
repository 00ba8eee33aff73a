"""Real decision modules under simulated time: messages arrive by a Poisson process, down destinations refuse calls."""

from __future__ import annotations

import gc
import math
import time
from collections.abc import Sequence
from random import Random

from brassweir import interface as api
from brassweir.control import Sender
from brassweir.core.clock import SimClock

CALL_TIME, REFUSAL_TIME = 20.0, 1.0  # ms until a call ends well, or a connection is refused
DEADLINE = 6000.0
STATUS = api.MessageClass("status", 1500.0, DEADLINE, api.Effect.SAFE)


def settings(senders: int) -> api.Settings:
    """A sender's settings in a fleet of so many; what is not named here is as in the interface."""
    return api.Settings(
        classes=(STATUS,),
        slots=256,
        max_open=4000,
        senders=senders,
        idle_close=10_000.0,
        max_retry_after=5000.0,
    )


def endpoints(count: int) -> tuple[api.EndpointInfo, ...]:
    """One endpoint for each destination, which are numbered from 1."""
    return tuple(api.EndpointInfo(f"hook-{number}-a", number, "hook") for number in range(1, count + 1))


class TimedSender(Sender):
    """A module that notes the processor time of its turns, and of its sweep of each second."""

    turns_ms = sweeps_ms = 0.0
    sweeps = 0

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take a turn."""
        before = time.thread_time()
        actions = super().handle(now, events)
        self.turns_ms += (time.thread_time() - before) * 1000.0
        return actions

    def _every_second(self, _: None) -> None:
        before = time.thread_time()
        super()._every_second(_)
        self.sweeps_ms += (time.thread_time() - before) * 1000.0
        self.sweeps += 1


class Fleet:
    """Senders with ``rate`` messages a second in all, spread evenly over senders and destinations."""

    def __init__(self, senders: int, destinations: int, down: float, rate: float, seed: int) -> None:
        self.clock, self.rng, self.rate = SimClock(), Random(seed), rate
        infos = endpoints(destinations)
        self.homes = {info.name: info.destination for info in infos}
        self.down = frozenset(self.rng.sample(range(1, destinations + 1), round(destinations * down)))
        self.senders = [TimedSender(settings(senders), seed * 1000 + i, 0.0) for i in range(senders)]
        self.attempts: dict[tuple[int, int], int] = {}  # of open messages, by sender and message
        self.timers = [math.inf] * senders  # the earliest set, of each sender
        self.messages = self.refused_calls = 0
        for number in range(senders):
            self._turn(number, [api.ListUpdate(api.ListKind.FULL, infos)])
        self._await_message()

    def run(self, seconds: float) -> None:
        """Go on for so long, with the garbage collector at rest: its time is not the modules'."""
        gc.collect()
        gc.disable()
        try:
            self.clock.run(self.clock.now() + seconds * 1000.0)
        finally:
            gc.enable()

    def _await_message(self) -> None:
        self.clock.call_at(self.clock.now() + self.rng.expovariate(self.rate) * 1000.0, self._arrive)

    def _arrive(self) -> None:
        self.messages += 1
        ident, number = self.messages, self.rng.randrange(len(self.senders))
        destination = self.rng.randint(1, len(self.homes))
        self.attempts[number, ident] = 0
        self._turn(number, [api.NewMessage(ident, STATUS.name, destination, DEADLINE)])
        self._await_message()

    def _turn(self, number: int, events: Sequence[api.Event]) -> None:
        for action in self.senders[number].handle(self.clock.now(), list(events)):
            if isinstance(action, api.Send):
                self._call(number, action)
            elif isinstance(action, api.SetTimer):
                self._set_timer(number, action.at)
            elif isinstance(action, api.Refuse | api.Fail):
                self.attempts.pop((number, action.id), None)

    def _set_timer(self, number: int, at: float) -> None:
        def fire() -> None:
            if self.timers[number] == at:  # else an earlier one has taken its place
                self.timers[number] = math.inf
                self._turn(number, [api.TimerDue()])

        if at < self.timers[number]:
            self.timers[number] = at
            self.clock.call_at(at, fire)

    def _call(self, number: int, send: api.Send) -> None:
        refused = self.homes[send.endpoint] in self.down
        attempt = self.attempts[number, send.id]
        self.attempts[number, send.id] = attempt + 1
        self.refused_calls += refused
        latency = REFUSAL_TIME if refused else CALL_TIME
        result = api.Result.NO_CONNECTION if refused else api.Result.OK

        def end() -> None:
            if not refused:
                self.attempts.pop((number, send.id), None)
            self._turn(number, [api.AttemptEnded(send.id, attempt, send.endpoint, result, latency)])

        self.clock.call_at(self.clock.now() + latency, end)
