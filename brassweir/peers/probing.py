"""Whom to probe next, and what became of the probes that are out: direct pings, then helpers. Pure.

What it asks for are tuples (what, to, about, number); whoever owns it makes messages of them.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from brassweir.peers.copies import Fleet
from brassweir.peers.messages import ASK, PING
from brassweir.peers.rtt import RttEstimator
from brassweir.peers.tuning import Tuning

Ask = tuple[int, str, str, int]


@dataclass(slots=True)
class Probe:
    """One copy being probed."""

    name: str
    began: float
    next_round: float
    rounds: int = 0
    last: float = 0.0  # when the last round went out
    helpers: set[str] = field(default_factory=set)
    signs: set[str] = field(default_factory=set)  # helpers that said something
    answered: bool = False


@dataclass(slots=True)
class Ping:
    """One numbered message of a probe."""

    probe: Probe
    sent: float
    direct: bool
    answered: bool = False


class Prober:
    """Round robin over a shuffled list: each copy is probed once before any is probed again."""

    def __init__(self, tuning: Tuning, pace: RttEstimator, rng: random.Random) -> None:
        self.tuning, self.pace, self.rng = tuning, pace, rng
        self.ring: list[str] = []
        self.open: list[Probe] = []
        self.pings: dict[int, Ping] = {}
        self.firsts: deque[Ping] = deque()  # the first one of each probe: they tell how many get lost
        self.number = 0
        self.score = 0
        self.late: dict[str, float] = {}  # who answered after its probe had failed: counts again from then on

    def forget(self) -> None:
        """What is out counts for nothing."""
        self.open.clear()
        self.pings.clear()
        self.firsts.clear()

    def target(self, fleet: Fleet, dead: Collection[str]) -> str | None:
        """The next one to probe; None where all others are dead."""
        for _ in range(2):
            while self.ring:
                name = self.ring.pop()
                if name in fleet and name not in dead:
                    return name
            self.ring = [copy.name for copy in fleet.others]
            self.rng.shuffle(self.ring)
        return None

    def join(self, names: Iterable[str]) -> None:
        """New ones: somewhere in the round that runs."""
        for name in names:
            self.ring.insert(self.rng.randint(0, len(self.ring)), name)

    def begin(self, name: str, now: float) -> None:
        """Probe it, unless a probe of it is out; the first ping is due at once."""
        if any(one.name == name for one in self.open):
            return
        self.open.append(Probe(name, now, now))

    def _ping(self, probe: Probe, now: float, direct: bool) -> int:
        self.number += 1
        ping = self.pings[self.number] = Ping(probe, now, direct)
        if not probe.rounds:
            self.firsts.append(ping)
        return self.number

    def due(self) -> float:
        """When it is to be looked at again."""
        return min((self._next(one) for one in self.open), default=float("inf"))

    def _next(self, probe: Probe) -> float:
        """Its next round, or its end; longer where answers are found to take longer meanwhile."""
        if probe.rounds < self.pace.rounds:
            return probe.next_round
        factor = 1 + self.score
        return max(
            probe.last + 2 * self.pace.answer * factor, probe.began + self.tuning.window_least * factor
        )

    def run(
        self, now: float, score: int, helpers: Callable[[str], list[str]]
    ) -> tuple[list[Ask], list[Probe]]:
        """What to send now, and the probes that failed. ``helpers``: whom to ask about one, best first."""
        asks: list[Ask] = []
        failed: list[Probe] = []
        answer = self.pace.answer * (1 + score)
        self.score = score
        for probe in self.open:
            if now < self._next(probe):
                continue
            if probe.rounds < self.pace.rounds:
                asks.append((PING, probe.name, "", self._ping(probe, now, True)))
                if probe.rounds:
                    many = self.tuning.helpers if probe.rounds == 1 else 1
                    willing = helpers(probe.name)
                    unasked = [one for one in willing if one not in probe.helpers]
                    for helper in (unasked or willing)[:many]:
                        probe.helpers.add(helper)
                        asks.append((ASK, helper, probe.name, self._ping(probe, now, False)))
                probe.rounds += 1
                probe.next_round = now + (answer if probe.rounds == 1 else answer / 2)
                probe.last = now
            else:
                failed.append(probe)
        if failed:
            self.open = [one for one in self.open if one not in failed]
        return asks, failed

    def answered(self, number: int, sender: str, now: float) -> Probe | None:
        """An answer came; the probe if that ends it well, None if it was ended before."""
        ping = self.pings.get(number)
        if ping is None:
            return None
        probe = ping.probe
        if ping.direct and not ping.answered:
            over = not probe.answered and probe not in self.open
            if not over or now >= self.late.get(sender, 0.0):  # one that stood still answers all at once
                self.pace.took(now - ping.sent)
            if over:
                self.late[sender] = now + self.tuning.remember
        ping.answered = True
        probe.signs.add(sender)
        if probe.answered or probe not in self.open:
            return None
        probe.answered = True
        self.open.remove(probe)
        return probe

    def sign(self, number: int, sender: str) -> None:
        """A helper is there, but has no answer."""
        ping = self.pings.get(number)
        if ping is not None:
            ping.probe.signs.add(sender)

    def clean(self, now: float) -> None:
        """Forget old pings; those to the living tell of loss on the way."""
        settled, gone = now - 2 * self.pace.answer, now - self.tuning.remember
        while self.firsts and self.firsts[0].sent <= settled:
            ping = self.firsts.popleft()
            if ping.probe.answered:
                self.pace.lost(not ping.answered)
        while self.pings:
            number = next(iter(self.pings))
            if self.pings[number].sent >= gone:
                break
            del self.pings[number]
