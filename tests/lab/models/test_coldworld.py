"""A destination's cold return under fleets of 5, 30 and 200 senders: no sum of their calls pushes it over."""

from __future__ import annotations

import math

import pytest

from brassweir.control import slow_start
from brassweir.lab.models.coldjudge import judge, played
from brassweir.lab.models.coldplan import draw
from brassweir.lab.models.coldworld import World

HELD = [(5, 1), (5, 4), (30, 4), (30, 8), (200, 1), (200, 5)]
TRIALS_AT_ONCE = [
    (200, 4),
    (200, 14),
    (200, 19),
]  # fell before trials were drawn from the end of a told wait on
HELD_AT_ONCE = [(5, 17), (30, 0), (30, 9), (30, 11)]  # fell before the ramp went on while more was held


@pytest.mark.parametrize(("copies", "seed"), HELD + TRIALS_AT_ONCE + HELD_AT_ONCE)
def test_no_fleet_pushes_a_returning_destination_over(copies: int, seed: int) -> None:
    found = played(copies, seed)
    assert not found.cold_falls and not found.warm_falls, found
    assert found.served > 0.8 * draw(copies, seed).load * draw(copies, seed).rate * 25.0, (
        "nor stay away from it"
    )


@pytest.mark.parametrize(("copies", "seed"), [(5, 1), (30, 1), (200, 1)])
def test_without_the_ramp_it_is_seen_to_fall(copies: int, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slow_start, "RAMP_SHARE", math.inf)
    assert played(copies, seed).cold_falls


def test_the_judge_counts_spans_from_the_return_on() -> None:
    world = World(draw(5, 0), 0)
    back, bears = world.plan.back, world.plan.allowed(world.plan.back)
    most = int(bears + 2.0 * math.sqrt(bears) + 2.0)
    world.copies[0].met = True
    world.calls = [(back - 1.0, world.copies[0])] * most + [(back, world.copies[0])] * most
    assert judge(world).cold_falls == 0, "what came before the return is none of it"
    world.calls.append((back, world.copies[0]))
    assert (judge(world).cold_falls, judge(world).told_falls) == (1, 1)
    world.calls = [(at + world.plan.cold + 3_000.0, world.copies[1]) for at, _ in world.calls[most:]]
    assert judge(world).warm_falls == 0, "warm it bears more"
    assert judge(world).warm == pytest.approx((most + 1) / (1.5 * world.plan.rate * 2.0))
