"""Where a site's load goes when the site is lost, computed in advance for each loss and each second loss
after it.

In each case as much load is transferred as the configured share and the takers' headroom allow. Among the
ways to do so, the plan follows the tiers of preference, and within a tier it fills takers evenly (by tenths
of their headroom). The result is exact: a linear program gives the same. No taker is filled over ``FILL`` of
its capacity, its own load included.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import permutations

from brassweir.sites.facts import Plan
from brassweir.sites.flow import EPSILON, Flow

FILL = 0.97  # of a taker's capacity: its own load varies by a few per cent within seconds
SLACK = 1.5  # x the rate placed at a taker that has headroom: demand differs between copies
SLICES = 10  # of a taker's headroom, each dearer than the one before: takers fill evenly to within one
TIER_COST = 100.0  # of a tier over the one before; greater than any cost of a slice
HALF = 0.5  # what is left of a site in the precomputed cases of a partial loss
MIN_CHANGE = 0.02  # change of load or capacity, as a share of capacity, that needs a new plan

Case = frozenset[tuple[str, float]]


@dataclass(frozen=True, slots=True)
class SiteLoad:
    """What one site can serve and what it serves.

    ``listed`` 0: unknown, then ``served`` counts. ``full_at``: the rate at which it last rejected calls.
    ``connections`` 0: no known limit; ``call_ms``: duration of one call.
    """

    site: str
    load: float
    listed: float = 0.0
    served: float = 0.0
    full_at: float = 0.0
    connections: int = 0
    call_ms: float = 100.0
    warm: float = 1.0  # share of its capacity that it can serve now, less than 1 if it is cold
    spill: float = 0.8  # the configured share of its load that may be transferred
    tiers: tuple[tuple[str, ...], ...] = ()  # takers by preference; empty: all others alike

    @property
    def capacity(self) -> float:
        """Calls a second that it can serve, over all copies."""
        most = self.listed or self.served
        if self.full_at:
            most = min(most, self.full_at)
        if self.connections:
            most = min(most, self.connections * 1000.0 / self.call_ms)
        return most * self.warm


def case_of(left: Mapping[str, float]) -> Case:
    """The key of a case: what is left of each site that is not complete."""
    return frozenset((site, part) for site, part in left.items() if part < 1.0)


def cases(sites: Iterable[str]) -> list[Case]:
    """All cases that are computed: each site lost or half lost, and each lost with a second one lost or
    half lost."""
    names = sorted(sites)
    result = [case_of({site: part}) for site in names for part in (0.0, HALF)]
    result += [
        case_of({first: 0.0, second: part})
        for first, second in permutations(names, 2)
        for part in (0.0, HALF)
    ]
    return list(dict.fromkeys(result))


def demands(
    loads: Iterable[SiteLoad], left: Mapping[str, float]
) -> tuple[dict[str, float], dict[str, float]]:
    """What each damaged site may transfer, and the headroom of each complete one."""
    give, take = {}, {}
    for entry in loads:
        part = left.get(entry.site, 1.0)
        headroom = FILL * entry.capacity * part
        if part < 1.0:
            give[entry.site] = min(max(0.0, entry.load - headroom), entry.spill * entry.load)
        else:
            take[entry.site] = max(0.0, headroom - entry.load)
    return give, take


def placed(loads: tuple[SiteLoad, ...], case: Case) -> dict[tuple[str, str], float]:
    """The rate from each damaged site to each taker in entry case."""
    give, take = demands(loads, dict(case))
    flow, edges = Flow(), {}
    for entry in loads:
        if entry.site not in give:
            continue
        flow.edge("from", ("give", entry.site), give[entry.site], 0.0)
        tiers = entry.tiers or (tuple(site for site in take if site != entry.site),)
        for number, tier in enumerate(tiers):
            for site in tier:
                if site in take and (entry.site, site) not in edges:
                    edges[entry.site, site] = flow.edge(
                        ("give", entry.site),
                        ("take", site),
                        min(give[entry.site], take[site]),
                        TIER_COST * number,
                    )
    for site, headroom in take.items():
        for slice_ in range(SLICES):
            flow.edge(("take", site), "to", headroom / SLICES, float(slice_))
    flow.run("from", "to")
    return {pair: flow.used(edge) for pair, edge in edges.items() if flow.used(edge) > EPSILON}


def allowed(loads: tuple[SiteLoad, ...], case: Case) -> dict[tuple[str, str], float]:
    """What may go from each damaged site to each taker: the rate placed, times up to ``SLACK`` where the
    taker has headroom.

    Demand differs between copies and some are dead; the slack lets the others use what these leave.
    """
    flows = placed(loads, case)
    _, take = demands(loads, dict(case))
    got = {site: sum(rate for (_, taker), rate in flows.items() if taker == site) for site in take}
    return {
        (home, taker): rate * max(1.0, min(SLACK, take[taker] / got[taker]))
        for (home, taker), rate in flows.items()
    }


def make_plan(version: int, loads: tuple[SiteLoad, ...]) -> Plan:
    """The plan with all cases for these loads."""
    return Plan(version, {case: allowed(loads, case) for case in cases(entry.site for entry in loads)})


def plan_outdated(before: tuple[SiteLoad, ...], now: tuple[SiteLoad, ...]) -> bool:
    """Whether loads or capacities changed enough to need a new plan."""
    known = {entry.site: entry for entry in before}
    return known.keys() != {entry.site for entry in now} or any(
        max(abs(entry.load - known[entry.site].load), abs(entry.capacity - known[entry.site].capacity))
        > MIN_CHANGE * max(entry.capacity, 1.0)
        for entry in now
    )
