"""Where the simulated fleet runs: copies with real cores, their folders and the network, from one seed.

Leaner than `logfloor`: messages pass between copies as the immutable objects that they are, so 490 copies
share the entries in them; their sizes are those of their real bytes. Times are ms.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random
from time import process_time
from typing import Any

import msgspec

from brassweir.agreed.core import Core
from brassweir.agreed.events import (
    Applied,
    Completed,
    CopiesChanged,
    Event,
    Received,
    Restored,
    Send,
    VersionInForce,
    WakeAt,
    Write,
    Written,
)
from brassweir.agreed.messages import Envelope, encode
from brassweir.agreed.records import Persisted
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.lab.models.configfleet import Fleet
from brassweir.lab.models.configfolder import Folder, RecordFolder, StoreFolder
from brassweir.lab.models.configjudge import Judge
from brassweir.lab.models.configmodule import TURN, DecisionModel, DeltaMemo, ToldAll
from brassweir.lab.models.confignode import Network, Node
from brassweir.lab.models.logjudge import Broken

MOST_DISK = 4.0  # ms a write takes at most
START = 500.0  # ms a process takes to start
MOST_EVENTS = 30_000_000  # of one run


class Floor:
    """Copies over simulated time."""

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        make: Callable[[], ConfiguredMachine],
        core: type[Core],
        judge: Judge,
        kept: Callable[[str], Persisted],
    ) -> None:
        """``kept``: what each copy's folder holds at the beginning."""
        self.fleet, self.seed, self.make, self.core_type, self.judge = fleet, seed, make, core, judge
        self.rng = Random(seed)
        self.network = Network(fleet, self.rng)
        self.memo = DeltaMemo()
        self.now = 0.0
        self.count = 0
        self.heap: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self.snapshots: dict[tuple[int, int], bytes] = {}
        self.nodes: dict[str, Node] = {}
        for name in fleet.names:
            control = name in fleet.controls
            folder: Folder = StoreFolder.holding(kept(name)) if control else RecordFolder(kept(name))
            self.nodes[name] = Node(name, folder)
            self.at(self.rng.uniform(0.0, 200.0), self.start, name)

    def at(self, time: float, call: Callable[..., object], *args: Any) -> None:
        """Call something later."""
        self.count += 1
        heapq.heappush(self.heap, (time, self.count, call, args))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.heap)
            call(*args)
            if self.count > MOST_EVENTS:
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
        kept = node.folder.open(rng)
        node.machine = machine = self.make()
        node.core = self.core_type(name, kept, machine, rng, self.now, self.fleet.voters)
        node.wake, node.writes, node.writing, node.inbox, node.stalled = 0.0, [], False, [], 0.0
        self.judge.started(name, node.core)
        node.module, node.turning = DecisionModel(machine, self.memo), False
        self.wake_module(node)
        self.give(name, CopiesChanged(self.fleet.names))

    def crash(self, name: str, down: float = START) -> None:
        """Its machine stops, and is started again after ``down`` ms unless that is below 0."""
        node = self.nodes[name]
        if node.core is not None:
            self.judge.stopped(name)
        node.core = node.machine = node.module = None
        node.folder.crash(self.rng)
        if down >= 0.0:
            self.at(self.now + down, self.start, name)

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
            self.wake_module(node)

    def give(self, name: str, *facts: Event) -> None:
        """Let it step."""
        node = self.nodes[name]
        core = node.core
        if core is None:
            return
        if node.stalled > self.now:
            node.inbox += facts
            return
        begun = process_time()
        steps = core.step(self.now, facts)
        node.traffic.cpu += process_time() - begun
        node.traffic.steps += 1
        moved = False
        for step in steps:
            match step:
                case Send():
                    self.send(name, step)
                case Write():
                    node.writes.append(step)
                    self.begin_write(node)
                case WakeAt():
                    if not self.now < node.wake <= step.at:
                        node.wake = step.at
                        self.at(step.at, self.wake, name, node.starts, step.at)
                case Applied():
                    moved = True
                    self.judge.applied(name, step, self.now)
                case Restored():
                    moved = True
                    self.share_snapshot(core)
                    self.judge.restored(name, step.index)
                case Completed():
                    self.told(name, step)
        if core.write_error:
            raise Broken(f"core: {name} broke down: {core.write_error}")
        if moved:
            assert node.machine is not None
            self.judge.state(name, node.machine.configuration)
            self.wake_module(node)

    def told(self, name: str, step: Completed) -> None:
        """What a proposer at this copy is told."""

    def wake(self, name: str, start: int, at: float) -> None:
        """The time it asked for."""
        if self.nodes[name].starts == start and self.nodes[name].wake == at:
            self.nodes[name].wake = 0.0
            self.give(name)

    def share_snapshot(self, core: Core) -> None:
        """Copies that took the same snapshot hold its bytes once."""
        if core.snapshot is not None:
            state = core.snapshot.state
            state = self.snapshots.setdefault((core.snapshot.index, hash(state)), state)
            core.snapshot = msgspec.structs.replace(core.snapshot, state=state)

    # The decision module

    def wake_module(self, node: Node) -> None:
        """Let its next loop turn come."""
        if not node.turning:
            node.turning = True
            self.at(max(self.now, node.stalled) + TURN, self.module_turn, node.name, node.starts)

    def module_turn(self, name: str, start: int) -> None:
        """One loop turn of it, and another as long as it has not been told all."""
        node = self.nodes[name]
        if node.starts != start or node.module is None:
            return
        node.turning = False
        if node.stalled <= self.now:
            for event in node.module.turn():
                self.judge.module(name, event, self.now)
                if isinstance(event, ToldAll):
                    self.give(name, VersionInForce(event.version))
        if node.module is not None and node.module.busy:
            self.wake_module(node)

    # The disk

    def begin_write(self, node: Node) -> None:
        """One write at a time."""
        if not node.writing:
            node.writing = True
            self.at(self.now + self.rng.uniform(0.2, MOST_DISK), self.write, node.name, node.starts)

    def write(self, name: str, start: int) -> None:
        """The disk does what waits, as one write."""
        node = self.nodes[name]
        if node.starts != start or node.core is None:
            return
        if node.stalled > self.now:
            return self.at(node.stalled, self.write, name, start)
        writes, node.writes, node.writing = node.writes, [], False
        node.folder.write(writes)
        self.give(name, Written(writes[-1].token))

    # The network

    def send(self, sender: str, post: Send) -> None:
        """Carry a message, or not."""
        size = len(encode(post.envelope))
        traffic = self.nodes[sender].traffic
        traffic.sent += 1
        traffic.sent_bytes += size
        self.judge.sent(sender, post, size)
        delay = self.network.delay(sender, post.to)
        if delay is not None:
            self.at(self.now + delay, self.arrive, sender, post.to, post.envelope, size)

    def arrive(self, sender: str, to: str, envelope: Envelope, size: int) -> None:
        """It comes."""
        node = self.nodes[to]
        if node.core is not None:
            node.traffic.received += 1
            node.traffic.received_bytes += size
            self.give(to, Received(sender, envelope))
