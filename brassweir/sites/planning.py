"""Where a site's load goes when it is lost, worked out beforehand for each loss and each second loss after
it.

For each case: the most load is placed that the stated share and the takers' headroom allow; of all ways to
do so the one by the tiers of preference, and within a tier the one that fills takers evenly (by tenths of
their headroom). Exact: a linear program gives the same. No taker is filled over ``FILL`` of its capacity,
its own load counted.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import permutations

from brassweir.sites.facts import Plan
from brassweir.sites.flow import TINY, Flow

FILL = 0.97  # of its capacity that a taker is planned to: its own load moves by some per cent within seconds
SLACK = 1.5  # x what is placed at a taker with room: copies differ by some thirds in what they are asked
TENTHS = 10  # equal slices of a headroom, the fuller the dearer: takers fill evenly to within one
TIER = 100.0  # price of a tier over the one before, over any price of fullness
HALF = 0.5  # what is left of a second site that goes in part: the case that is worked out beforehand
CHANGED = 0.02  # share of a site's capacity by which its load or room must move for a new plan

Case = frozenset[tuple[str, float]]


@dataclass(frozen=True, slots=True)
class SiteLoad:
    """What one site bears and carries. ``listed`` 0: unknown, then what was ``served`` counts.
    ``full_at``: the rate at which it last turned calls away. ``connections`` 0: no known limit;
    ``call_ms``: of one call."""

    site: str
    load: float
    listed: float = 0.0
    served: float = 0.0
    full_at: float = 0.0
    connections: int = 0
    call_ms: float = 100.0
    warm: float = 1.0  # share of its capacity that it bears now, if it is cold itself
    spill: float = 0.8  # the stated share of its load that may go elsewhere
    tiers: tuple[tuple[str, ...], ...] = ()  # takers by preference; none named: all others alike

    @property
    def capacity(self) -> float:
        """Calls a second that it takes from all copies."""
        most = self.listed or self.served
        if self.full_at:
            most = min(most, self.full_at)
        if self.connections:
            most = min(most, self.connections * 1000.0 / self.call_ms)
        return most * self.warm


def case_of(left: Mapping[str, float]) -> Case:
    """The name of a case: what is left of each site that is not whole."""
    return frozenset((site, part) for site, part in left.items() if part < 1.0)


def cases(sites: Iterable[str]) -> list[Case]:
    """All that is worked out beforehand: each site lost or half lost; each lost, and half or all of a
    second."""
    names = sorted(sites)
    found = [case_of({one: part}) for one in names for part in (0.0, HALF)]
    found += [
        case_of({first: 0.0, second: part})
        for first, second in permutations(names, 2)
        for part in (0.0, HALF)
    ]
    return list(dict.fromkeys(found))


def demands(
    rooms: Iterable[SiteLoad], left: Mapping[str, float]
) -> tuple[dict[str, float], dict[str, float]]:
    """What each broken site may give away, and what each whole one has room for."""
    give, take = {}, {}
    for one in rooms:
        part = left.get(one.site, 1.0)
        room = FILL * one.capacity * part
        if part < 1.0:
            give[one.site] = min(max(0.0, one.load - room), one.spill * one.load)
        else:
            take[one.site] = max(0.0, room - one.load)
    return give, take


def placed(rooms: tuple[SiteLoad, ...], case: Case) -> dict[tuple[str, str], float]:
    """The rate from each broken site to each taker in one case."""
    give, take = demands(rooms, dict(case))
    flow, edges = Flow(), {}
    for one in rooms:
        if one.site not in give:
            continue
        flow.edge("from", ("give", one.site), give[one.site], 0.0)
        tiers = one.tiers or (tuple(site for site in take if site != one.site),)
        for number, tier in enumerate(tiers):
            for site in tier:
                if site in take and (one.site, site) not in edges:
                    edges[one.site, site] = flow.edge(
                        ("give", one.site), ("take", site), min(give[one.site], take[site]), TIER * number
                    )
    for site, room in take.items():
        for slice_ in range(TENTHS):
            flow.edge(("take", site), "to", room / TENTHS, float(slice_))
    flow.run("from", "to")
    return {pair: flow.used(edge) for pair, edge in edges.items() if flow.used(edge) > TINY}


def allowed(rooms: tuple[SiteLoad, ...], case: Case) -> dict[tuple[str, str], float]:
    """What may go from each broken site to each taker: what is placed, and up to ``SLACK`` of it where the
    taker has room to spare, so that copies with more demand than others, and dead ones, waste less."""
    flows = placed(rooms, case)
    _, take = demands(rooms, dict(case))
    got = {site: sum(rate for (_, taker), rate in flows.items() if taker == site) for site in take}
    return {
        (home, taker): rate * max(1.0, min(SLACK, take[taker] / got[taker]))
        for (home, taker), rate in flows.items()
    }


def make_plan(version: int, rooms: tuple[SiteLoad, ...]) -> Plan:
    """All cases for these loads."""
    return Plan(version, {case: allowed(rooms, case) for case in cases(one.site for one in rooms)})


def plan_outdated(before: tuple[SiteLoad, ...], now: tuple[SiteLoad, ...]) -> bool:
    """Have loads or room changed so far that the plan is to be worked out anew?"""
    known = {one.site: one for one in before}
    return known.keys() != {one.site for one in now} or any(
        max(abs(one.load - known[one.site].load), abs(one.capacity - known[one.site].capacity))
        > CHANGED * max(one.capacity, 1.0)
        for one in now
    )
