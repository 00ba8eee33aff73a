"""Plans place as much, at the same cost, as a linear program, within headroom and the configured share."""

from __future__ import annotations

from random import Random

import highspy
import pytest

from brassweir.sites import planning
from brassweir.sites.flow import Flow
from brassweir.sites.planning import FILL, SLICES, TIER_COST, SiteLoad


def random_loads(rng: Random) -> tuple[SiteLoad, ...]:
    names = [f"s{i}" for i in range(rng.randint(2, 5))]
    loads = []
    for name in names:
        others = [one for one in names if one != name and rng.random() < 0.9]
        rng.shuffle(others)
        cut = rng.randint(0, len(others))
        tiers = rng.choice([(), (tuple(others[:cut]), tuple(others[cut:]))])
        listed = rng.uniform(50, 2000)
        loads.append(
            SiteLoad(
                name,
                listed * rng.uniform(0.1, 1.0),
                listed,
                spill=rng.uniform(0.2, 1.0),
                tiers=tiers,
                connections=rng.choice([0, 30]),
                full_at=rng.choice([0.0, listed * 0.8]),
            )
        )
    return tuple(loads)


def tiers_of(entry: SiteLoad, take: dict[str, float]) -> dict[str, int]:
    tiers = entry.tiers or (tuple(take),)
    return {
        site: number for number, tier in reversed(list(enumerate(tiers))) for site in tier if site in take
    }


def by_linear_program(loads: tuple[SiteLoad, ...], case: planning.Case) -> tuple[float, float]:
    """The largest rate that can be placed, and the least cost of placing it."""
    give, take = planning.demands(loads, dict(case))
    pairs = [
        (entry.site, site, tier * TIER_COST)
        for entry in loads
        if entry.site in give
        for site, tier in tiers_of(entry, take).items()
    ]
    slices = [(site, float(number)) for site in take for number in range(SLICES)]
    answers: list[float] = []
    for least in (None, 0.0):
        solver = highspy.Highs()
        solver.silent()
        for *_, cost in pairs:
            solver.addCol(-1.0 if least is None else cost, 0.0, highspy.kHighsInf, 0, [], [])
        for site, cost in slices:
            solver.addCol(0.0 if least is None else cost, 0.0, take[site] / SLICES, 0, [], [])
        for home, most in give.items():
            row = [i for i, pair in enumerate(pairs) if pair[0] == home]
            solver.addRow(-highspy.kHighsInf, most, len(row), row, [1.0] * len(row))
        for site in take:
            row = [i for i, pair in enumerate(pairs) if pair[1] == site]
            cut = [len(pairs) + i for i, one in enumerate(slices) if one[0] == site]
            solver.addRow(0.0, 0.0, len(row) + len(cut), row + cut, [1.0] * len(row) + [-1.0] * len(cut))
        if least is not None:
            solver.addRow(
                answers[0] - 1e-6, highspy.kHighsInf, len(pairs), list(range(len(pairs))), [1.0] * len(pairs)
            )
        solver.run()
        value = float(solver.getInfo().objective_function_value)
        answers.append(-value if least is None else value)
    return answers[0], answers[1]


def cost(loads: tuple[SiteLoad, ...], case: planning.Case, flows: dict[tuple[str, str], float]) -> float:
    _, take = planning.demands(loads, dict(case))
    total = sum(
        rate * TIER_COST * tiers_of(entry, take)[to]
        for entry in loads
        for (home, to), rate in flows.items()
        if home == entry.site
    )
    for site, headroom in take.items():
        got = sum(rate for (_, to), rate in flows.items() if to == site)
        for number in range(SLICES):
            part = min(got, headroom / SLICES)
            total, got = total + part * number, got - part
    return total


@pytest.mark.parametrize("seed", range(12))
def test_a_plan_is_as_good_as_a_linear_program(seed: int) -> None:
    loads = random_loads(Random(seed))
    for case in planning.cases(entry.site for entry in loads):
        flows = planning.placed(loads, case)
        total, cheapest = by_linear_program(loads, case)
        assert sum(flows.values()) == pytest.approx(total, rel=1e-6, abs=1e-4)
        assert cost(loads, case, flows) == pytest.approx(cheapest, rel=1e-5, abs=1e-2)
        give, take = planning.demands(loads, dict(case))
        for site, headroom in take.items():
            assert sum(rate for (_, to), rate in flows.items() if to == site) <= headroom + 1e-6
        for entry in loads:
            assert (
                sum(rate for (home, _), rate in flows.items() if home == entry.site)
                <= entry.spill * entry.load + 1e-6
            )


def test_the_comparison_detects_a_greedy_flow(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Flow, "edge", _without_residual_edges(Flow.edge))  # type: ignore[no-untyped-call]
    worse = 0
    for seed in range(12):
        loads = random_loads(Random(seed))
        for case in planning.cases(entry.site for entry in loads):
            flows = planning.placed(loads, case)
            total, cheapest = by_linear_program(loads, case)
            worse += sum(flows.values()) < total - 1e-3 or cost(loads, case, flows) > cheapest + 1e-1
    assert worse > 0


def _without_residual_edges(edge):  # type: ignore[no-untyped-def]
    def edge_without_residual(self, start, end, capacity, cost):  # type: ignore[no-untyped-def]
        number = edge(self, start, end, capacity, cost)
        self.edges_from[self.node(end)].remove(number + 1)
        return number

    return edge_without_residual


def test_takers_fill_evenly_and_by_preference() -> None:
    loads = (
        SiteLoad("a", 600.0, 1000.0, spill=0.5),
        SiteLoad("b", 400.0, 1000.0),
        SiteLoad("c", 700.0, 1000.0),
    )
    flows = planning.placed(loads, planning.case_of({"a": 0.0}))
    headroom = {"b": FILL * 1000 - 400, "c": FILL * 1000 - 700}
    fills = [flows["a", site] / headroom[site] for site in headroom]
    assert sum(flows.values()) == pytest.approx(300.0) and abs(fills[0] - fills[1]) <= 1.0 / SLICES + 1e-9
    first = (SiteLoad("a", 600.0, 1000.0, spill=1.0, tiers=(("c",), ("b",))), *loads[1:])
    assert planning.placed(first, planning.case_of({"a": 0.0})) == pytest.approx(
        {("a", "c"): 270.0, ("a", "b"): 330.0}
    )


def test_only_a_large_change_makes_a_plan_outdated() -> None:
    loads = (SiteLoad("a", 600.0, 1000.0), SiteLoad("b", 400.0, 1000.0))
    assert not planning.plan_outdated(loads, (SiteLoad("a", 615.0, 1000.0), loads[1]))
    assert planning.plan_outdated(loads, (SiteLoad("a", 625.0, 1000.0), loads[1])) and planning.plan_outdated(
        loads, loads[:1]
    )
    assert planning.plan_outdated(loads, (SiteLoad("a", 600.0, 1000.0, warm=0.5), loads[1]))
