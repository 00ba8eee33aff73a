"""What is harmless in one sender and harmful in two hundred: sums over a whole fleet of decision modules, under
simulated time, against one destination that is poor in connections, limited, or returning."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random

import pytest

from brassweir import interface as api
from brassweir.control import Sender

SAFE = api.MessageClass("safe", 3000.0, 12000.0, api.Effect.SAFE, late_worth=0.3)
SETTINGS = api.Settings(classes=(SAFE,), slots=4, max_open=53, senders=200, max_attempts=12, connect_timeout=1000.0,
                        idle_close=5000.0, max_retry_after=3000.0, tick=1.0, second_copies=True, weights="rough", cold=11000.0,
                        start_capacity=0.29, tip_multiple=1.5, few_connections=True)
Ending = tuple[float, api.Result, float | None, float | None]  # ms until it, what, limit, share of it left


class Destination:
    """One destination with one endpoint; says how a call that comes now will end."""

    def __init__(self) -> None:
        self.calls: list[float] = []
        self.served: list[float] = []

    def call(self, now: float, sender: int) -> Ending:
        """A call comes."""
        raise NotImplementedError

    def over(self, now: float, sender: int, result: api.Result) -> None:
        """It has ended."""

    def let_go(self, sender: int) -> None:
        """The sender gives back its idle connections."""


class Poor(Destination):
    """Holds few connections; a new one takes 25 ms, and kept ones count until they have been idle for 5 s."""

    def __init__(self, most: int, lack: api.Result = api.Result.CROWDED) -> None:
        super().__init__()
        self.most, self.lack, self.used = most, lack, 0
        self.idle: dict[int, list[float]] = {}

    def call(self, now: float, sender: int) -> Ending:
        self.idle = {one: left for one, ends in self.idle.items() if (left := [end for end in ends if end > now])}
        kept = self.idle.get(sender)
        if kept:
            kept.pop()
        elif self.used + sum(map(len, self.idle.values())) >= self.most:
            return 20.0, self.lack, None, None
        self.used += 1
        return 60.0 if kept is not None else 85.0, api.Result.OK, 300.0, 0.9

    def over(self, now: float, sender: int, result: api.Result) -> None:
        if result is api.Result.OK:
            self.used -= 1
            self.idle.setdefault(sender, []).append(now + 5000.0)

    def let_go(self, sender: int) -> None:
        self.idle.pop(sender, None)


class Limited(Destination):
    """Takes so many calls in each second, tells limit and rest, and counts refused ones too."""

    def __init__(self, limit: int) -> None:
        super().__init__()
        self.limit, self.count = limit, Counter[int]()

    def call(self, now: float, sender: int) -> Ending:
        second = int(now // 1000.0)
        self.count[second] += 1
        left = max(0.0, 1.0 - self.count[second] / self.limit)
        return 60.0, api.Result.OK if self.count[second] <= self.limit else api.Result.FULL, float(self.limit), left


class Returning(Destination):
    """Down for five seconds, then cold: a share of its capacity, which grows back."""

    down, back = 4000.0, 9000.0

    def call(self, now: float, sender: int) -> Ending:
        if self.down <= now < self.back:
            return 5.0, api.Result.NO_CONNECTION, None, None
        return 60.0, api.Result.OK, None, None

    def capacity(self, now: float) -> float:
        """Calls a second that it bears."""
        return 100.0 * min(1.0, 0.29 + 0.71 * (now - self.back) / 11000.0)


class Fleet:
    """Two hundred senders, some with several times the mean traffic, and one destination."""

    def __init__(self, there: Destination, rate: Callable[[float], float], settings: api.Settings = SETTINGS, seed: int = 1) -> None:
        self.there, self.rate, self.rng = there, rate, Random(seed)
        self.senders = [Sender(settings, seed * 1000 + n, 0.0) for n in range(settings.senders)]
        self.weights = [self.rng.expovariate(1.0) + 0.2 for _ in self.senders]
        self.events: list[tuple[float, int, int, api.Event | None]] = []
        self.order = self.ids = self.offered = 0
        self.tries, self.ends = Counter[int](), Counter[str]()

    def run(self, until: float) -> Fleet:
        """Play; arrivals stop a deadline earlier."""
        entry = api.EndpointInfo("e", 1, "k", rate=100.0)
        for n in range(len(self.senders)):
            self._push(0.0, n, api.ListNews(api.ListKind.FULL, (entry,)))
        self._push(1.0, -1, None)
        while self.events and self.events[0][0] <= until:
            now, _, n, event = heappop(self.events)
            if event is None:
                if now < until - SAFE.deadline:
                    self._arrive(now)
                continue
            if isinstance(event, api.AttemptEnded):
                self.there.over(now, n, event.result)
                if event.result is api.Result.OK:
                    self.there.served.append(now)
                    self.ends["served"] += 1
            self._carry_out(now, n, self.senders[n].handle(now, [event]))
        return self

    def _arrive(self, now: float) -> None:
        self.ids += 1
        self.offered += 1
        n = self.rng.choices(range(len(self.senders)), self.weights)[0]
        self._push(now, n, api.NewMessage(self.ids, "safe", 1, SAFE.deadline))
        self._push(now + self.rng.expovariate(self.rate(now)) * 1000.0, -1, None)

    def _carry_out(self, now: float, n: int, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self.there.calls.append(now)
                attempt = self.tries[action.id]
                self.tries[action.id] += 1
                took, result, limit, left = self.there.call(now, n)
                self._push(now + took, n, api.AttemptEnded(action.id, attempt, "e", result, took, result is api.Result.OK,
                                                           limit=limit, limit_left=left))
            elif isinstance(action, api.SetTimer):
                self._push(action.at, n, api.TimerDue())
            elif isinstance(action, api.CloseIdle):
                self.there.let_go(n)
            elif isinstance(action, api.Refuse | api.Fail):
                self.ends["given up"] += 1

    def _push(self, at: float, n: int, event: api.Event | None) -> None:
        self.order += 1
        heappush(self.events, (at, self.order, n, event))

    @property
    def share(self) -> float:
        """Of the messages handed in, those that were served."""
        return self.ends["served"] / self.offered


@pytest.mark.parametrize(("settings", "lack", "least", "most"), [
    (SETTINGS, api.Result.CROWDED, 0.95, 1.0),
    (api.Settings(**{**{name: getattr(SETTINGS, name) for name in SETTINGS.__slots__}, "few_connections": False}),
     api.Result.FULL, 0.0, 0.6),  # taken for a limit, and kept until one's own is missing: most go without
])
def test_a_fleet_shares_the_connections_of_a_poor_endpoint(settings: api.Settings, lack: api.Result, least: float, most: float) -> None:
    fleet = Fleet(Poor(20, lack), lambda _: 120.0, settings).run(27000.0)
    assert least <= fleet.share <= most, fleet.ends


def test_a_fleet_together_keeps_near_a_limit_after_a_burst() -> None:
    there = Limited(100)
    fleet = Fleet(there, lambda now: 250.0 if 6000.0 <= now < 7500.0 else 80.0).run(32000.0)
    assert sum(there.count.values()) <= 1.3 * fleet.ends["served"], "calls made for each one served"
    assert fleet.share >= 0.75, fleet.ends


def test_a_fleet_does_not_push_a_returning_destination_over_nor_leaves_it_dark() -> None:
    there = Returning()
    fleet = Fleet(there, lambda _: 70.0).run(42000.0)
    for start in range(9000, 18500, 500):  # windows that lie within its cold time
        calls = sum(1 for at in there.calls if start <= at < start + 2000)
        assert calls <= 1.5 * 2.0 * there.capacity(start + 2000.0), f"{calls} calls in two seconds from {start}"
    assert min(at for at in there.served if at >= there.back) < there.back + 3000.0
    late = [at for at in there.served if 20000.0 <= at < 30000.0]
    assert len(late) >= 600, "the traffic is back"
    assert fleet.share >= 0.6, fleet.ends
