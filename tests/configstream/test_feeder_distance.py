"""Learners prefer feeders of their own site, then region, within the limit of children per feeder."""

from __future__ import annotations

import pytest

from brassweir.agreed import timing
from brassweir.configstream.member_index import distance
from tests.configstream.ackworld import AckWorld, listed


def distances(world: AckWorld) -> list[int]:
    cores = [world.core(name) for name in world.names]
    return [distance(core.copies(), core.name, core.feeder) for core in cores if core.role == "learner"]


def test_the_distance_of_copies() -> None:
    copies = {name: listed(name) for name in ("v1", "l1", "l4", "l2")}
    assert [distance(copies, "l1", other) for other in ("v1", "l4", "l2", "unknown")] == [0, 1, 2, 2]


def test_feeders_are_near_before_and_after_a_zone_was_lost() -> None:
    world = AckWorld(3, 3, 97)
    world.run(12_000.0)
    world.propose(str(world.leader()))
    zone = [name for name in world.names if name[0] == "l" and listed(name).site == "s4"]
    for again in range(2):
        world.run(world.now + 4_000.0)
        found = distances(world)
        assert len(found) == 97 and found.count(0) > 40 and found.count(2) < 25
        assert max(len(world.core(name).children) for name in world.names) <= timing.MAX_CHILDREN
        view = world.core(str(world.leader())).fleet_view(world.now)
        assert view.in_force == 100
        if not again:
            for name in zone:
                world.lose(name)
            world.run(world.now + 8_000.0)
            assert all(world.core(name).newest_version() == 1 for name in zone)


@pytest.mark.parametrize("seed, stopped", [(2, True), (3, False), (7, False)])
def test_after_a_leader_failure_all_copies_receive_from_the_next_one(seed: int, stopped: bool) -> None:
    world = AckWorld(seed, 3, 97)
    world.run(12_000.0)
    old = str(world.leader())
    if stopped:
        world.stall(old, 30_000.0)
    else:
        world.crash(old, "kept", -1.0)
    begin = world.now
    while world.leader() in (None, old):
        world.run(world.now + 50.0)
    world.propose(str(world.leader()))
    others = [name for name in world.names if name != old]
    while not all(world.nodes[name].machine.taken for name in others):
        world.run(world.now + 50.0)
        assert world.now < begin + 6_000.0
