"""How long copies, zones and regions are missed: real cores on the simulated network."""

from __future__ import annotations

import statistics
from collections.abc import Collection

from benchmarks.capacity.measurement import Axis, Figure, Kind, Measurement, Point, Role
from brassweir.lab.models.peernet import Net
from brassweir.peers.copies import Copy

ZONES, REGIONS = 10, 3
SETTLE = 10_000.0  # ms
PATIENCE = 15_000.0  # ms after which something has gone wrong
LOOK = 20.0  # ms between two looks
CUT = 20_000.0  # ms that a region is cut off: long enough for all to count as dead
LEAST_CUT = 60  # copies; regions of less than some twenty are known sooner than the law of larger ones says
COPIES, MOST_FLEETS = 1_320, 12  # so many copies are played in all, in so many fleets at most
LATER_LIFE = 1_790_000_000_000
AXES = (Axis.SENDERS,)


def _figure(name: str, what: str, terms: tuple[str, ...]) -> Figure:
    return Figure(
        name, "ms", Role.SENDER, what, AXES, terms, Kind.SIMULATED, mechanism="peers and agreed log"
    )


GROWS = ("1", "log N")
PAIRS = ("1", "N*N")  # each copy inside suspects each outside, and has to work through them
STORM = ("1", "log N", "N")  # as many suspicions as copies have to be worked through
COPY_LOST = _figure("copy_lost_known", "a copy is killed: until the last other shows it dead", GROWS)
ZONE_LOST = _figure(
    "zone_lost_known",
    "a tenth of all is killed at once: until the last other shows the last of them dead",
    GROWS,
)
ZONE_BACK = _figure("zone_back_known", "that tenth starts again at once: until all show all alive", GROWS)
REGION_CUT = _figure(
    "region_cut_known", "a third of all is cut off: until each shows the other side dead", PAIRS
)
REGION_BACK = _figure("region_back_known", "the cut ends: until all show all alive", STORM)
FIGURES: tuple[Figure, ...] = (
    COPY_LOST,
    ZONE_LOST,
    ZONE_BACK,
    REGION_CUT,
    REGION_BACK,
)


def measure(point: Point, seconds: float) -> list[Measurement]:
    """Each outage in turn, in some fleets; bounded by the outages, not by ``seconds``."""
    count = max(1, min(MOST_FLEETS, COPIES // point.senders))
    played = [_play(point.senders, seed) for seed in range(2, 2 + count)]
    method = (
        f"{point.senders} cores on the simulated network, mean of {count} fleets, looked at each {LOOK:g} ms"
    )
    return [
        Measurement(figure.name, point, statistics.mean(one[figure.name] for one in played), method)
        for figure in FIGURES
        if figure is not REGION_CUT or point.senders >= LEAST_CUT
    ]


def _play(senders: int, seed: int) -> dict[str, float]:
    """How long each outage of one fleet was in the making, by figure."""
    fleet = _fleet(senders)
    net = Net(fleet, seed)
    net.start_all()
    net.run(SETTLE)
    found = {
        COPY_LOST.name: _killed(net, [fleet[-1].name]),
        ZONE_LOST.name: _killed(net, _zone(fleet)),
        ZONE_BACK.name: _restarted(net, [fleet[-1].name, *_zone(fleet)]),
    }
    return found | _cut(net, fleet)


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


def _cut(net: Net, fleet: list[Copy]) -> dict[str, float]:
    inside = [copy.name for copy in fleet if copy.region == "r1"]
    outside = [copy.name for copy in fleet if copy.region != "r1"]
    net.cut(inside, outside, both=True)
    start = net.clock.now()
    known = _wait(net, dict.fromkeys(outside, "dead"), inside)
    known += _wait(net, dict.fromkeys(inside, "dead"), outside)
    net.run(max(0.0, start + CUT - net.clock.now()))
    net.cuts.clear()
    everyone = inside + outside
    back = _wait(net, dict.fromkeys(everyone, "alive"), everyone)
    return {REGION_CUT.name: known, REGION_BACK.name: back}
