"""Simulated schedules of faults hold; each missing safeguard is detected; failing schedules shrink."""

from __future__ import annotations

import pytest

from brassweir.agreed.core import Core
from brassweir.agreed.events import OutcomeKind
from brassweir.lab.models.logplan import draw, load, play, save, shrink, verdict
from brassweir.lab.models.logworld import World
from tests.agreed import faults


@pytest.mark.parametrize("first", range(0, 40, 10))
def test_drawn_schedules_hold(first: int) -> None:
    told = sum(play(draw(seed, span=6_000.0)).judge.told_of for seed in range(first, first + 10))
    assert told > 100


def test_five_voters_hold() -> None:
    assert [verdict(draw(seed, 5, 2, span=6_000.0)) for seed in range(900, 906)] == [""] * 6


@pytest.mark.parametrize(
    "guard, first, word",
    [
        ("VoteNotDurable", 0, "live"),
        ("RestoredVotes", 6, "one entry"),
        ("LostVotesAsBefore", 6, "one entry"),
        ("SnapshotOverNewer", 18, "snapshot back"),
        ("KeepsConflict", 0, "converge"),
        ("ForgetsSessions", 0, "once"),
        ("AppliesBeforeDurable", 0, "never back"),
    ],
)
def test_a_guard_taken_out_is_seen(guard: str, first: int, word: str) -> None:
    core = getattr(faults, guard)
    seen = next(
        (seed for seed in range(first, first + 50) if verdict(draw(seed), core).startswith(word)), None
    )
    assert seen is not None and verdict(draw(seen)) == ""


def test_what_breaks_shrinks_to_a_small_file() -> None:
    plan = draw(7)
    small = shrink(plan, lambda less: verdict(less, faults.ForgetsSessions).startswith("once"))
    assert len(small.events) < len(plan.events) / 4
    again = load(save(small))
    assert again == small and verdict(again, faults.ForgetsSessions).startswith("once")


def settled(voters: int = 3, learners: int = 0, core: type = Core) -> World:
    world = World(4, voters, learners, core=core)
    world.run(5_000.0)
    assert world.leader() is not None
    return world


@pytest.mark.parametrize("core, disturbed", [(Core, False), (faults.NoPreVote, True)])
def test_one_that_comes_back_disturbs_nobody(core: type, disturbed: bool) -> None:
    world = settled(core=core)
    terms, leader = max(world.judge.leads), world.leader()
    world.isolate(next(name for name in world.names if name != leader), 6_000.0)
    world.run(world.now + 9_000.0)
    assert (max(world.judge.leads) > terms) is disturbed


@pytest.mark.parametrize("core, word", [(Core, ""), (faults.ReadsOnBelief, "read")])
def test_a_leader_that_wakes_acknowledges_nothing_on_what_it_believed(core: type, word: str) -> None:
    world = settled(core=core)
    old = world.leader()
    assert old is not None
    world.propose(old)
    world.stall(old, 5_000.0)
    world.run(world.now + 4_000.0)
    other = world.leader()
    assert other not in (None, old)
    world.propose(str(other))
    world.run(world.now + 900.0)
    world.cut([(name, old) for name in world.names if name != old], 3_000.0)
    world.nodes[old].inbox.clear()
    try:
        world.read(old)
        world.propose(old)
        world.run(world.now + 9_000.0)
        assert not word
    except AssertionError as error:
        assert word and str(error).startswith(word)


@pytest.mark.parametrize("core, word", [(Core, ""), (faults.ChangesBeforeAgreed, "one change")])
def test_members_change_one_at_a_time(core: type, word: str) -> None:
    world = settled(5, 0, core)
    world.weather.low, world.weather.high = 100.0, 200.0
    try:
        for name in [name for name in world.names if name != world.leader()][:2]:
            world.change(name, False)
        world.run(world.now + 6_000.0)
        leader = world.nodes[str(world.leader())].core
        assert not word and leader is not None and len(leader.log.membership.voters) == 3
    except AssertionError as error:
        assert word and str(error).startswith(word)


