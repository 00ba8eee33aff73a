"""Which copy to probe next, and the course of open probes: direct pings, then pings through helpers. Pure.

Requests are tuples (message kind, receiver, subject, number); the failure detector makes messages of them.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from brassweir.peers.copies import Fleet
from brassweir.peers.messages import PING, PING_REQ
from brassweir.peers.rtt import RttEstimator
from brassweir.peers.tuning import Tuning

Request = tuple[int, str, str, int]


@dataclass(slots=True)
class Probe:
    """The probe of one copy. Times in ms."""

    name: str
    started: float
    next_round: float
    rounds: int = 0
    last_round: float = 0.0
    helpers: set[str] = field(default_factory=set)
    responders: set[str] = field(default_factory=set)  # copies that sent an ack or a nack
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

    def __init__(self, tuning: Tuning, rtt: RttEstimator, rng: random.Random) -> None:
        self.tuning, self.rtt, self.rng = tuning, rtt, rng
        self.order: list[str] = []
        self.open: list[Probe] = []
        self.pings: dict[int, Ping] = {}
        self.first_pings: deque[Ping] = deque()  # of each probe: they measure the loss
        self.last_number = 0
        self.health_score = 0
        self.ignore_until: dict[
            str, float
        ] = {}  # no round trips of a copy that answered after its probe failed

    def abandon(self) -> None:
        """Drop all open probes without a result."""
        self.open.clear()
        self.pings.clear()
        self.first_pings.clear()

    def next_target(self, fleet: Fleet, dead: Collection[str]) -> str | None:
        """The next copy to probe; None if all others are dead."""
        for _ in range(2):
            while self.order:
                name = self.order.pop()
                if name in fleet and name not in dead:
                    return name
            self.order = [copy.name for copy in fleet.others]
            self.rng.shuffle(self.order)
        return None

    def add_targets(self, names: Iterable[str]) -> None:
        """Insert new copies at random places of the current round."""
        for name in names:
            self.order.insert(self.rng.randint(0, len(self.order)), name)

    def start(self, name: str, now: float) -> None:
        """Open a probe of ``name`` unless one is open; its first ping is due at once."""
        if any(probe.name == name for probe in self.open):
            return
        self.open.append(Probe(name, now, now))

    def _ping(self, probe: Probe, now: float, direct: bool) -> int:
        self.last_number += 1
        ping = self.pings[self.last_number] = Ping(probe, now, direct)
        if not probe.rounds:
            self.first_pings.append(ping)
        return self.last_number

    def due(self) -> float:
        """When ``advance`` is to be called next (ms)."""
        return min((self._next(probe) for probe in self.open), default=float("inf"))

    def _next(self, probe: Probe) -> float:
        """When a probe's next round is due, or the probe ends, by the current estimate of round trips."""
        if probe.rounds < self.rtt.rounds:
            return probe.next_round
        factor = 1 + self.health_score
        return max(
            probe.last_round + 2 * self.rtt.timeout * factor,
            probe.started + self.tuning.min_probe_ms * factor,
        )

    def advance(
        self, now: float, health_score: int, helpers: Callable[[str], list[str]]
    ) -> tuple[list[Request], list[Probe]]:
        """What to send now, and the probes that failed. ``helpers``: candidates for a target, best first."""
        requests: list[Request] = []
        failed: list[Probe] = []
        timeout = self.rtt.timeout * (1 + health_score)
        self.health_score = health_score
        for probe in self.open:
            if now < self._next(probe):
                continue
            if probe.rounds < self.rtt.rounds:
                requests.append((PING, probe.name, "", self._ping(probe, now, True)))
                if probe.rounds:
                    count = self.tuning.helpers if probe.rounds == 1 else 1
                    candidates = helpers(probe.name)
                    unasked = [name for name in candidates if name not in probe.helpers]
                    for helper in (unasked or candidates)[:count]:
                        probe.helpers.add(helper)
                        requests.append((PING_REQ, helper, probe.name, self._ping(probe, now, False)))
                probe.rounds += 1
                probe.next_round = now + (timeout if probe.rounds == 1 else timeout / 2)
                probe.last_round = now
            else:
                failed.append(probe)
        if failed:
            self.open = [probe for probe in self.open if probe not in failed]
        return requests, failed

    def acked(self, number: int, sender: str, now: float) -> Probe | None:
        """Take in an ack. Returns the probe that it ends with success; None if that had ended before."""
        ping = self.pings.get(number)
        if ping is None:
            return None
        probe = ping.probe
        if ping.direct and not ping.answered:
            failed = not probe.answered and probe not in self.open
            # A process that stood still answers all pings at once: its round trips are not the network's.
            if not failed or now >= self.ignore_until.get(sender, 0.0):
                self.rtt.add_round_trip(now - ping.sent)
            if failed:
                self.ignore_until[sender] = now + self.tuning.remember_ping_ms
        ping.answered = True
        probe.responders.add(sender)
        if probe.answered or probe not in self.open:
            return None
        probe.answered = True
        self.open.remove(probe)
        return probe

    def nacked(self, number: int, sender: str) -> None:
        """A helper responded that the target did not answer it."""
        ping = self.pings.get(number)
        if ping is not None:
            ping.probe.responders.add(sender)

    def prune(self, now: float) -> None:
        """Forget old pings; first pings to copies that proved alive count towards the loss."""
        settled, expired = now - 2 * self.rtt.timeout, now - self.tuning.remember_ping_ms
        while self.first_pings and self.first_pings[0].sent <= settled:
            ping = self.first_pings.popleft()
            if ping.probe.answered:
                self.rtt.add_ping(not ping.answered)
        while self.pings:
            number = next(iter(self.pings))
            if self.pings[number].sent >= expired:
                break
            del self.pings[number]
