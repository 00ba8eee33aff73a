"""Where members of the agreed log run in a simulation: their machines, disks and network, from one seed."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from brassweir.agreed.core import Core
from brassweir.agreed.events import (
    Applied,
    Completed,
    CopiesChanged,
    Event,
    Received,
    Restored,
    Send,
    WakeAt,
    Write,
    WriteFailed,
    Written,
)
from brassweir.agreed.messages import decode, encode
from brassweir.agreed.store import Store
from brassweir.lab.models.logjudge import Broken, Judge
from brassweir.lab.models.toys import Pile
from brassweir.lab.simulated.disk import Crash, SimStorage


@dataclass
class Weather:
    """The network: shares of messages lost and doubled, and their delay in ms."""

    loss: float = 0.0
    double: float = 0.0
    low: float = 0.5
    high: float = 3.0
    disk: float = 4.0  # ms a write takes at most
    snap: float = 4_096.0  # entries between snapshots


@dataclass
class Node:
    """One copy: its disk, and while it is up its store and core."""

    name: str
    disk: SimStorage
    core: Core | None = None
    store: Store | None = None
    machine: Pile = field(default_factory=Pile)
    starts: int = 0
    wake: float = 0.0
    writes: list[Write] = field(default_factory=list)
    writing: bool = False
    stalled: float = 0.0
    inbox: list[Event] = field(default_factory=list)
    saved: dict[str, bytes] | None = None
    messages: int = 0
    bytes: int = 0


class Floor:
    """Members over simulated time, in ms."""

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        learners: int = 0,
        weather: Weather | None = None,
        core: type[Core] = Core,
    ) -> None:
        self.rng = Random(seed)
        self.seed, self.core_type = seed, core
        self.founders = tuple(f"v{i + 1}" for i in range(voters))
        names = [*self.founders, *(f"l{i + 1}" for i in range(learners))]
        self.names = tuple(names)
        self.nodes = {name: Node(name, SimStorage()) for name in names}
        self.weather = weather or Weather()
        self.cuts: set[tuple[str, str]] = set()
        self.now = self.quiet = 0.0
        self.count = 0
        self.heap: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self.judge = Judge()
        self.tickets = 0
        for name in names:
            self.start(name)

    def at(self, time: float, call: Callable[..., object], *args: Any) -> None:
        """Call something later."""
        self.count += 1
        heapq.heappush(self.heap, (time, self.count, call, args))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.heap)
            call(*args)
            if self.count > self.now * len(self.names) + 50_000:
                raise Broken(f"storm: {self.count} events within {self.now:.0f} ms")
        self.now = until

    # Copies

    def start(self, name: str) -> None:
        """Start it from its folder."""
        node = self.nodes[name]
        if node.core is not None:
            return
        node.starts += 1
        rng = Random(f"{self.seed}/{name}/{node.starts}")
        try:
            node.store = Store(node.disk, rng)
        except OSError:
            self.at(self.now + 1_000.0, self.start, name)
            return
        except Crash:
            self.crash(name, "torn", 500.0)
            return
        node.machine = Pile()
        node.core = self.core_type(name, node.store.persisted, node.machine, rng, self.now, self.founders)
        node.core.snapshot_every, node.core.entries_kept = int(self.weather.snap), int(self.weather.snap) // 3
        self.judge.started(name, node.core, node.starts)
        node.wake, node.writes, node.writing, node.inbox, node.stalled = 0.0, [], False, [], 0.0
        self.give(name, CopiesChanged(self.names))

    def crash(self, name: str, mode: str = "torn", down: float = 500.0) -> None:
        """Its machine stops and is started again."""
        node = self.nodes[name]
        if node.core is not None:
            self.judge.stopped(name, node.core)
        node.core = node.store = None
        node.disk = node.disk.after(mode, self.rng)
        if down >= 0.0:
            self.at(self.now + down, self.start, name)

    def lose(self, name: str, down: float = 500.0) -> None:
        """The same, and its folder is lost."""
        self.crash(name, "lost", down)
        self.nodes[name].disk = SimStorage()
        self.judge.forgot(name)

    def save(self, name: str) -> None:
        """Copy its folder."""
        disk = self.nodes[name].disk
        self.nodes[name].saved = {file: disk.read(file) for file in disk.names()}

    def restore(self, name: str, down: float = 500.0) -> None:
        """Its machine stops and is started again from the copy."""
        self.crash(name, "lost", down)
        node = self.nodes[name]
        if node.saved is not None:
            node.disk = SimStorage(node.saved)
            self.judge.forgot(name)

    def stall(self, name: str, span: float) -> None:
        """SIGSTOP, and later SIGCONT."""
        node = self.nodes[name]
        if node.core is not None and node.stalled <= self.now:
            node.stalled = self.now + span
            self.at(node.stalled, self.woken, name, node.starts)

    def woken(self, name: str, start: int) -> None:
        """All that came meanwhile is found at once."""
        node = self.nodes[name]
        if node.core is not None and node.starts == start:
            node.stalled = 0.0
            facts, node.inbox = node.inbox, []
            self.give(name, *facts)

    def give(self, name: str, *facts: Event) -> None:
        """Let it step."""
        node = self.nodes[name]
        if node.core is None:
            return
        if node.stalled > self.now:
            node.inbox += facts
            return
        core = node.core
        for step in core.step(self.now, facts):
            match step:
                case Send():
                    self.send(name, step)
                case Write():
                    node.writes.append(step)
                    if not node.writing:
                        node.writing = True
                        span = self.rng.uniform(0.2, self.weather.disk)
                        self.at(self.now + span, self.write, name, node.starts)
                case WakeAt():
                    if not self.now < node.wake <= step.at:
                        node.wake = step.at
                        self.at(step.at, self.wake, name, node.starts, step.at)
                case Applied():
                    self.judge.applied(name, step)
                case Restored():
                    self.judge.restored(name, step.index, node.machine.taken)
                case Completed():
                    self.judge.told(name, step.ticket, step.outcome, self.now)
        if core.write_error and node.core is core:
            self.judge.stopped(name, core)
            node.core = None
            node.disk.bad_sync = None
            self.at(self.now + 1_000.0, self.start, name)

    def wake(self, name: str, start: int, at: float) -> None:
        """The time it asked for."""
        if self.nodes[name].starts == start and self.nodes[name].wake == at:
            self.nodes[name].wake = 0.0
            self.give(name)

    def write(self, name: str, start: int) -> None:
        """The disk does what waits, as one write."""
        node = self.nodes[name]
        if node.starts != start or node.store is None or node.core is None:
            return
        if node.stalled > self.now:
            self.at(node.stalled, self.write, name, start)
            return
        writes, node.writes, node.writing = node.writes, [], False
        try:
            at = max((i for i, write in enumerate(writes) if write.replaces_all), default=-1)
            if at >= 0:
                node.store.write_whole(writes[at].records)
            records = tuple(record for write in writes[at + 1 :] for record in write.records)
            if records:
                node.store.write(records)
        except OSError as error:
            self.give(name, WriteFailed(str(error)))
            return
        except Crash:
            self.crash(name, self.rng.choice(("lost", "kept", "torn", "reordered")))
            return
        self.give(name, Written(writes[-1].token))

    # The network

    def send(self, sender: str, post: Send) -> None:
        """Carry a message, or not."""
        body = encode(post.envelope)
        node = self.nodes[sender]
        node.messages += 1
        node.bytes += len(body)
        self.judge.sent(sender, post, len(body))
        if post.to not in self.nodes:
            return
        weather, rng = self.weather, self.rng
        for _ in range(2 if rng.random() < weather.double else 1):
            if rng.random() >= weather.loss and (sender, post.to) not in self.cuts:
                self.at(self.now + rng.uniform(weather.low, weather.high), self.arrive, sender, post.to, body)

    def arrive(self, sender: str, to: str, body: bytes) -> None:
        """It comes."""
        self.give(to, Received(sender, decode(body)))