def test_two_of_five_gone_for_good_are_replaced_one_at_a_time() -> None:
    world = settled(5, 2)
    gone = [name for name in world.founders if name != world.leader()][:2]
    for name in gone:
        world.crash(name, "lost", -1.0)
    world.run(world.now + 3_000.0)
    for name, votes in [(gone[0], False), (gone[1], False), ("l1", True), ("l2", True)]:
        world.change(name, votes)
    world.run(world.now + 5_000.0)
    leader = world.nodes[str(world.leader())].core
    assert leader is not None and sorted(leader.log.membership.names()) == sorted({*world.names} - {*gone})
    world.crash(str(world.leader()), "lost", -1.0)  # five vote again: one more may go
    world.run(world.now + 4_000.0)
    assert world.leader() is not None


def test_a_lost_folder_is_readmitted_under_a_new_id() -> None:
    world = settled()
    lost = next(name for name in world.names if name != world.leader())
    old = dict(world.nodes[lost].core.log.membership.voters)[lost]  # type: ignore[union-attr]
    world.lose(lost)
    world.run(world.now + 12_000.0)
    core = world.nodes[lost].core
    assert core is not None and core.is_voter and core.identity.member != old and core.role == "follower"


def test_a_restored_folder_is_recognised_and_gives_its_id_up() -> None:
    world = settled()
    name = next(name for name in world.names if name != world.leader())
    world.save(name)
    for _ in range(3):
        world.propose(name)
        world.run(world.now + 100.0)
    old = world.nodes[name].core
    world.restore(name)
    world.run(world.now + 1_500.0)
    core = world.nodes[name].core
    assert core is not None and old is not None and core.identity.member != old.identity.member
    assert core.dropped["identity given up"] == 1 and not core.is_voter
    world.run(world.now + 10_000.0)
    assert core.is_voter and len(world.nodes[name].machine.taken) == 3


def test_a_restart_with_another_gone_for_good_waits_for_the_rest_only_so_long() -> None:
    world = settled()
    leader = str(world.leader())
    other, third = [name for name in world.names if name != leader]
    world.crash(other, "lost", -1.0)
    world.crash(leader, "torn", 50.0)
    world.run(world.now + 9_000.0)
    assert world.leader() in (leader, third)


def test_all_restarted_at_once_with_an_election_soon_after() -> None:
    world = settled(5)
    for name in world.names:
        world.crash(name, "torn", 100.0)
    world.run(world.now + 3_500.0)
    assert world.leader() is not None


def test_a_proposal_of_a_copy_that_hears_nothing_is_seldom_put_into_the_log_again() -> None:
    world = settled(3, 1)
    leader = world.nodes[world.leader() or ""].core
    assert leader is not None
    before = leader.log.last_index
    world.deaf("l1", 5_000.0)
    ticket = world.propose("l1", 20_000.0)
    world.run(world.now + 4_500.0)
    assert before < leader.log.last_index <= before + 3  # at once, and of its repeats not each
    world.run(world.now + 10_000.0)
    outcome = world.judge.asks[ticket].outcome
    assert outcome is not None and outcome.how is OutcomeKind.AGREED


def test_340_copies_are_fed_by_a_tree_of_bounded_width() -> None:
    world = settled(5, 335)
    world.run(40_000.0)
    before = {name: node.bytes for name, node in world.nodes.items()}
    world.run(60_000.0)
    idle = {name: (node.bytes - before[name]) / 20.0 for name, node in world.nodes.items()}
    assert max(idle.values()) < 2_500.0  # bytes a second: the leader's beats, or a full feeder
    assert sorted(idle.values())[170] < 200.0
    world.propose("l300")
    world.run(world.now + 4_000.0)
    assert all(len(node.machine.taken) == 1 for node in world.nodes.values())
    assert max(len(node.core.children) for node in world.nodes.values() if node.core) <= 12 + 5  # and voters
