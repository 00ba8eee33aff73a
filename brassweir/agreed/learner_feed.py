"""The feeder's side of the feed tree: committed entries are sent to learners. Pure.

A feeder accepts a bounded number of learners and refers others to these, so that the group forms a tree of
bounded width. Each feed tells how long ago the root of the tree was in contact with a leader. Only committed
entries are fed, so a learner never truncates its log.

A learner states with each pull from where on it lacks entries. One that also states the last missing entry is
sent a window of messages without waiting for an answer.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brassweir.agreed import timing
from brassweir.agreed.core_state import LEADER
from brassweir.agreed.identity import Identities
from brassweir.agreed.messages import Entry, FeedEntries, FeederFull, PullEntries
from brassweir.agreed.snapshot_pacing import SnapshotPacer

MAX_SUGGESTED_FEEDERS = 4  # names of children suggested to a learner that is not accepted


@dataclass
class ChildProgress:
    """What a feeder knows of a learner that it feeds. Times are monotonic ms."""

    next_index: int
    expires_at: float
    windowed: bool = False  # it states what it lacks, so several messages may be in flight
    pulled_from: int = 0  # first entry of its latest pull, and when that came
    pulled_at: float = -1e18
    in_flight: list[tuple[int, float]] = field(default_factory=list)  # last entry and send time

    def is_duplicate(self, first: int, now: float) -> bool:
        """Whether a pull repeats the last one: a learner of an older version pulls after each message."""
        return first <= self.pulled_from and now - self.pulled_at < timing.DUPLICATE_PULL_MS


class LearnerFeed(Identities):
    """Feeds committed entries to learners, its children."""

    children: dict[str, ChildProgress]
    pacing: SnapshotPacer
    pull_interval = timing.PULL_INTERVAL_MS  # between pulls of a learner that lacks nothing
    leader_seen_at = -1e18  # latest time at which a leader surely led, as feeders state it

    def leader_age(self) -> float:
        """Ms since a leader was in contact, directly or through feeders."""
        if self.role == LEADER:
            return 0.0
        return self.now - max(self.accepted_at, self.leader_seen_at)

    def nearest(self, name: str, names: list[str], count: int) -> list[str]:
        """Pick ``count`` of ``names`` as feeders for a copy: at random, or by location in a subclass."""
        return self.rng.sample(names, min(count, len(names)))

    def on_pull(self, sender: str, message: PullEntries) -> None:
        """Feed a learner that asks, or refer it to other copies."""
        if not self.identity.group:
            return
        self.children = {name: child for name, child in self.children.items() if child.expires_at > self.now}
        if sender not in self.children and self.is_stale() and message.first > self.commit_index:
            self.send(sender, FeederFull(tuple(self.other_voters())))  # nothing to feed it with
            return
        if not self.has_capacity(sender):
            names = self.nearest(sender, sorted(self.children), MAX_SUGGESTED_FEEDERS)
            if self.role == LEADER:
                names = self.other_voters() + names
            self.send(sender, FeederFull(tuple(names)))
            return
        child = self.children.get(sender)
        if child is None or not message.last:
            if child is not None and child.is_duplicate(message.first, self.now):
                return
            expires_at = self.now + timing.CHILD_EXPIRY_MS
            self.children[sender] = ChildProgress(
                message.first, expires_at, message.last > 0, message.first, self.now
            )
        else:
            self.confirm_feeds(child, message)
            if message.last >= message.first:
                self.feed_gap(sender, child, message)
                return
        self.feed(sender, True)

    def is_stale(self) -> bool:
        """Whether this is a learner that had no contact to a leader for several pulls."""
        return not self.is_voter and self.leader_age() > timing.MAX_STALE_PULLS * self.pull_interval

    def has_capacity(self, sender: str) -> bool:
        """Whether this learner may be fed. Voters always may: they need the entries to vote."""
        if sender in self.children or sender in self.log.membership.names():
            return True
        busy = self.role == LEADER and len(self.other_voters()) > 0
        return len(self.children) < (timing.MAX_CHILDREN_OF_LEADER if busy else timing.MAX_CHILDREN)

    def confirm_feeds(self, child: ChildProgress, message: PullEntries) -> None:
        """Apply what a pull confirms; start again after that if all later messages are lost."""
        child.expires_at, child.windowed = self.now + timing.CHILD_EXPIRY_MS, True
        child.in_flight = [(last, sent_at) for last, sent_at in child.in_flight if last >= message.first]
        asks_nothing = message.last < message.first
        if asks_nothing and all(self.now - sent_at >= timing.RESEND_MS for _, sent_at in child.in_flight):
            child.next_index, child.in_flight = min(child.next_index, message.first), []

    def feed_gap(self, name: str, child: ChildProgress, message: PullEntries) -> None:
        """Resend entries that were lost between others."""
        if message.first <= self.log.base.index:
            child.next_index = message.first
            self.feed(name, True)
            return
        first, last = message.first, min(message.last, self.durable_commit)
        for _ in range(timing.FEED_WINDOW):
            entries = self.log.batch(first, last)
            if not entries:
                break
            self.send_feed(name, first, entries)
            first += len(entries)
        child.next_index = max(child.next_index, first)

    def feed(self, name: str, always: bool) -> bool:
        """Send a child a message; one without entries only if ``always``. Returns whether it had entries."""
        child = self.children[name]
        if child.next_index <= self.log.base.index:
            if self.snapshot is not None:
                self.offer_snapshot(name, 0, 0)
                child.next_index = self.durable_commit + 1  # until it pulls again
            return False
        entries = self.log.batch(child.next_index, self.durable_commit)
        if entries or always:
            self.send_feed(name, child.next_index, entries)
            child.next_index += len(entries)
        if entries and child.windowed:
            child.in_flight.append((child.next_index - 1, self.now))
        return bool(entries)

    def send_feed(self, name: str, first: int, entries: tuple[Entry, ...]) -> None:
        """Send one message, and charge it to the byte budget of snapshot chunks."""
        age = int(min(self.leader_age(), 1e9))
        self.send(name, FeedEntries(first, entries, self.durable_commit, age, self.leader))
        self.pacing.charge(self.now, sum(len(entry.data) + timing.ENTRY_HEAD_BYTES for entry in entries))

    def feed_children(self) -> None:
        """Feed all children that lack entries: one message each, or as many as their window allows."""
        for name, child in self.children.items():
            while child.next_index <= self.durable_commit and len(child.in_flight) < timing.FEED_WINDOW:
                if not self.feed(name, False) or not child.windowed:
                    break
