"""How long changes are late as the leader of the agreed log is lost: real cores on a calm simulated network."""

from __future__ import annotations

import statistics

from benchmarks.capacity.measurement import Axis, Figure, Kind, Measurement, Point, Role
from benchmarks.capacity.target import IN_FORCE
from brassweir.lab.models.logworld import World

SETTLE = 10_000.0  # ms
PATIENCE = 30_000.0  # ms after which something has gone wrong
TRIALS = 16
VOTERS = 3

LEADER_LOST = Figure(
    "leader_lost_entry",
    "ms",
    Role.CONTROL,
    "the leader is killed: until an entry of the next has reached the last other, mean of trials",
    (Axis.SENDERS,),
    ("1", "log N"),
    Kind.SIMULATED,
    IN_FORCE * 1_000.0,
    mechanism="agreed log; learners leave a feeder that does not answer",
)
FIGURES: tuple[Figure, ...] = (LEADER_LOST,)


def measure(point: Point, seconds: float) -> list[Measurement]:
    """Some lost leaders; bounded by their number, not by ``seconds``."""
    lost = [_leader_lost(seed, point.senders - VOTERS) for seed in range(TRIALS)]
    method = f"{point.senders} cores, mean of seeds 0 to {TRIALS - 1}; the longest {max(lost):g} ms"
    return [Measurement(LEADER_LOST.name, point, statistics.mean(lost), method)]


def _leader_lost(seed: int, learners: int) -> float:
    """Ms from the leader's end until an entry, given to the next leader at once, stands at all other copies."""
    world = World(seed, VOTERS, learners)
    world.run(SETTLE + 100.0 * seed)
    leader = world.leader()
    if leader is None:
        raise RuntimeError("no leader on a calm network")
    cores = [node.core for name, node in world.nodes.items() if name != leader and node.core is not None]
    wanted = max(core.commit_index for core in cores) + 1
    world.crash(leader, "lost", -1.0)
    start, proposed = world.now, False
    while min(core.applied_index for core in cores) < wanted:
        if world.now > start + PATIENCE:
            raise RuntimeError("no entry after the leader was lost")
        world.run(world.now + 10.0)
        following = world.leader()
        if following is not None and not proposed:
            proposed = True
            world.propose(following, PATIENCE)
    return world.now - start
