"""What the agreed log and its feed tree cost each copy: the real cores, three voters, on the simulated network."""

from __future__ import annotations

import gc
import statistics
import time
from collections import defaultdict

from benchmarks.capacity.measurement import Axis, Figure, Kind, Measurement, Point, Role
from benchmarks.capacity.probes.processor import slowness
from brassweir.agreed import timing
from brassweir.agreed.events import Event
from brassweir.lab.models.logworld import Weather, World
from brassweir.lab.models.peernet import HEADERS
from brassweir.peers.envelope import EnvelopeCodec, Keys

VOTERS = 3
PARTS = 5  # of the idle time; the median processor time of them counts
SETTLE = 20_000.0  # ms until a leader is found and the feed tree has grown
MOST_SECONDS = 60.0  # of simulated time
PROPOSALS = 8
PROPOSAL_SPAN = 2_000.0  # ms from one proposal to the next
BAD = Weather(loss=0.2, low=200.0, high=205.0)
BAD_PROPOSALS = 16
BAD_SPAN = 30_000.0  # ms that a proposal may take then
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
PASSING_ON = f"passing the log on to one more learner, {BOTH_WAYS}"
CHILD_BYTES = _figure("log_child_bytes", "bytes/s", Role.RELAY, PASSING_ON, ("1", "1/N"))
CHILD_MESSAGES = _figure(
    "log_child_messages", "messages/s", Role.RELAY, "the same, sent and received", ("1", "1/N")
)
CHILD_CPU = _figure("log_child_cpu", "cores", Role.RELAY, "the same, without system calls")
LEADER_BYTES = _figure(
    "log_leader_bytes",
    "bytes/s",
    Role.CONTROL,
    f"log at a leader that feeds {timing.MAX_CHILDREN} learners, {BOTH_WAYS}",
)
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
FIGURES: tuple[Figure, ...] = (
    LEARNER_BYTES,
    LEARNER_MESSAGES,
    LEARNER_CPU,
    CHILD_BYTES,
    CHILD_MESSAGES,
    CHILD_CPU,
    LEADER_BYTES,
    LEADER_MESSAGES,
    LEADER_CPU,
    ENTRY_TIME,
    ENTRY_BAD_TIME,
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
        self.usage: dict[str, Usage] = defaultdict(Usage)
        self.metering = False
        super().__init__(1, VOTERS, learners)
        wire = EnvelopeCodec(self.names[0], 1_780_000_000_000, KEY)
        self.envelope = (
            len(wire.seal(self.names[-1], "log", b"")) + 2 + HEADERS
        )  # a body's length takes up to 3

    def arrive(self, sender: str, to: str, body: bytes) -> None:
        """A message comes."""
        for name in (sender, to):
            usage = self.usage[name]
            usage.messages += 1
            usage.bytes += len(body) + self.envelope
        before = time.process_time()
        self.metering = True
        super().arrive(sender, to, body)
        self.metering = False
        self.usage[to].cpu += time.process_time() - before

    def give(self, name: str, *facts: Event) -> None:
        """A copy steps: by a message, or by its own time."""
        if self.metering:
            super().give(name, *facts)
            return
        before = time.process_time()
        super().give(name, *facts)
        self.usage[name].cpu += time.process_time() - before


def measure(point: Point, seconds: float) -> list[Measurement]:
    """Idle copies for so many simulated seconds, then some proposals."""
    world = MeteredWorld(point.senders - VOTERS)
    world.run(SETTLE)
    span = min(seconds, MOST_SECONDS)
    gc.collect()
    gc.disable()  # a process of one copy has little for it
    usage = [_part(world, span / PARTS * 1_000.0) for _ in range(PARTS)]
    gc.enable()
    found = _idle(world, usage, point, span)
    slowest = [_entry_time(world, PROPOSAL_SPAN) for _ in range(PROPOSALS)]
    method = f"{point.senders} cores on the simulated network (0.5 to 3 ms), median of {PROPOSALS} entries"
    found.append(Measurement(ENTRY_TIME.name, point, statistics.median(slowest), method))
    world.weather = BAD
    world.run(world.now + SETTLE)
    slowest = [_entry_time(world, BAD_SPAN) for _ in range(BAD_PROPOSALS)]
    method = f"{point.senders} cores, 20% lost, 200 to 205 ms late, median of {BAD_PROPOSALS} entries"
    found.append(Measurement(ENTRY_BAD_TIME.name, point, statistics.median(slowest), method))
    return found


def _part(world: MeteredWorld, span: float) -> dict[str, Usage]:
    """What each copy uses in the next so many ms."""
    world.usage = {name: Usage() for name in world.names}
    slow = slowness()
    world.run(world.now + span)
    slow = (slow + slowness()) / 2.0
    for usage in world.usage.values():
        usage.cpu /= slow
    return world.usage


def _idle(world: MeteredWorld, parts: list[dict[str, Usage]], point: Point, span: float) -> list[Measurement]:
    """The median of learners that feed none; what each learner adds at the busiest of them; a full leader."""
    cores = {name: node.core for name, node in world.nodes.items() if node.core is not None}
    leader = world.leader()
    learners = [name for name, core in cores.items() if core.role == "learner"]
    leaves = [name for name in learners if not cores[name].children]
    busiest = max(learners, key=lambda name: len(cores[name].children))
    children = len(cores[busiest].children)
    leaf = _median([_rates(name, parts, span) for name in leaves])
    fed = _rates(busiest, parts, span)
    method = f"{point.senders} cores on the simulated network, {span:g} idle simulated seconds"
    rows: list[tuple[Figure, float, str]] = []
    rows += zip((LEARNER_BYTES, LEARNER_MESSAGES, LEARNER_CPU), leaf, [f"{method}, median"] * 3, strict=True)
    if children:
        each = tuple((more - less) / children for more, less in zip(fed, leaf, strict=True))
        why = f"{method}, a copy that feeds {children} less one that feeds none"
        rows += zip((CHILD_BYTES, CHILD_MESSAGES, CHILD_CPU), each, [why] * 3, strict=True)
    if leader is not None and len(cores[leader].children) >= timing.MAX_CHILDREN:
        led = _rates(leader, parts, span)
        rows += zip((LEADER_BYTES, LEADER_MESSAGES, LEADER_CPU), led, [method] * 3, strict=True)
    return [Measurement(figure.name, point, value, why) for figure, value, why in rows]


def _rates(name: str, parts: list[dict[str, Usage]], span: float) -> tuple[float, float, float]:
    """Bytes, messages and processor time a second; of the last that of the median part."""
    usages = [part[name] for part in parts]
    cpu = statistics.median(usage.cpu for usage in usages) * PARTS
    return (
        sum(usage.bytes for usage in usages) / span,
        sum(usage.messages for usage in usages) / span,
        cpu / span,
    )


def _median(rates: list[tuple[float, float, float]]) -> tuple[float, float, float]:
    sizes, messages, cpu = zip(*rates, strict=True)
    return statistics.median(sizes), statistics.median(messages), statistics.median(cpu)


def _entry_time(world: MeteredWorld, longest: float) -> float:
    """Ms until an entry that the last learner proposes is applied at the last copy."""
    before = {name: node.core.applied_index for name, node in world.nodes.items() if node.core is not None}
    wanted = max(before.values()) + 1
    start = world.now
    world.propose(world.names[-1], longest)
    while any(node.core is not None and node.core.applied_index < wanted for node in world.nodes.values()):
        if world.now > start + longest:
            raise RuntimeError("an entry did not reach all copies in time")
        world.run(world.now + 0.5)
    took = world.now - start
    world.run(max(world.now, start + PROPOSAL_SPAN))
    return took
