"""A network of copies on simulated time: loss, delay, doubling, cuts, stalls, restarts, from one seed. Pure.

The real cores and the real envelopes run on it. What each copy said stands on a tape, to be judged by what
was really so.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from functools import partial

from brassweir.core.clock import SimClock
from brassweir.peers.copies import Copy, Fleet
from brassweir.peers.envelope import Dropped, EnvelopeCodec, Keys
from brassweir.peers.failure_detector import FailureDetector
from brassweir.peers.messages import (
    CopiesChanged,
    Fact,
    NewGeneration,
    Received,
    SelfStateChanged,
    Send,
    StateChanged,
    Step,
    View,
)
from brassweir.peers.tuning import DEFAULT, Tuning

KEY = Keys([b"a key of the simulated network"])
HEADERS = 28  # bytes of IPv4 and UDP around a datagram
BUFFER = 500  # datagrams that a stopped process's socket holds


@dataclass(slots=True)
class Weather:
    """What the network does to a message. Times in ms."""

    loss: float = 0.0
    soonest: float = 0.2
    latest: float = 2.0  # apart enough, messages overtake one another
    doubled: float = 0.0


def fleet(copies: int, sites: int = 3) -> list[Copy]:
    """So many copies, spread over sites by turns."""
    return [
        Copy(f"c{number:03d}", f"s{number % sites}", "r1", f"127.0.0.1:{7001 + number}")
        for number in range(copies)
    ]


class Node:
    """One process."""

    def __init__(self, net: Net, name: str, generation: int, copies: Iterable[Copy]) -> None:
        self.net, self.name = net, name
        rng = random.Random(f"{net.seed} {name} {generation}")
        self.fleet = Fleet(name, copies)
        self.core = net.make(self.fleet, generation, net.clock.now(), rng, net.tuning)
        self.wire = net.make_wire(name, generation, KEY)
        self.up = True
        self.stopped = False
        self.buffer: list[bytes] = []
        self.wake = float("inf")

    def step(self, facts: Iterable[Fact] = ()) -> None:
        """Step the core and carry out what it says."""
        for step in self.core.step(self.net.clock.now(), facts):
            self._do(step)
        due = max(self.core.due, self.net.clock.now() + 0.1)
        if due < self.wake or self.wake <= self.net.clock.now():
            self.wake = due
            self.net.clock.call_at(due, self._woken)

    def _woken(self) -> None:
        if self.up and not self.stopped and self.wake <= self.net.clock.now():
            self.step()

    def _do(self, step: Step) -> None:
        if isinstance(step, Send):
            self.net.pass_on(self.name, step.to, self.wire.seal(step.to, "live", step.body))
        elif isinstance(step, StateChanged):
            self.net.said(self.name, step.name, step.state)
        elif isinstance(step, SelfStateChanged):
            self.net.said(self.name, self.name, "doubts" if step.self_suspected else "sure")
        elif isinstance(step, NewGeneration):
            self.wire.begin_generation(step.generation)

    def receive(self, datagram: bytes) -> None:
        """A datagram reaches the process's socket."""
        if self.stopped:
            if len(self.buffer) < self.net.buffer:
                self.buffer.append(datagram)
            return
        try:
            envelope = self.wire.open(datagram, self.fleet.by_name, ("live",), ("live",))
        except Dropped as dropped:
            self.net.dropped[dropped.reason] = self.net.dropped.get(dropped.reason, 0) + 1
            return
        self.step([Received(envelope.sender, envelope.generation, envelope.body)])


class Net:
    """All processes and the ways between them. ``tape``: (when, who, of whom, what)."""

    def __init__(
        self,
        copies: Collection[Copy],
        seed: int,
        tuning: Tuning = DEFAULT,
        make: Callable[[Fleet, int, float, random.Random, Tuning], FailureDetector] = FailureDetector,
        make_wire: Callable[[str, int, Keys], EnvelopeCodec] = EnvelopeCodec,
    ) -> None:
        self.copies, self.seed, self.tuning, self.make, self.make_wire = copies, seed, tuning, make, make_wire
        self.rng = random.Random(f"{seed} network")
        self.clock = SimClock()
        self.weather = Weather()
        self.nodes: dict[str, Node] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.tape: list[tuple[float, str, str, str]] = []
        self.dropped: dict[str, int] = {}
        self.messages = self.bytes = 0
        self.buffer = BUFFER
        self.recorder: Callable[[str, str, bytes], None] = lambda sender, to, datagram: None

    def start(
        self, name: str, generation: int = 1_780_000_000_000, copies: Iterable[Copy] | None = None
    ) -> None:
        """Start, or restart, a process; ``copies``: its own file, where that differs."""
        if name in self.nodes:
            self.nodes[name].up = False
        node = self.nodes[name] = Node(self, name, generation, copies if copies is not None else self.copies)
        node.step()

    def start_all(self, within: float = 1_000.0) -> None:
        """All of them, within so many ms."""
        for copy in self.copies:
            self.clock.call_at(self.clock.now() + self.rng.random() * within, partial(self.start, copy.name))

    def kill(self, name: str) -> None:
        """SIGKILL."""
        self.nodes[name].up = False

    def stop(self, name: str, ms: float) -> None:
        """SIGSTOP, and SIGCONT after ``ms``: the socket is read first, as event loops do."""
        node = self.nodes[name]
        node.stopped = True

        def go_on() -> None:
            node.stopped = False
            waiting, node.buffer = node.buffer, []
            if node.up:
                for datagram in waiting:
                    node.receive(datagram)
                node.step()

        self.clock.call_at(self.clock.now() + ms, go_on)

    def reload(self, name: str, copies: Iterable[Copy]) -> None:
        """SIGHUP with another file."""
        node = self.nodes[name]
        node.fleet = Fleet(name, copies)
        node.wire.forget_unlisted(node.fleet.by_name)
        node.step([CopiesChanged(node.fleet)])

    def cut(self, senders: Iterable[str], receivers: Iterable[str], both: bool = False) -> None:
        """Nothing passes from these to those any more; ``both``: nor back."""
        receivers = list(receivers)
        for one in senders:
            for other in receivers:
                self.cuts.add((one, other))
                if both:
                    self.cuts.add((other, one))

    def pass_on(self, sender: str, to: str, datagram: bytes) -> None:
        """One datagram on its way."""
        self.messages += 1
        self.bytes += len(datagram)
        self.recorder(sender, to, datagram)
        weather, rng = self.weather, self.rng
        for _ in range(2 if weather.doubled and rng.random() < weather.doubled else 1):
            if (sender, to) in self.cuts or weather.loss and rng.random() < weather.loss:
                continue
            after = weather.soonest + (weather.latest - weather.soonest) * rng.random()
            self.clock.call_at(self.clock.now() + after, lambda: self.arrive(to, datagram))

    def arrive(self, to: str, datagram: bytes) -> None:
        """It is there."""
        node = self.nodes.get(to)
        if node is not None and node.up:
            node.receive(datagram)

    def said(self, who: str, of: str, what: str) -> None:
        """A copy's view changed."""
        self.tape.append((self.clock.now(), who, of, what))

    def run(self, ms: float) -> None:
        """Let time pass."""
        self.clock.run(self.clock.now() + ms)

    def views(self) -> dict[str, View]:
        """The views of those that run."""
        return {name: node.core.view() for name, node in self.nodes.items() if node.up and not node.stopped}
