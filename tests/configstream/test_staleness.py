"""A copy bounds its own staleness; beyond the limit it reports itself stale and is not counted."""

from __future__ import annotations

import pytest

from brassweir.agreed import timing
from brassweir.agreed.events import VersionInForce
from brassweir.configstream.staleness import MAX_STALENESS_MS, StalenessTracker, quorum_contact_time
from tests.configstream.ackworld import AckWorld
from tests.configstream.test_acknowledgements import settled


def test_a_commit_index_counts_once_it_is_reached() -> None:
    tracker = StalenessTracker()
    assert tracker.is_stale(0.0)
    tracker.note_commit(5, 1_000.0, 1_050.0)
    tracker.note_reached(4)
    assert tracker.is_stale(1_100.0)
    tracker.note_commit(9, 2_000.0, 2_050.0)  # ignored: the index of a second earlier is not reached yet
    tracker.note_reached(5)
    assert tracker.age_ms(3_000.0) == 2_000.0
    tracker.note_commit(5, 500.0, 3_000.0)  # delayed; older than what is known
    tracker.note_reached(5)
    assert tracker.age_ms(3_000.0) == 2_000.0


def test_messages_that_waited_during_a_stall_are_not_trusted() -> None:
    tracker = StalenessTracker()
    tracker.note_stall(60_000.0)
    tracker.note_commit(5, 59_990.0, 60_000.0)
    tracker.note_reached(5)
    assert tracker.is_stale(60_000.0)
    tracker.note_commit(5, 61_500.0, 61_500.0)
    tracker.note_reached(5)
    assert tracker.age_ms(61_500.0) == 0.0


def test_quorum_contact_is_the_time_of_its_least_recent_member() -> None:
    assert quorum_contact_time([9.0, 3.0, 5.0], 2) == 5.0
    assert quorum_contact_time([9.0], 2) == quorum_contact_time([], 0) < -1e17


def ages(world: AckWorld) -> dict[str, float]:
    return {name: world.core(name).staleness_ms(world.now) for name in world.names}


def test_connected_copies_are_a_few_seconds_stale_at_most() -> None:
    world = settled(20)
    for _ in range(20):
        world.run(world.now + 500.0)
        assert max(ages(world).values()) < timing.FEED_STALE_MS  # up to 2 s at each level of the tree


@pytest.mark.parametrize("role", ["learner", "leader", "follower"])
def test_a_partitioned_copy_is_stale_and_leaves_itself_out(role: str) -> None:
    world = settled(8)
    leader = str(world.leader())
    follower = next(name for name in world.founders if name != leader)
    name = {"learner": "l2", "leader": leader, "follower": follower}[role]
    world.isolate(name, 20_000.0)
    world.watch(10_000.0, 500.0)
    assert world.core(name).staleness_ms(world.now) > 9_900.0
    assert not world.core(name).exceeds_max_staleness(world.now)
    world.run(world.now + 4_000.0)
    partitioned = world.core(name)
    assert partitioned.staleness_ms(world.now) > MAX_STALENESS_MS and partitioned.exceeds_max_staleness(
        world.now
    )
    assert not partitioned.member_indexes.current.bit(name) & sum(bits for _, bits in partitioned.ack_rows())
    view = world.core(str(world.leader())).fleet_view(world.now)
    assert world.leader() != name and view.unreported == (name,) and view.in_force == 10
    world.watch(20_000.0, 1_000.0)
    assert max(ages(world).values()) < timing.FEED_STALE_MS
    assert world.core(str(world.leader())).fleet_view(world.now).in_force == 11


def test_a_minority_of_voters_and_all_copies_that_it_feeds_are_stale() -> None:
    world = settled(8)
    away = [name for name in world.founders if name != world.leader()]
    for name in away:
        world.crash(name, "kept", -1.0)
    world.run(world.now + MAX_STALENESS_MS + 4_000.0)
    for name in set(world.names) - set(away):
        assert world.core(name).exceeds_max_staleness(world.now)


def test_a_copy_that_was_stalled_does_not_trust_waiting_messages() -> None:
    world = settled(8)
    world.stall("l1", 30_000.0)
    world.propose(str(world.leader()))  # received after the stall, stating too low an age
    world.run(world.now + 30_000.5)
    assert (
        world.core("l1").newest_version() == 1
        and world.core("l1").commit_index > world.core("l1").applied_index
    )
    assert world.core("l1").exceeds_max_staleness(world.now)
    world.run(world.now + 6_000.0)
    assert not world.core("l1").exceeds_max_staleness(world.now)


def test_a_version_in_force_event_sets_the_version() -> None:
    world = settled(1)
    world.give("l1", VersionInForce(0))
    assert world.core("l1").version_in_force == 0
