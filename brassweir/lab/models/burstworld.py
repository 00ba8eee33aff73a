"""Senders that met an outage with a call or two, and get a burst of messages at the return: modules alone, on
simulated time.

The destination counts every call that reaches it from its return on. It falls when it gets more in
``tip_after`` than the plan allows, over two thirds of them from senders that had learned of the outage.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from random import Random

from brassweir import interface as api
from brassweir.control import Sender
from brassweir.lab.models.burstplan import BurstPlan

ONE_WAY = 10.0  # ms between a sender and the destination
REJECT_TIME = 5.0  # ms until an answer that no work was done for
QUEUE_MS = 1_000.0  # work that the destination holds before it rejects calls
WATCHED_AFTER_COLD = 5_000.0  # ms
FAILURES = {
    "refuse": api.Result.NO_CONNECTION,
    "reset": api.Result.RESET,
    "error": api.Result.ERROR,
    "crowded": api.Result.CONNECTION_LIMIT,
    "full": api.Result.BUSY,
    "told": api.Result.BUSY,
}  # by trouble; calls that hang get no answer


class SimulatedSender:
    """One sender: its decision module, its open messages and its calls in flight."""

    def __init__(self, world: BurstWorld, number: int) -> None:
        self.world, self.number = world, number
        self.met_outage = False  # it has learned of a call that failed during the outage
        self.attempts: dict[int, int] = {}  # made so far, by message
        self.sent_at: dict[tuple[int, int, int], float] = {}  # of the calls in flight
        self.submitted_at: dict[int, float] = {}  # of the messages that were not delivered
        self.timer_at = math.inf
        self.lives = 1
        self.recovery: tuple[float, api.RecoveryChange] | None = None  # as kept for a restart: since when
        self.failures: list[tuple[float, api.AttemptEnded]] = []  # since the last success, as kept
        self.sender = Sender(world.settings, 1000 * world.seed + number, world.now)
        self.handle([api.ListUpdate(api.ListKind.FULL, (world.endpoint,))])

    def restart(self) -> None:
        """Be killed, and start again with what was kept. Calls in flight have no outcome."""
        world, now = self.world, self.world.now
        self.lives += 1
        self.timer_at = math.inf
        self.sent_at.clear()
        self.sender = Sender(world.settings, 1000 * world.seed + self.number + 100 * self.lives, now)
        events: list[api.Event] = [api.ListUpdate(api.ListKind.FULL, (world.endpoint,))]
        events += [api.PastAttempt("e", one.result, now - at, one.wait) for at, one in self.failures]
        if self.recovery is not None:
            since, change = self.recovery
            events.append(replace(change, ago=now - since))
        self.handle(events)
        for ident in [*self.submitted_at]:
            left = self.submitted_at[ident] + world.plan.deadline - now
            if left > 0.0:
                self.attempts[ident] = -1
                self.handle([api.NewMessage(ident, "safe", 1, left, admitted=True)])

    def handle(self, events: list[api.Event]) -> None:
        """Hand events to the module, and carry out its actions."""
        world = self.world
        for action in self.sender.handle(world.now, events):
            if isinstance(action, api.Send):
                attempt = self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
                self.sent_at[self.lives, action.id, attempt] = world.now
                world.send(self, action.id, attempt, action.abandon_at)
            elif isinstance(action, api.SetTimer):
                self.timer_at = action.at
                world.schedule(action.at, self._timer(action.at))
            elif isinstance(action, api.Refuse | api.Fail):
                self.submitted_at.pop(action.id, None)
                world.undelivered += 1
        for change in self.sender.recovery_changes:
            self.recovery = (world.now - change.ago, change)

    def submit(self, class_name: str = "safe") -> None:
        """Submit one message."""
        world = self.world
        world.submitted += 1
        self.submitted_at[world.submitted] = world.now
        self.handle([api.NewMessage(world.submitted, class_name, 1, world.plan.deadline)])

    def submit_unrepeatable(self) -> None:
        """Submit a message that is not sent again once it may have run."""
        self.submit("unsafe")

    def end_attempt(self, life: int, ident: int, attempt: int, result: api.Result, wait: float) -> None:
        """Tell the module how an attempt of a life ended, unless it has been told, or was killed since."""
        world, plan = self.world, self.world.plan
        sent_at = self.sent_at.pop((life, ident, attempt), None)
        if sent_at is None:
            return
        succeeded = result is api.Result.OK
        limit, left = (plan.rate, 1.0) if plan.reports and succeeded else (None, None)
        self.met_outage |= not succeeded and plan.out <= sent_at < plan.back
        if succeeded:
            self.failures.clear()
            world.delivered += 1
            world.latencies.append(world.now - self.submitted_at.pop(ident))
        ended = api.AttemptEnded(
            ident, attempt, "e", result, world.now - sent_at, succeeded, wait, left, limit
        )
        if not succeeded:
            self.failures = [*self.failures[-7:], (world.now, ended)]
        self.handle([ended])

    def _timer(self, at: float) -> Callable[[], None]:
        return lambda: self.handle([api.TimerDue()]) if self.timer_at == at else None


class BurstWorld:
    """All senders and the destination. ``fell_at`` is when the destination fell over, infinite if it did not.

    With ``failing_share`` there is no outage and the destination is warm: that share of the calls fails, each
    by itself, and what the messages pay for it can be compared.
    """

    def __init__(self, plan: BurstPlan, seed: int, failing_share: float | None = None) -> None:
        self.plan, self.seed, self.failing_share = plan, seed, failing_share
        self.healthy = failing_share is not None
        self.rng = Random(f"burst world {seed}")
        self.now, self.order = 0.0, 0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.busy_until = 0.0
        self.recent: deque[tuple[float, bool]] = deque()  # calls in tip_after: when, of a sender that met it
        self.fell_at = math.inf
        self.closest = 0.0  # highest ratio of calls in tip_after to those allowed
        self.submitted = self.delivered = self.undelivered = 0
        self.latencies: list[float] = []  # ms from submission to delivery
        safe = api.MessageClass("safe", plan.deadline / 4.0, plan.deadline, api.Effect.SAFE, late_worth=0.3)
        unsafe = api.MessageClass(
            "unsafe", plan.deadline / 4.0, plan.deadline, api.Effect.UNSAFE, late_worth=0.3
        )
        self.settings = api.Settings(
            (safe, unsafe),
            slots=400,
            max_open=2000,
            senders=plan.senders,
            max_attempts=8,
            connect_timeout=plan.connect_timeout,
            idle_close=5_000.0,
            max_retry_after=3_000.0,
            weights="rough" if plan.limit_known else "none",
            cold=plan.cold,
            start_capacity=plan.start_capacity,
            tip_multiple=plan.tip_multiple,
            tip_after=plan.tip_after,
        )
        self.endpoint = api.EndpointInfo("e", 1, "k", rate=plan.rate)
        self.senders = [SimulatedSender(self, number) for number in range(plan.senders)]

    def schedule(self, at: float, step: Callable[[], None]) -> None:
        """Run a step at a time."""
        self.order += 1
        heappush(self.queue, (max(at, self.now), self.order, step))

    def run(self) -> BurstWorld:
        """Play to the end."""
        plan = self.plan
        for sender in self.senders:
            self._submit_steadily(sender)
            for at in plan.restarts:
                self.schedule(at, sender.restart)
            for _ in range(0 if self.healthy else plan.calls_in_outage):
                # Early enough for the call to have failed before the return.
                latest = plan.out + 0.8 * (plan.back - plan.out - plan.connect_timeout)
                submit = self.rng.choice([sender.submit, sender.submit_unrepeatable])
                self.schedule(self.rng.uniform(plan.out, max(plan.out, latest)), submit)
        for number in range(int(plan.rate * plan.burst_seconds)):
            self.schedule(plan.burst_at, self.senders[number % plan.senders].submit)
        end = plan.back + plan.cold + WATCHED_AFTER_COLD
        while self.queue and self.queue[0][0] <= end:
            self.now, _, step = heappop(self.queue)
            step()
        return self

    def send(self, sender: SimulatedSender, ident: int, attempt: int, abandon_at: float) -> None:
        """Let a call reach the destination, and end it at ``abandon_at`` if it has no answer by then."""
        life, told = sender.lives, sender.met_outage

        def end(result: api.Result, wait: float = 0.0) -> None:
            sender.end_attempt(life, ident, attempt, result, wait)

        self.schedule(abandon_at, lambda: end(api.Result.TIMEOUT))
        self.schedule(self.now + ONE_WAY, lambda: self._receive(end, told))

    def _submit_steadily(self, sender: SimulatedSender) -> None:
        plan = self.plan
        rate = plan.steady * plan.rate / plan.senders
        at = self.rng.expovariate(rate) * 1000.0
        end = plan.back + plan.cold if self.healthy else plan.out
        while at < end:
            self.schedule(at, sender.submit)
            at += self.rng.expovariate(rate) * 1000.0

    def _receive(self, end: Callable[[api.Result, float], None], told: bool) -> None:
        plan, now = self.plan, self.now

        def answer(result: api.Result, after: float, wait: float = 0.0) -> None:
            self.schedule(now + after + ONE_WAY, lambda: end(result, wait))

        if plan.out <= now < plan.back and not self.healthy:
            if plan.trouble in FAILURES:
                answer(
                    FAILURES[plan.trouble], REJECT_TIME, plan.back - now if plan.trouble == "told" else 0.0
                )
            return
        self._count(told)
        if self.fell_at < math.inf:
            return
        if self.failing_share is not None and self.rng.random() < self.failing_share:
            if plan.trouble in FAILURES:
                answer(FAILURES[plan.trouble], REJECT_TIME)
            return
        pace = plan.rate * (1.0 if self.healthy else plan.capacity(now)) / 1000.0
        self.busy_until = max(self.busy_until, now)
        if self.busy_until - now > QUEUE_MS:
            answer(api.Result.BUSY, REJECT_TIME)
            return
        self.busy_until += 1.0 / pace
        answer(api.Result.OK, self.busy_until - now + plan.call_time)

    def _count(self, told: bool) -> None:
        plan, now = self.plan, self.now
        if now < plan.back or now > plan.back + plan.cold or self.healthy:
            return
        self.recent.append((now, told))
        while self.recent[0][0] < now - plan.tip_after:
            self.recent.popleft()
        count, allowed = len(self.recent), plan.allowed(now)
        self.closest = max(self.closest, count / allowed)
        if count > allowed and 3 * sum(told for _, told in self.recent) > 2 * count:
            self.fell_at = min(self.fell_at, now)
