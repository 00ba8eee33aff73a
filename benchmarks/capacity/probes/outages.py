"""How long copies, zones, regions and the leader are missed: real cores on the simulated network."""

from __future__ import annotations

import statistics
from collections.abc import Collection

from benchmarks.capacity.measurement import Axis, Figure, Kind, Measurement, Point, Role
from benchmarks.capacity.target import IN_FORCE
from brassweir.lab.models.logworld import World
from brassweir.lab.models.peernet import Net
from brassweir.peers.copies import Copy

ZONES, REGIONS = 10, 3
SETTLE = 10_000.0  # ms
PATIENCE = 15_000.0  # ms after which something has gone wrong
LOOK = 100.0  # ms between two looks
CUT = 20_000.0  # ms that a region is cut off: long enough for all to count as dead
TRIALS = 16  # leaders that are lost
VOTERS = 3
LATER_LIFE = 1_790_000_000_000
AXES = (Axis.SENDERS,)


def _figure(
    name: str, what: str, terms: tuple[str, ...], budget: float | None = None, role: Role = Role.SENDER
) -> Figure:
    return Figure(
        name, "ms", role, what, AXES, terms, Kind.SIMULATED, budget, mechanism="peers and agreed log"
    )


GROWS = ("1", "log N")
COPY_LOST = _figure("copy_lost_known", "a copy is killed: until the last other shows it dead", GROWS)
ZONE_LOST = _figure(
    "zone_lost_known",
    "a tenth of all is killed at once: until the last other shows the last of them dead",
    GROWS,
)
ZONE_BACK = _figure("zone_back_known", "that tenth starts again at once: until all show all alive", GROWS)
REGION_CUT = _figure(
    "region_cut_known", "a third of all is cut off: until each shows the other side dead", GROWS
)
REGION_BACK = _figure("region_back_known", "the cut ends: until all show all alive", GROWS)
LEADER_LOST = _figure(
    "leader_lost_mean",
    "the leader is killed: until an entry of the next has reached all others, mean of trials",
    GROWS,
    role=Role.CONTROL,
)
LEADER_MOST = _figure(
    "leader_lost_most", "the same, the longest of the trials", GROWS, IN_FORCE * 1_000.0, Role.CONTROL
)
FIGURES: tuple[Figure, ...] = (
    COPY_LOST,
    ZONE_LOST,
    ZONE_BACK,
    REGION_CUT,
    REGION_BACK,
    LEADER_LOST,
    LEADER_MOST,
)


def measure(point: Point, seconds: float) -> list[Measurement]:
    """Each outage in turn; bounded by the outages, not by ``seconds``."""
    fleet = _fleet(point.senders)
    net = Net(fleet, seed=2)
    net.start_all()
    net.run(SETTLE)
    spans = [
        (COPY_LOST, _killed(net, [fleet[-1].name])),
        (ZONE_LOST, _killed(net, _zone(fleet))),
        (ZONE_BACK, _restarted(net, [fleet[-1].name, *_zone(fleet)])),
    ]
    spans += _cut(net, fleet)
    method = f"{point.senders} cores on the simulated network, seed 2, looked at each {LOOK:g} ms"
    lost = [_leader_lost(seed, point.senders - VOTERS) for seed in range(TRIALS)]
    trials = f"{point.senders} cores of the log, seeds 0 to {TRIALS - 1}"
    found = [Measurement(figure.name, point, span, method) for figure, span in spans]
    found.append(Measurement(LEADER_LOST.name, point, statistics.mean(lost), trials))
    found.append(Measurement(LEADER_MOST.name, point, max(lost), trials))
    return found


def _fleet(copies: int) -> list[Copy]:
    """So many copies in ten zones of three regions."""
    return [
        Copy(
            f"c{number:03d}",
            f"z{number % ZONES}",
            f"r{number % ZONES % REGIONS}",
            f"127.0.0.1:{7001 + number}",
        )
        for number in range(copies)
    ]


def _zone(fleet: list[Copy]) -> list[str]:
    return [copy.name for copy in fleet if copy.site == "z1"]


def _wait(net: Net, shown: dict[str, str], watchers: Collection[str]) -> float:
    """Ms until each watcher's view of each other copy in ``shown`` is as it says there."""
    start = net.clock.now()
    while True:
        if all(_shows(net, who, shown) for who in watchers):  # one by one: views of all are dear
            return max(net.clock.now() - start, LOOK)
        if net.clock.now() > start + PATIENCE:
            raise RuntimeError("the copies did not agree in time")
        net.run(LOOK)


def _shows(net: Net, who: str, shown: dict[str, str]) -> bool:
    states = net.nodes[who].core.view().states
    return all(states.get(name) == state for name, state in shown.items() if name != who)


def _killed(net: Net, names: list[str]) -> float:
    for name in names:
        net.kill(name)
    return _wait(net, dict.fromkeys(names, "dead"), sorted(set(net.views()) - set(names)))


def _restarted(net: Net, names: list[str]) -> float:
    for name in names:
        net.start(name, LATER_LIFE)
    everyone = [copy.name for copy in net.copies]
    return _wait(net, dict.fromkeys(everyone, "alive"), everyone)


def _cut(net: Net, fleet: list[Copy]) -> list[tuple[Figure, float]]:
    inside = [copy.name for copy in fleet if copy.region == "r1"]
    outside = [copy.name for copy in fleet if copy.region != "r1"]
    net.cut(inside, outside, both=True)
    start = net.clock.now()
    known = _wait(net, dict.fromkeys(outside, "dead"), inside)
    known += _wait(net, dict.fromkeys(inside, "dead"), outside)
    net.run(max(0.0, start + CUT - net.clock.now()))
    net.cuts.clear()
    everyone = inside + outside
    return [(REGION_CUT, known), (REGION_BACK, _wait(net, dict.fromkeys(everyone, "alive"), everyone))]


def _leader_lost(seed: int, learners: int) -> float:
    """Ms from the leader's end until an entry, given to the next leader at once, stands at all other copies."""
    world = World(seed, VOTERS, learners)
    world.run(SETTLE + 100.0 * seed)
    leader = world.leader()
    if leader is None:
        raise RuntimeError("no leader on a calm network")
    cores = [node.core for name, node in world.nodes.items() if name != leader and node.core is not None]
    wanted = max(core.agreed for core in cores) + 1
    world.crash(leader, "lost", -1.0)
    start, proposed = world.now, False
    while min(core.applied for core in cores) < wanted:
        if world.now > start + 2.0 * PATIENCE:
            raise RuntimeError("no entry after the leader was lost")
        world.run(world.now + 10.0)
        following = world.leader()
        if following is not None and not proposed:
            proposed = True
            world.propose(following, PATIENCE)
    return world.now - start
