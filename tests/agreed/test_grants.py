"""Grants through the log: renewals, and operators' desired epochs planned from the current one."""

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

INPUTS = RenewalInputs(True, 0.0, True, FIRST, 1, LEASE, ASSUMED)


def test_a_leader_renews_each_tenth_of_a_lease_and_nobody_else_does() -> None:
    renewal = LeaseRenewal()
    assert renewal.step(0.0, INPUTS) == Wait(LEASE / 10) and renewal.step(
        0.0, replace(INPUTS, leading=False)
    ) == Wait(lease_renewal.RETRY_MS)
    decision = renewal.step(10.0, replace(INPUTS, wall=3_000.0))
    assert (
        isinstance(decision, ProposeRenewal)
        and decision.after == 1
        and {grant.ends for grant in decision.epoch.grants} == {33_000.0}
    )
    assert isinstance(renewal.step(11.0, replace(INPUTS, wall=3_001.0)), Wait), (
        "not again before there may be an answer"
    )
    assert isinstance(renewal.step(600.0, replace(INPUTS, wall=3_590.0)), ProposeRenewal)
    for inputs in (
        replace(INPUTS, pending=True),
        replace(INPUTS, epoch=None),
        replace(INPUTS, epoch=planning.handed_over(FIRST, 1.0)),
    ):
        assert isinstance(LeaseRenewal().step(0.0, replace(inputs, wall=9_000.0)), Wait)


def test_a_clock_that_is_not_trusted_gives_the_lead_away_and_not_too_often() -> None:
    renewal, inputs = LeaseRenewal(), replace(INPUTS, wall=60_000.0, trusted=False)
    decisions = [renewal.step(at, inputs) for at in (0.0, 500.0, 9_999.0, 10_000.0)]
    assert [isinstance(step, GiveUpLeadership) for step in decisions] == [True, False, False, True]


def test_the_lease_of_a_lost_region_runs_out() -> None:
    decision = LeaseRenewal().step(0.0, replace(INPUTS, wall=9_000.0, lost=frozenset({"east"})))
    assert isinstance(decision, ProposeRenewal) and {
        (grant.region, grant.ends) for grant in decision.epoch.grants
    } == {
        ("east", LEASE),
        ("south", 39_000.0),
        ("west", 39_000.0),
    }


def test_a_wish_is_planned_anew_from_what_the_log_holds() -> None:
    desired = planning.moved(
        FIRST, 0, 1000, "west", 1_000.0, LEASE, replace(ASSUMED, max_deadline_ms=20_000.0)
    ).epoch
    current = planning.renewed(FIRST, 9_000.0, LEASE, ASSUMED)
    proposed = reconciled(desired, current, 10_000.0, LEASE, ASSUMED)
    assert proposed is not None and proposed[1] == "" and proposed[0].number == 2
    moved = proposed[0].grants[0]
    assert (moved.region, moved.low, moved.high) == ("west", 0, 1000)
    assert moved.begins >= current.grants[0].ends + 20_000.0 + 2 * ASSUMED.clock_error_ms, (
        "the operator's longer deadline counts"
    )
    assert reconciled(desired, proposed[0], 10_000.0, LEASE, ASSUMED) is None, (
        "the log holds it, or a newer one"
    )
    drained = reconciled(
        planning.drained(FIRST, "east", 1_000.0, LEASE, ASSUMED).epoch, current, 10_000.0, LEASE, ASSUMED
    )
    assert (
        drained is not None
        and {grant.region for grant in drained[0].grants} == {"west", "south"}
        and drained[0].number == 2
    )
    lost = reconciled(
        planning.taken_over(FIRST, "east", 1_000.0, LEASE, ASSUMED, LossStatement(True, True)).epoch,
        current,
        10_000.0,
        LEASE,
        ASSUMED,
    )
    assert (
        lost is not None
        and lost[1] == "east"
        and min(grant.begins for grant in lost[0].grants if grant.begins) < 11_000.0
    )
    handed_over = reconciled(planning.handed_over(FIRST, 1_000.0), current, 10_000.0, LEASE, ASSUMED)
    assert handed_over is not None and handed_over[0].turn == 2 and handed_over[0].grants == current.grants


@pytest.mark.parametrize(
    ("desired", "current", "text"),
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
def test_wishes_that_do_not_follow(desired: Epoch, current: Epoch | None, text: str) -> None:
    with pytest.raises(EpochError, match=text):
        reconciled(desired, current, 1_000.0, LEASE, ASSUMED)
