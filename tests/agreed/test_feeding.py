"""Feeding many commands to learners: windows, reordering, loss, duplicates, older versions."""

from __future__ import annotations

from random import Random

import pytest

from brassweir.agreed import messages as m
from brassweir.agreed import timing
from brassweir.agreed.core import Core
from brassweir.agreed.events import Received
from brassweir.agreed.records import Identity, Persisted
from brassweir.agreed.reorder_buffer import ReorderBuffer
from brassweir.lab.models.logworld import Weather
from brassweir.lab.models.toys import Pile
from tests.agreed.feedworld import FeedWorld


class OlderLearner(Core):
    """States with a pull only the first missing entry, and buffers nothing."""

    def pull(self) -> None:
        self.send(self.feeder, m.PullEntries(self.commit_index + 1))

    def on_feed(self, sender: str, message: m.FeedEntries) -> None:
        if self.role != "learner" or sender != self.feeder:
            return
        self.leader_seen_at = max(self.leader_seen_at, self.now - message.leader_age_ms)
        self.pull_at = self.now + timing.PULL_INTERVAL_MS * (0.5 + 0.5 * self.rng.random())
        self.leader = message.leader
        if message.first > self.commit_index + 1:
            self.pull_at = min(self.pull_at, self.now + timing.PULL_RETRY_MS)
            return
        self.append_received(message.entries)
        self.commit_up_to(message.first + len(message.entries) - 1)
        if message.commit_index > self.commit_index:
            self.pull_at = self.now


class OlderFeeder(Core):
    """Ignores the last missing entry of a pull."""

    def on_pull(self, sender: str, message: m.PullEntries) -> None:
        super().on_pull(sender, m.PullEntries(message.first))


def test_early_messages_are_kept_the_nearest_of_too_many() -> None:
    early: ReorderBuffer[str] = ReorderBuffer(2)
    assert not early.overdue(1e9)
    for first in (9, 5, 7):
        early.add(first, str(first), 100.0)
    early.add(20, None, 100.0)
    assert sorted(early.messages) == [5, 7] and early.gap_deadline() == 100.0 + timing.GAP_WAIT_MS
    assert early.pop_following(4, 200.0) is None and early.pop_following(5, 200.0) == "5"
    assert early.pop_following(8, 300.0) == "7" and early.pop_following(8, 300.0) is None
    assert not early.overdue(1e9)


@pytest.mark.parametrize(
    "loss, late, voters, all_of_them", [(0.0, 3.0, 1_500.0, 2_500.0), (0.2, 200.0, 8_000.0, 11_000.0)]
)
def test_many_commands_do_not_take_a_round_trip_each(
    loss: float, late: float, voters: float, all_of_them: float
) -> None:
    world = FeedWorld(1, 20, Weather(loss=loss, double=loss / 2.0, high=late))
    assert world.leader() is not None
    feeds = world.sent("FeedEntries")
    world.version(125, 5_600)
    span = world.until(lambda: world.have(125, world.founders), 20_000.0)
    assert span < voters
    span += world.until(lambda: world.have(125), 20_000.0)
    assert span < all_of_them
    assert world.sent("FeedEntries") - feeds < 2.5 * 20 * 125  # none is sent over and over
    world.run(world.now + 12_000.0)
    for node in world.nodes.values():
        assert (
            node.core is not None
            and not node.core.early_feeds.messages
            and not node.core.early_appends.messages
        )
    world.judge.finish(
        {name: node.disk for name, node in world.nodes.items()},
        {name: node.machine.taken for name, node in world.nodes.items()},
    )


@pytest.mark.parametrize("core", [OlderLearner, OlderFeeder])
def test_older_versions_on_either_side_get_all(core: type[Core]) -> None:
    world = FeedWorld(2, 10)
    for name in world.names[3::2]:
        world.crash(name, "kept", -1.0)
    world.core_type = core
    for name in world.names[3::2]:
        world.start(name)
    world.run(world.now + 3_000.0)
    feeds = world.sent("FeedEntries")
    world.version(60, 5_600)
    assert world.until(lambda: world.have(60), 20_000.0) < 10_000.0
    assert world.sent("FeedEntries") - feeds < 6 * 10 * 60


def test_a_learner_that_does_not_answer_is_sent_a_window_at_most() -> None:
    world = FeedWorld(3, 4)
    world.run(world.now + 5_000.0)
    core = world.nodes["l1"].core
    assert core is not None and core.feeder
    world.cut([("l1", other) for other in world.names], 6_000.0)
    feeds = world.sent("FeedEntries", "l1")
    world.version(60, 5_600)
    world.run(world.now + 6_000.0)
    assert 0 < world.sent("FeedEntries", "l1") - feeds <= timing.FEED_WINDOW + 1
    assert world.until(lambda: world.have(60), 20_000.0) < 10_000.0


def test_children_of_a_feeder_that_started_anew_with_less_leave_it_soon() -> None:
    world = FeedWorld(5, 30)
    world.version(20, 200)
    world.run(world.now + 8_000.0)
    feeder = max(world.names[3:], key=lambda name: len(world.nodes[name].core.children))  # type: ignore[union-attr]
    children = sorted(world.nodes[feeder].core.children)  # type: ignore[union-attr]
    assert children
    world.lose(feeder, 100.0)
    world.version(1, 200)
    assert world.until(lambda: world.have(21, tuple(children)), 20_000.0) < timing.FEED_STALE_MS


def test_a_feeder_restored_from_an_old_copy_is_left_at_once() -> None:
    world = FeedWorld(5, 30)
    world.version(20, 200)
    world.run(world.now + 8_000.0)
    feeder = max(world.names[3:], key=lambda name: len(world.nodes[name].core.children))  # type: ignore[union-attr]
    children = tuple(world.nodes[feeder].core.children)  # type: ignore[union-attr]
    world.save(feeder)
    world.version(20, 200)
    assert world.until(lambda: world.have(40), 5_000.0) < 5_000.0
    world.restore(feeder, 50.0)
    world.cuts |= {(name, feeder) for name in world.names if name not in children}  # it learns nothing more
    world.run(world.now + 1_500.0)
    world.version(1, 200)
    assert world.until(lambda: world.have(41, children), 20_000.0) < 2_000.0


def test_a_leader_goes_back_once_for_one_gap() -> None:
    world = FeedWorld(6, 0)
    core = world.nodes[str(world.leader())].core
    assert core is not None
    progress = next(iter(core.progress.values()))
    for back, following, at, expected in [(5, 9, 0.0, 5), (5, 9, 10.0, 9), (6, 9, 20.0, 6), (6, 9, 900.0, 6)]:
        progress.next_index = following
        core.now = world.now + at
        core.step_back(progress, back)
        assert progress.next_index == expected


def test_a_copy_without_a_group_goes_down_a_full_tree() -> None:
    kept = Persisted(Identity("x" * 16, "", 1, 1))
    core = Core("x", kept, Pile(), Random(1), 0.0, ("v1",))
    core.step(1.0)
    assert core.feeder == "v1"
    core.step(2.0, [Received("v1", m.Envelope(1, "group", "a" * 16, 1, 7, m.FeederFull(("l1",))))])
    assert (core.identity.group, core.feeder) == ("group", "l1")
