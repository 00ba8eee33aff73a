"""A voter that is cut off is sent one message at a time, and catches up soon after it is back."""

from __future__ import annotations

from brassweir.lab.models.logworld import Weather
from tests.agreed.feedworld import FeedWorld


def test_a_voter_that_is_cut_off_costs_its_leader_a_probe_at_a_time() -> None:
    world = FeedWorld(1, 0, Weather())
    leader = str(world.leader())
    away = next(name for name in world.founders if name != leader)
    world.isolate(away, 30_000.0)
    world.run(world.now + 2_000.0)
    world.version(35)
    world.run(world.now + 3_000.0)
    before = world.nodes[leader].bytes
    world.run(world.now + 10_000.0)
    assert world.nodes[leader].bytes - before < 10.0 * 20_000.0  # one of 5,600 bytes each 400 ms, and beats
    world.run(world.now + 15_100.0)
    assert world.until(lambda: world.have(35, (away,)), 5_000.0) < 2_500.0
