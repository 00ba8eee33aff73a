"""Plans place as much, as cheaply, as a linear program does; no taker over its room; stated share kept."""

from __future__ import annotations

from random import Random

import highspy
import pytest

from brassweir.sites import planning
from brassweir.sites.flow import Flow
from brassweir.sites.planning import FILL, TENTHS, TIER, SiteLoad


def drawn(rng: Random) -> tuple[SiteLoad, ...]:
    names = [f"s{i}" for i in range(rng.randint(2, 5))]
    rooms = []
    for name in names:
        others = [one for one in names if one != name and rng.random() < 0.9]
        rng.shuffle(others)
        cut = rng.randint(0, len(others))
        tiers = rng.choice([(), (tuple(others[:cut]), tuple(others[cut:]))])
        listed = rng.uniform(50, 2000)
        rooms.append(
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
    return tuple(rooms)


def tiers_of(room: SiteLoad, take: dict[str, float]) -> dict[str, int]:
    tiers = room.tiers or (tuple(take),)
    return {
        site: number for number, tier in reversed(list(enumerate(tiers))) for site in tier if site in take
    }


def by_programme(rooms: tuple[SiteLoad, ...], case: planning.Case) -> tuple[float, float]:
    """The most that can be placed, and the least price of placing so much."""
    give, take = planning.demands(rooms, dict(case))
    pairs = [
        (room.site, site, tier * TIER)
        for room in rooms
        if room.site in give
        for site, tier in tiers_of(room, take).items()
    ]
    slices = [(site, float(number)) for site in take for number in range(TENTHS)]
    answers: list[float] = []
    for least in (None, 0.0):
        solver = highspy.Highs()
        solver.silent()
        for *_, price in pairs:
            solver.addCol(-1.0 if least is None else price, 0.0, highspy.kHighsInf, 0, [], [])
        for site, price in slices:
            solver.addCol(0.0 if least is None else price, 0.0, take[site] / TENTHS, 0, [], [])
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


def price(rooms: tuple[SiteLoad, ...], case: planning.Case, flows: dict[tuple[str, str], float]) -> float:
    _, take = planning.demands(rooms, dict(case))
    total = sum(
        rate * TIER * tiers_of(room, take)[to]
        for room in rooms
        for (home, to), rate in flows.items()
        if home == room.site
    )
    for site, room_there in take.items():
        got = sum(rate for (_, to), rate in flows.items() if to == site)
        for number in range(TENTHS):
            part = min(got, room_there / TENTHS)
            total, got = total + part * number, got - part
    return total


@pytest.mark.parametrize("seed", range(12))
def test_a_plan_is_as_good_as_a_linear_program(seed: int) -> None:
    rooms = drawn(Random(seed))
    for case in planning.cases(room.site for room in rooms):
        flows = planning.placed(rooms, case)
        total, cheapest = by_programme(rooms, case)
        assert sum(flows.values()) == pytest.approx(total, rel=1e-6, abs=1e-4)
        assert price(rooms, case, flows) == pytest.approx(cheapest, rel=1e-5, abs=1e-2)
        give, take = planning.demands(rooms, dict(case))
        for site, room in take.items():
            assert sum(rate for (_, to), rate in flows.items() if to == site) <= room + 1e-6
        for room_ in rooms:
            assert (
                sum(rate for (home, _), rate in flows.items() if home == room_.site)
                <= room_.spill * room_.load + 1e-6
            )


def test_a_greedy_flow_is_seen_by_the_same_comparison(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Flow, "edge", _no_way_back(Flow.edge))  # type: ignore[no-untyped-call]
    worse = 0
    for seed in range(12):
        rooms = drawn(Random(seed))
        for case in planning.cases(room.site for room in rooms):
            flows = planning.placed(rooms, case)
            total, cheapest = by_programme(rooms, case)
            worse += sum(flows.values()) < total - 1e-3 or price(rooms, case, flows) > cheapest + 1e-1
    assert worse > 0


def _no_way_back(edge):  # type: ignore[no-untyped-def]
    def made(self, start, end, most, cost):  # type: ignore[no-untyped-def]
        number = edge(self, start, end, most, cost)
        self.out[self.node(end)].remove(number + 1)
        return number

    return made


def test_takers_fill_alike_and_by_preference() -> None:
    rooms = (
        SiteLoad("a", 600.0, 1000.0, spill=0.5),
        SiteLoad("b", 400.0, 1000.0),
        SiteLoad("c", 700.0, 1000.0),
    )
    flows = planning.placed(rooms, planning.case_of({"a": 0.0}))
    room = {"b": FILL * 1000 - 400, "c": FILL * 1000 - 700}
    fills = [flows["a", site] / room[site] for site in room]
    assert sum(flows.values()) == pytest.approx(300.0) and abs(fills[0] - fills[1]) <= 1.0 / TENTHS + 1e-9
    first = (SiteLoad("a", 600.0, 1000.0, spill=1.0, tiers=(("c",), ("b",))), *rooms[1:])
    assert planning.placed(first, planning.case_of({"a": 0.0})) == pytest.approx(
        {("a", "c"): 270.0, ("a", "b"): 330.0}
    )


def test_a_new_plan_is_asked_for_only_by_a_change_that_matters() -> None:
    rooms = (SiteLoad("a", 600.0, 1000.0), SiteLoad("b", 400.0, 1000.0))
    assert not planning.plan_outdated(rooms, (SiteLoad("a", 615.0, 1000.0), rooms[1]))
    assert planning.plan_outdated(rooms, (SiteLoad("a", 625.0, 1000.0), rooms[1])) and planning.plan_outdated(
        rooms, rooms[:1]
    )
    assert planning.plan_outdated(rooms, (SiteLoad("a", 600.0, 1000.0, warm=0.5), rooms[1]))
