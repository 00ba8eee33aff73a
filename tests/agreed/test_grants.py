"""Grants through the log: renewals, and operators' desired epochs planned anew."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from brassweir.agreed import lease_renewal
from brassweir.agreed.lease_renewal import GiveUpLeadership, LeaseRenewal, ProposeRenewal, RenewalInputs, Wait
from brassweir.agreed.reconciliation import reconciled
from brassweir.regions import planning
from brassweir.regions.epochs import Epoch, EpochError
from brassweir.regions.planning import LossStatement
from tests.agreed.grants_samples import FIRST
from tests.regions.samples import ASSUMED, LEASE, REGIONS

FACTS = RenewalInputs(True, 0.0, True, FIRST, 1, LEASE, ASSUMED)


def test_a_leader_renews_each_tenth_of_a_lease_and_nobody_else_does() -> None:
    one = LeaseRenewal()
    assert one.step(0.0, FACTS) == Wait(LEASE / 10) and one.step(0.0, replace(FACTS, leading=False)) == Wait(
        lease_renewal.RETRY_MS
    )
    made = one.step(10.0, replace(FACTS, wall=3_000.0))
    assert (
        isinstance(made, ProposeRenewal)
        and made.after == 1
        and {grant.ends for grant in made.epoch.grants} == {33_000.0}
    )
    assert isinstance(one.step(11.0, replace(FACTS, wall=3_001.0)), Wait), (
        "not again before there may be an answer"
    )
    assert isinstance(one.step(600.0, replace(FACTS, wall=3_590.0)), ProposeRenewal)
    for facts in (
        replace(FACTS, pending=True),
        replace(FACTS, epoch=None),
        replace(FACTS, epoch=planning.handed_over(FIRST, 1.0)),
    ):
        assert isinstance(LeaseRenewal().step(0.0, replace(facts, wall=9_000.0)), Wait)


def test_a_clock_that_is_not_trusted_gives_the_lead_away_and_not_too_often() -> None:
    one, facts = LeaseRenewal(), replace(FACTS, wall=60_000.0, trusted=False)
    found = [one.step(at, facts) for at in (0.0, 500.0, 9_999.0, 10_000.0)]
    assert [isinstance(step, GiveUpLeadership) for step in found] == [True, False, False, True]


def test_the_lease_of_a_lost_region_runs_out() -> None:
    made = LeaseRenewal().step(0.0, replace(FACTS, wall=9_000.0, lost=frozenset({"east"})))
    assert isinstance(made, ProposeRenewal) and {(one.region, one.ends) for one in made.epoch.grants} == {
        ("east", LEASE),
        ("south", 39_000.0),
        ("west", 39_000.0),
    }


def test_a_wish_is_planned_anew_from_what_the_log_holds() -> None:
    wish = planning.moved(
        FIRST, 0, 1000, "west", 1_000.0, LEASE, replace(ASSUMED, max_deadline_ms=20_000.0)
    ).epoch
    there = planning.renewed(FIRST, 9_000.0, LEASE, ASSUMED)
    found = reconciled(wish, there, 10_000.0, LEASE, ASSUMED)
    assert found is not None and found[1] == "" and found[0].number == 2
    moved = found[0].grants[0]
    assert (moved.region, moved.low, moved.high) == ("west", 0, 1000)
    assert moved.begins >= there.grants[0].ends + 20_000.0 + 2 * ASSUMED.clock_error_ms, (
        "the operator's longer deadline counts"
    )
    assert reconciled(wish, found[0], 10_000.0, LEASE, ASSUMED) is None, "the log holds it, or a newer one"
    drained = reconciled(
        planning.drained(FIRST, "east", 1_000.0, LEASE, ASSUMED).epoch, there, 10_000.0, LEASE, ASSUMED
    )
    assert (
        drained is not None
        and {one.region for one in drained[0].grants} == {"west", "south"}
        and drained[0].number == 2
    )
    lost = reconciled(
        planning.taken_over(FIRST, "east", 1_000.0, LEASE, ASSUMED, LossStatement(True, True)).epoch,
        there,
        10_000.0,
        LEASE,
        ASSUMED,
    )
    assert (
        lost is not None
        and lost[1] == "east"
        and min(one.begins for one in lost[0].grants if one.begins) < 11_000.0
    )
    over = reconciled(planning.handed_over(FIRST, 1_000.0), there, 10_000.0, LEASE, ASSUMED)
    assert over is not None and over[0].turn == 2 and over[0].grants == there.grants


@pytest.mark.parametrize(
    ("wish", "there", "words"),
    [
        (planning.first_epoch(REGIONS, 0.0, LEASE), None, "is the file's to publish"),
        (msgspec.structs.replace(FIRST, number=3), FIRST, "epoch 3 does not follow 1"),
        (msgspec.structs.replace(FIRST, number=2), FIRST, "changes no owner"),
        (msgspec.structs.replace(FIRST, number=2, turn=3), FIRST, "turn 3, and 1 is reached"),
        (
            msgspec.structs.replace(planning.moved(FIRST, 0, 9, "west", 1.0, LEASE, ASSUMED).epoch, turn=2),
            FIRST,
            "it may do one only",
        ),
    ],
)
def test_wishes_that_do_not_follow(wish: Epoch, there: Epoch | None, words: str) -> None:
    with pytest.raises(EpochError, match=words):
        reconciled(wish, there, 1_000.0, LEASE, ASSUMED)
