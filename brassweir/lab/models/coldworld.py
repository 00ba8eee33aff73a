"""A fleet of senders and one destination that goes out and comes back cold: modules alone, on simulated time.

Some senders restart during the outage, told of it or not; some first call there after the return; some see
several times the mean traffic. Clients that are refused come again.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random

from brassweir import interface as api
from brassweir.control import Sender
from brassweir.lab.models.coldplan import SPAN, Plan

ONE_WAY = 12.0  # ms between a sender and the destination
CALL_TIME = 60.0  # ms of a call at full capacity, with nothing before it
REFUSED = 5.0  # ms until an answer that no work was done for
BUSY = 4.0  # x mean traffic of a busy sender
AFTER = 15_000.0  # ms watched beyond the cold time


class Copy:
    """One sender over its lives."""

    def __init__(self, world: World, number: int, share: float, first: float) -> None:
        self.world, self.number, self.share, self.first = world, number, share, first
        self.sender: Sender | None = None
        self.met = False  # a call of its own failed for the outage, or it was told of one
        self.lives = 0
        self.due = math.inf
        self.held: dict[int, tuple[float, int]] = {}  # deadline and tries of the client, by message
        self.tries: dict[int, int] = {}  # calls made for it
        self.out: dict[tuple[int, int], float] = {}  # attempts out: when sent
        self.past: list[tuple[float, api.AttemptEnded]] = []

    def start(self, told: bool) -> None:
        """Begin a life on what the one before held."""
        world, now = self.world, self.world.now
        self.lives += 1
        self.sender = Sender(world.settings, hash((world.seed, self.number, self.lives)), now)
        self.due = math.inf
        self.out.clear()
        self.tries.clear()
        events: list[api.Event] = [api.ListUpdate(api.ListKind.FULL, (world.info,))]
        self.met &= told
        if told:
            events += [api.PastAttempt("e", one.result, now - at, one.wait) for at, one in self.past]
        self.past.clear()
        self.turn(events)
        for ident, (deadline, _) in [*self.held.items()]:
            if deadline > now:
                self.turn([api.NewMessage(ident, "safe", 1, deadline - now, admitted=True)])
            else:
                del self.held[ident]

    def end(self) -> None:
        """Killed."""
        self.sender = None

    def turn(self, events: list[api.Event]) -> None:
        """Hand events in and carry out what comes back."""
        if self.sender is None:
            return
        world = self.world
        for action in self.sender.handle(world.now, events):
            if isinstance(action, api.Send):
                number = self.tries[action.id] = self.tries.get(action.id, -1) + 1
                self.out[action.id, number] = world.now
                world.arrive(self, action.id, number, action.abandon_at)
            elif isinstance(action, api.SetTimer):
                self.due = action.at
                world.at(action.at, self.timer(self.lives, action.at))
            elif isinstance(action, api.Refuse):
                self.refused(action)
            elif isinstance(action, api.Fail):
                self.held.pop(action.id, None)

    def timer(self, life: int, at: float) -> Callable[[], None]:
        """The timer, unless it was set anew since."""
        return lambda: self.turn([api.TimerDue()]) if (self.lives, self.due) == (life, at) else None

    def ended(self, life: int, ident: int, number: int, result: api.Result, wait: float = 0.0) -> None:
        """An attempt has its outcome."""
        sent = self.out.pop((ident, number), None) if life == self.lives and self.sender is not None else None
        if sent is None:
            return
        world, plan = self.world, self.world.plan
        left = limit = None
        if plan.reports and result is api.Result.OK:
            limit, left = plan.rate, max(0.0, 1.0 - world.lately() / plan.allowed(world.now))
        good = result is api.Result.OK
        event = api.AttemptEnded(ident, number, "e", result, world.now - sent, good, wait, left, limit)
        if result is api.Result.OK:
            self.held.pop(ident, None)
            self.past.clear()
        else:
            self.past = [*self.past[-7:], (world.now, event)]
            self.met |= plan.out <= sent < plan.back
        self.turn([event])

    def refused(self, action: api.Refuse) -> None:
        """A client comes again, three times in all, while its time lasts."""
        world = self.world
        deadline, tries = self.held.pop(action.id, (0.0, 0))
        at = world.now + max(action.retry_after, 800.0 * (0.5 + world.rng.random()))
        if tries < 3 and at + 500.0 < deadline:
            world.at(at, lambda: self.hand_in(deadline, tries + 1))

    def hand_in(self, deadline: float, tries: int) -> None:
        """A client hands one in."""
        if self.sender is None:
            return
        ident = self.world.ident = self.world.ident + 1
        self.held[ident] = deadline, tries
        self.turn([api.NewMessage(ident, "safe", 1, deadline - self.world.now, resent=tries > 1)])

    def traffic(self) -> None:
        """The next message that clients hand in anew."""
        world = self.world
        each = world.plan.load * world.plan.rate * self.share
        at = max(self.first, world.now) + world.rng.expovariate(1.0) * 1000.0 / each

        def come() -> None:
            self.hand_in(world.now + world.plan.keep, 1)
            self.traffic()

        world.at(at, come)


class World:
    """All of them, and the destination."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan, self.seed, self.rng = plan, seed, Random(f"cold world {seed}")
        self.now, self.order, self.ident = 0.0, 0, 0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.busy_until = 0.0  # the destination works off one call after the other
        self.calls: list[tuple[float, Copy]] = []  # that came while it was not out
        self.served = 0
        safe = api.MessageClass("safe", plan.keep / 3.0, plan.keep, api.Effect.SAFE, late_worth=0.3)
        self.settings = api.Settings(
            (safe,),
            slots=12,
            max_open=200,
            senders=plan.copies,
            max_attempts=12,
            idle_close=5_000.0,
            max_retry_after=5_000.0,
            weights="rough",
            cold=plan.cold,
            start_capacity=plan.start_capacity,
            tip_multiple=plan.tip_multiple,
        )
        self.info = api.EndpointInfo("e", 1, "k", rate=plan.rate)
        weights = [BUSY if self.rng.random() < plan.busy else 1.0 for _ in range(plan.copies)]
        self.copies = [
            Copy(self, number, weight / sum(weights), plan.back if self.rng.random() < plan.quiet else 0.0)
            for number, weight in enumerate(weights)
        ]

    def at(self, when: float, what: Callable[[], None]) -> None:
        """Do something then."""
        self.order += 1
        heappush(self.queue, (max(when, self.now), self.order, what))

    def run(self) -> World:
        """Play to the end."""
        plan = self.plan
        for copy in self.copies:
            copy.start(False)
            copy.traffic()
            if copy.first == 0.0 and self.rng.random() < plan.restart:
                killed, told = self.rng.uniform(plan.out, plan.back), self.rng.random() < 0.5
                self.at(killed, copy.end)
                self.at(killed + 600.0, lambda one=copy, told=told: one.start(told))  # type: ignore[misc]
        end = plan.back + plan.cold + AFTER
        while self.queue and self.queue[0][0] <= end:
            self.now, _, what = heappop(self.queue)
            what()
        return self

    def lately(self) -> int:
        """Calls in the span up to now."""
        return len(self.calls) - bisect_right(self.calls, self.now - SPAN, key=lambda call: call[0])

    def arrive(self, copy: Copy, ident: int, number: int, until: float) -> None:
        """A call is on its way; it is given up at a time."""
        life = copy.lives
        self.at(until, lambda: copy.ended(life, ident, number, api.Result.TIMEOUT))
        self.at(self.now + ONE_WAY, lambda: self.serve(copy, life, ident, number))

    def serve(self, copy: Copy, life: int, ident: int, number: int) -> None:
        """A call has come."""
        plan, now = self.plan, self.now

        def say(result: api.Result, after: float, wait: float = 0.0) -> None:
            self.at(now + after + ONE_WAY, lambda: copy.ended(life, ident, number, result, wait))

        if plan.out <= now < plan.back:
            if plan.trouble == "refuse":
                say(api.Result.NO_CONNECTION, REFUSED)
            elif plan.trouble == "crowded":
                say(api.Result.CONNECTION_LIMIT, REFUSED)
            elif plan.trouble == "full":
                say(api.Result.BUSY, REFUSED)
            elif plan.trouble == "told":
                say(api.Result.BUSY, REFUSED, plan.back - now)
            return
        self.calls.append((now, copy))
        self.busy_until = max(self.busy_until, now)
        if self.busy_until - now > 1_000.0:
            say(api.Result.BUSY, REFUSED)
            return
        self.busy_until += 1000.0 / (plan.rate * plan.capacity(now))
        say(api.Result.OK, self.busy_until - now + CALL_TIME / plan.capacity(now))
        self.served += 1
