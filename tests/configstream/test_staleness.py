"""A copy knows how old its knowledge is at most, and out of contact it says so and counts itself out."""

from __future__ import annotations

import pytest

from brassweir.agreed import timing
from brassweir.agreed.events import VersionInForce
from brassweir.configstream.staleness import MAX_STALENESS_MS, StalenessTracker, quorum_contact_time
from tests.configstream.ackworld import AckWorld
from tests.configstream.test_acknowledging import settled


def test_a_word_counts_once_all_of_it_is_here() -> None:
    knowledge = StalenessTracker()
    assert knowledge.is_stale(0.0)
    knowledge.note_commit(5, 1_000.0, 1_050.0)
    knowledge.note_reached(4)
    assert knowledge.is_stale(1_100.0)
    knowledge.note_commit(9, 2_000.0, 2_050.0)  # still behind what was agreed a second earlier
    knowledge.note_reached(5)
    assert knowledge.age_ms(3_000.0) == 2_000.0
    knowledge.note_commit(5, 500.0, 3_000.0)  # a late one
    knowledge.note_reached(5)
    assert knowledge.age_ms(3_000.0) == 2_000.0


def test_what_waited_while_a_copy_was_away_is_not_believed() -> None:
    knowledge = StalenessTracker()
    knowledge.note_stall(60_000.0)
    knowledge.note_commit(5, 59_990.0, 60_000.0)
    knowledge.note_reached(5)
    assert knowledge.is_stale(60_000.0)
    knowledge.note_commit(5, 61_500.0, 61_500.0)
    knowledge.note_reached(5)
    assert knowledge.age_ms(61_500.0) == 0.0


def test_a_quorum_is_as_fresh_as_its_last_member() -> None:
    assert quorum_contact_time([9.0, 3.0, 5.0], 2) == 5.0
    assert quorum_contact_time([9.0], 2) == quorum_contact_time([], 0) < -1e17


def ages(world: AckWorld) -> dict[str, float]:
    return {name: world.core(name).staleness_ms(world.now) for name in world.names}


def test_in_touch_all_know_what_is_some_seconds_old_at_most() -> None:
    world = settled(20)
    for _ in range(20):
        world.run(world.now + 500.0)
        assert (
            max(ages(world).values()) < timing.FEED_STALE_MS
        )  # at each step of the tree up to 2 s are added


@pytest.mark.parametrize("cut_off", ["learner", "leader", "follower"])
def test_a_copy_cut_off_says_so_and_counts_itself_out(cut_off: str) -> None:
    world = settled(8)
    leader = str(world.leader())
    follower = next(name for name in world.founders if name != leader)
    name = {"learner": "l2", "leader": leader, "follower": follower}[cut_off]
    world.isolate(name, 20_000.0)
    world.watch(10_000.0, 500.0)
    assert world.core(name).staleness_ms(world.now) > 9_900.0
    assert not world.core(name).exceeds_max_staleness(world.now)
    world.run(world.now + 4_000.0)
    alone = world.core(name)
    assert alone.staleness_ms(world.now) > MAX_STALENESS_MS and alone.exceeds_max_staleness(world.now)
    assert not alone.member_indexes.current.bit(name) & sum(bits for _, bits in alone.ack_rows())
    view = world.core(str(world.leader())).fleet_view(world.now)
    assert world.leader() != name and view.unreported == (name,) and view.in_force == 10
    world.watch(20_000.0, 1_000.0)
    assert max(ages(world).values()) < timing.FEED_STALE_MS
    assert world.core(str(world.leader())).fleet_view(world.now).in_force == 11


def test_a_minority_of_voters_is_out_of_contact_with_all_that_it_feeds() -> None:
    world = settled(8)
    away = [name for name in world.founders if name != world.leader()]
    for name in away:
        world.crash(name, "kept", -1.0)
    world.run(world.now + MAX_STALENESS_MS + 4_000.0)
    for name in set(world.names) - set(away):
        assert world.core(name).exceeds_max_staleness(world.now)


def test_one_that_was_stopped_does_not_believe_what_it_finds() -> None:
    world = settled(8)
    world.stall("l1", 30_000.0)
    world.propose(str(world.leader()))  # it finds this when it wakes, with a low age in it
    world.run(world.now + 30_000.5)
    assert (
        world.core("l1").newest_version() == 1
        and world.core("l1").commit_index > world.core("l1").applied_index
    )
    assert world.core("l1").exceeds_max_staleness(world.now)
    world.run(world.now + 6_000.0)
    assert not world.core("l1").exceeds_max_staleness(world.now)


def test_what_the_module_was_told_is_a_fact() -> None:
    world = settled(1)
    world.give("l1", VersionInForce(0))
    assert world.core("l1").version_in_force == 0
