"""Steps of the view: list entries, reports, admitted demand and the time to retry."""

from __future__ import annotations

from random import Random

from brassweir.interface import EntryState
from brassweir.sites import planning
from brassweir.sites.facts import Demand, Facts, LogState, Outcomes, State
from brassweir.sites.parts import ALONE
from brassweir.sites.steps import AdmissionLimit, EndpointUpdate, OwnStateChanged, SiteStateChanged, Step
from brassweir.sites.view import SitesView
from tests.sites.test_verdict import COPIES, SETUP, WELL

PLAN = planning.make_plan(1, tuple(planning.SiteLoad(site, 120.0, 200.0) for site in "abc"))
LINES = (
    Demand("pay", "x", "b", 6.0, 3.0),
    Demand("news", "y", "b", 7.0),
    Demand("kept", "x", "b", 1.0, 5.0, window=500.0, pinned=True),
    Demand("pay", "x", "a", 13.0),
)


def run(
    view: SitesView, start: float, seconds: float, bad: float, log: dict[str, State] | None, version: int = 1
) -> list[Step]:
    steps: list[Step] = []
    for number in range(int(seconds * 4)):
        now = start + 250.0 * number
        endings = tuple(
            Outcomes(one.name, 2.0 * (1.0 - bad * (one.zone == "b")), 2.0 * bad * (one.zone == "b"))
            for one in SETUP.endpoints
        )
        agreed = LogState(version, now - 20.0, log, plan=PLAN, led_since=-1e9) if log is not None else None
        steps += view.step(now, Facts(endings, agreed=agreed, demand=LINES))
    return steps


def test_a_loss_and_a_return() -> None:
    view = SitesView(SETUP, Random(1))
    run(view, 0.0, 6, 0.0, WELL)
    assert all(rate == float("inf") for rate in view.home.values()) and not view.spill
    steps = run(view, 6_000.0, 6, 1.0, WELL)
    assert SiteStateChanged("b", State.LOST, False) in steps and OwnStateChanged("b", State.LOST) in steps
    entries = {one.info.name: one.info for one in steps if isinstance(one, EndpointUpdate)}
    assert sorted(info.state is EntryState.READY for info in entries.values()) == [False, True], (
        "this copy tries one endpoint"
    )
    assert all(info.zone == "b" and info.rate <= 200.0 for info in entries.values())
    alone = dict(view.spill)
    total = PLAN.cases[planning.case_of({"b": 0.0})]
    assert all(rate <= ALONE * total[pair] / len(COPIES) + 1e-9 for pair, rate in alone.items()) and set(
        alone
    ) == {("b", "a"), ("b", "c")}
    steps = run(view, 12_000.0, 5, 1.0, {**WELL, "b": State.LOST}, version=2)
    assert all(view.spill[pair] > 2 * alone[pair] for pair in alone), (
        "with the log's agreement the full share"
    )
    limits = {one.line.class_name: one for one in steps if isinstance(one, AdmissionLimit)}
    assert (
        limits["kept"].rate == 0.0 and limits["pay"].rate == float("inf") and 0.0 < limits["news"].rate < 7.0
    )
    assert all(1_000.0 < one.retry_after < 60_000.0 for one in limits.values() if one.rate < float("inf"))
    steps = run(view, 17_000.0, 6, 0.0, {**WELL, "b": State.LOST}, version=2)
    assert OwnStateChanged("b", State.RETURNING) in steps and view.state("b") is State.LOST, (
        "the worse state is acted on"
    )
    run(view, 23_000.0, 2, 0.0, {**WELL, "b": State.RETURNING}, version=3)
    assert 0.2 * 200.0 / len(COPIES) <= view.home["b"] < 0.8 * 200.0 / len(COPIES)
    steps = run(view, 25_000.0, 14, 0.0, {**WELL, "b": State.RETURNING}, version=3)
    steps += run(view, 39_000.0, 6, 0.0, WELL, version=4)
    assert (
        SiteStateChanged("b", State.WELL, False) in steps
        and not view.spill
        and view.home["b"] == float("inf")
    )
    assert {one.name for one in SETUP.endpoints if view.reported[one.name] == one} == {
        one.name for one in SETUP.endpoints
    }
    assert [one.rate for one in steps if isinstance(one, AdmissionLimit)][-1] == float("inf")


def test_old_answers_change_nothing() -> None:
    view = SitesView(SETUP, Random(1))
    run(view, 0.0, 6, 0.0, {**WELL, "c": State.LOST}, version=7)
    view.step(6_100.0, Facts(agreed=LogState(6, 6_000.0, WELL, plan=PLAN)))
    assert view.agreed is not None and view.agreed.version == 7
    view.step(9_500.0, Facts(agreed=LogState(8, 6_000.0, WELL, plan=PLAN)))
    assert view.agreed.version == 7 and not view.verdicts.reached, "its lease is over"


def test_a_copy_that_knows_nothing_starts_at_the_cold_share() -> None:
    view = SitesView(SETUP, Random(1))
    view.step(0.0, Facts(demand=LINES))
    assert view.home["a"] <= 0.25 * 200.0 / len(COPIES) and not view.spill
