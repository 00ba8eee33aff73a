"""What the agreed log and its feed tree cost each copy: the real cores, three voters, on the simulated network."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from random import Random

from benchmarks.capacity.measurement import Axis, Figure, Kind, Measurement, Point, Role
from brassweir.agreed import commands, timing
from brassweir.agreed.core import Core
from brassweir.agreed.facts import Fact
from brassweir.agreed.machine import Machine
from brassweir.agreed.messages import COMMAND, Entry
from brassweir.agreed.records import NOBODY, Base, Identity, Kept
from brassweir.lab.models.logworld import Weather, World
from brassweir.lab.models.peernet import HEADERS
from brassweir.peers.wire import Keys, Wire

VOTERS = 3
SETTLE = 20_000.0  # ms until a leader is found and the feed tree has grown
MOST_SECONDS = 60.0  # of simulated time
PROPOSALS = 8
PROPOSAL_SPAN = 2_000.0  # ms from one proposal to the next
BAD = Weather(loss=0.2, low=200.0, high=205.0)
BAD_PROPOSALS = 16
BAD_SPAN = 30_000.0  # ms that a proposal may take then
ENTRY = 200  # bytes of a command, about that of a renewal of leases
KEY = Keys([b"a key of the simulated network"])
AXES = (Axis.SENDERS,)
TREE = "feed tree of the agreed log"


def _figure(name: str, unit: str, role: Role, what: str, terms: tuple[str, ...] = ("1",)) -> Figure:
    return Figure(name, unit, role, what, AXES, terms, Kind.SIMULATED, mechanism=TREE)


BOTH_WAYS = "idle, both ways, sealed, with UDP headers"
LEARNER_BYTES = _figure(
    "log_learner_bytes", "bytes/s", Role.SENDER, f"log at a sender that feeds none, {BOTH_WAYS}"
)
LEARNER_MESSAGES = _figure("log_learner_messages", "messages/s", Role.SENDER, "the same, sent and received")
LEARNER_CPU = _figure("log_learner_cpu", "cores", Role.SENDER, "the same, without system calls")
FEEDER_BYTES = _figure(
    "log_feeder_bytes", "bytes/s", Role.RELAY, f"log at a copy with 12 learners, {BOTH_WAYS}"
)
FEEDER_MESSAGES = _figure("log_feeder_messages", "messages/s", Role.RELAY, "the same, sent and received")
FEEDER_CPU = _figure("log_feeder_cpu", "cores", Role.RELAY, "the same, without system calls")
LEADER_BYTES = _figure("log_leader_bytes", "bytes/s", Role.CONTROL, f"log at the leader, {BOTH_WAYS}")
LEADER_MESSAGES = _figure("log_leader_messages", "messages/s", Role.CONTROL, "the same, sent and received")
LEADER_CPU = _figure("log_leader_cpu", "cores", Role.CONTROL, "the same, without system calls")
ENTRY_TIME = _figure(
    "log_entry_time",
    "ms",
    Role.RELAY,
    "from a proposal at a learner to the last copy that applied it, calm",
    ("1", "log N"),
)
ENTRY_BAD_TIME = _figure(
    "log_entry_bad_time",
    "ms",
    Role.RELAY,
    "the same with a fifth of messages lost and 200 ms late",
    ("1", "log N"),
)
MEMORY = Figure(
    "log_memory",
    "MB",
    Role.SENDER,
    f"a core with {timing.SNAP_EVERY + timing.KEEP:,} entries of {ENTRY} bytes, the most between two snapshots, and its machine",
    AXES,
    ("1", "N"),
    Kind.MEASURED,
    mechanism=TREE,
)
FIGURES: tuple[Figure, ...] = (
    LEARNER_BYTES,
    LEARNER_MESSAGES,
    LEARNER_CPU,
    FEEDER_BYTES,
    FEEDER_MESSAGES,
    FEEDER_CPU,
    LEADER_BYTES,
    LEADER_MESSAGES,
    LEADER_CPU,
    ENTRY_TIME,
    ENTRY_BAD_TIME,
    MEMORY,
)


class Usage:
    """What one copy has sent, received and computed."""

    def __init__(self) -> None:
        self.messages = 0
        self.bytes = 0
        self.cpu = 0.0


class MeteredWorld(World):
    """The simulated members, with bytes counted at both ends and processor time by copy."""

    def __init__(self, learners: int) -> None:
        self.usage: dict[str, Usage] = {}
        self.metering = False
        super().__init__(1, VOTERS, learners)
        wire = Wire(self.names[0], 1_780_000_000_000, KEY)
        self.envelope = (
            len(wire.seal(self.names[-1], "log", b"")) + 2 + HEADERS
        )  # a body's length takes up to 3

    def arrive(self, sender: str, to: str, body: bytes) -> None:
        """A message comes."""
        for name in (sender, to):
            usage = self.usage.setdefault(name, Usage())
            usage.messages += 1
            usage.bytes += len(body) + self.envelope
        before = time.process_time()
        self.metering = True
        super().arrive(sender, to, body)
        self.metering = False
        self.usage[to].cpu += time.process_time() - before

    def give(self, name: str, *facts: Fact) -> None:
        """A copy steps: by a message, or by its own time."""
        if self.metering:
            super().give(name, *facts)
            return
        before = time.process_time()
        super().give(name, *facts)
        self.usage.setdefault(name, Usage()).cpu += time.process_time() - before


def measure(point: Point, seconds: float) -> list[Measurement]:
    """Idle copies for so many simulated seconds, then some proposals, then memory."""
    world = MeteredWorld(point.senders - VOTERS)
    world.run(SETTLE)
    world.usage.clear()
    span = min(seconds, MOST_SECONDS)
    gc.collect()
    gc.disable()  # a process of one copy has little for it
    world.run(world.now + span * 1_000.0)
    gc.enable()
    found = _idle(world, point, span)
    slowest = [_entry_time(world, PROPOSAL_SPAN) for _ in range(PROPOSALS)]
    method = f"{point.senders} cores on the simulated network (0.5 to 3 ms), median of {PROPOSALS} entries"
    found.append(Measurement(ENTRY_TIME.name, point, statistics.median(slowest), method))
    world.weather = BAD
    world.run(world.now + SETTLE)
    slowest = [_entry_time(world, BAD_SPAN) for _ in range(BAD_PROPOSALS)]
    method = f"{point.senders} cores, 20% lost, 200 to 205 ms late, median of {BAD_PROPOSALS} entries"
    found.append(Measurement(ENTRY_BAD_TIME.name, point, statistics.median(slowest), method))
    found.append(Measurement(MEMORY.name, point, _memory(point.senders), "tracemalloc, one core"))
    return found


def _idle(world: MeteredWorld, point: Point, span: float) -> list[Measurement]:
    """The leader, a full feeder if there is one, and the median of learners that feed none."""
    cores = {name: node.core for name, node in world.nodes.items() if node.core is not None}
    leaves = [name for name, core in cores.items() if core.role == "learner" and not core.children]
    full = [name for name, core in cores.items() if len(core.children) == timing.FED]
    places = [
        ([name for name in [world.leader()] if name], (LEADER_BYTES, LEADER_MESSAGES, LEADER_CPU)),
        (full, (FEEDER_BYTES, FEEDER_MESSAGES, FEEDER_CPU)),
        (leaves, (LEARNER_BYTES, LEARNER_MESSAGES, LEARNER_CPU)),
    ]
    method = f"{point.senders} cores on the simulated network, {span:g} idle simulated seconds"
    found = []
    for names, (size, messages, cpu) in places:
        usages = [world.usage[name] for name in names if name in world.usage]
        if usages:
            count = f"{method}, median of {len(usages)}"
            middle = statistics.median
            found.append(Measurement(size.name, point, middle(one.bytes for one in usages) / span, count))
            found.append(
                Measurement(messages.name, point, middle(one.messages for one in usages) / span, count)
            )
            found.append(Measurement(cpu.name, point, middle(one.cpu for one in usages) / span, count))
    return found


def _entry_time(world: MeteredWorld, longest: float) -> float:
    """Ms until an entry that the last learner proposes is applied at the last copy."""
    before = {name: node.core.applied for name, node in world.nodes.items() if node.core is not None}
    wanted = max(before.values()) + 1
    start = world.now
    world.propose(world.names[-1], longest)
    while any(node.core is not None and node.core.applied < wanted for node in world.nodes.values()):
        if world.now > start + longest:
            raise RuntimeError("an entry did not reach all copies in time")
        world.run(world.now + 0.5)
    took = world.now - start
    world.run(max(world.now, start + PROPOSAL_SPAN))
    return took


def _memory(copies: int) -> float:
    """MB of one member's core with a full log and a machine that knows all copies."""
    gc.collect()
    tracemalloc.start()
    machine = Machine()
    for number in range(copies):
        machine.apply(
            number + 1, commands.encode(commands.Join(f"c{number:03d}", f"s{number % 10}", "r1", 1))
        )
    rng = Random(1)
    entries = [
        Entry(place, 1, COMMAND, rng.randbytes(ENTRY), f"c{place % copies:03d}/1", place, place)
        for place in range(1, timing.SNAP_EVERY + timing.KEEP + 1)
    ]
    kept = Kept(identity=Identity("m", "g", 1, 1), base=Base(0, 0, NOBODY, 0), entries=entries)
    core = Core("c000", kept, machine, rng, 0.0, ())
    del entries, kept
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    return size / 1e6 if core.log.last else 0.0
