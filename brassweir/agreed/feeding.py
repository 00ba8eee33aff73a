"""The feeder's side of the feed tree: places for learners, and what is agreed sent to them. Pure.

A feeder takes a bounded number and names some of those for the rest: a tree grows whose width is bounded, and
no copy speaks to all. A feed tells how long ago a leader was heard at its root. Only agreed entries are fed,
so nothing of it is ever taken back.

A learner says with each pull from where on it lacks entries. One that also says where the lack ends has what
lies behind that, or awaits it: to such a one a window of messages is sent without waiting for an answer.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brassweir.agreed import timing
from brassweir.agreed.identity import Identities
from brassweir.agreed.messages import Entry, Feed, Full, Pull
from brassweir.agreed.pacing import Pacing
from brassweir.agreed.state import LEADER

SUGGESTED = 4  # names of children told to a learner for which there is no room


@dataclass
class Child:
    """A learner that is fed."""

    next: int
    until: float
    windowed: bool = False  # it tells what it has, so that more than one message may be under way
    pulled: int = 0  # the entry from which it pulled last, and when
    pulled_at: float = -1e18
    out: list[tuple[int, float]] = field(default_factory=list)  # last entry and time of messages under way

    def repeats(self, first: int, now: float) -> bool:
        """Is this a pull that says nothing new? A learner of an older version pulls at each message."""
        return first <= self.pulled and now - self.pulled_at < timing.PULL_SAME


class Feeding(Identities):
    """Feeding learners."""

    children: dict[str, Child]
    pacing: Pacing
    pull_every = timing.PULL  # ms between pulls of one that has all
    word_at = -1e18  # when a leader surely led, by the feeders' word

    def age(self) -> float:
        """Ms since a leader was heard, directly or by feeders."""
        if self.role == LEADER:
            return 0.0
        return self.now - max(self.fitted, self.word_at)

    def nearest(self, name: str, names: list[str], count: int) -> list[str]:
        """So many of these copies for that one to be fed by: drawn, or the nearest where places are known."""
        return self.rng.sample(names, min(count, len(names)))

    def on_pull(self, sender: str, message: Pull) -> None:
        """A learner asks."""
        if not self.identity.group:
            return
        self.children = {name: child for name, child in self.children.items() if child.until > self.now}
        if sender not in self.children and self.is_stale() and message.first > self.agreed:
            self.post(sender, Full(tuple(self.others())))  # nothing to give, and no leader in touch
            return
        if not self.has_room(sender):
            names = self.nearest(sender, sorted(self.children), SUGGESTED)
            if self.role == LEADER:
                names = self.others() + names
            self.post(sender, Full(tuple(names)))
            return
        child = self.children.get(sender)
        if child is None or not message.last:
            if child is not None and child.repeats(message.first, self.now):
                return
            until = self.now + timing.CHILD
            self.children[sender] = Child(message.first, until, message.last > 0, message.first, self.now)
        else:
            self.confirm_feeds(child, message)
            if message.last >= message.first:
                self.feed_gap(sender, child, message)
                return
        self.feed(sender, True)

    def is_stale(self) -> bool:
        """Is this a learner that has heard of no leader for a few pulls?"""
        return not self.votes and self.age() > timing.STALE_PULLS * self.pull_every

    def has_room(self, sender: str) -> bool:
        """Is there a place for this learner?"""
        if sender in self.children or sender in self.log.membership.names():
            return True  # the latter votes, and lacks what it needs for it
        busy = self.role == LEADER and len(self.others()) > 0
        return len(self.children) < (timing.FED_BY_LEADER if busy else timing.FED)

    def confirm_feeds(self, child: Child, message: Pull) -> None:
        """A pull that says what the learner has: the rest is under way, or lost if that is long ago."""
        child.until, child.windowed = self.now + timing.CHILD, True
        child.out = [(last, at) for last, at in child.out if last >= message.first]
        asks_nothing = message.last < message.first
        if asks_nothing and all(self.now - at >= timing.RESEND for _, at in child.out):
            child.next, child.out = min(child.next, message.first), []

    def feed_gap(self, name: str, child: Child, message: Pull) -> None:
        """Send again what was lost between other messages."""
        if message.first <= self.log.base.index:
            child.next = message.first
            self.feed(name, True)
            return
        first, last = message.first, min(message.last, self.firm)
        for _ in range(timing.FEEDS):
            entries = self.log.some(first, last)
            if not entries:
                break
            self.send_feed(name, first, entries)
            first += len(entries)
        child.next = max(child.next, first)

    def feed(self, name: str, always: bool) -> bool:
        """What is agreed and the learner lacks: one message. True if it carries entries."""
        child = self.children[name]
        if child.next <= self.log.base.index:
            if self.snap is not None:
                self.offer(name, 0, 0)
                child.next = self.firm + 1  # until it pulls again
            return False
        entries = self.log.some(child.next, self.firm)
        if entries or always:
            self.send_feed(name, child.next, entries)
            child.next += len(entries)
        if entries and child.windowed:
            child.out.append((child.next - 1, self.now))
        return bool(entries)

    def send_feed(self, name: str, first: int, entries: tuple[Entry, ...]) -> None:
        """One message."""
        age = int(min(self.age(), 1e9))
        self.post(name, Feed(first, entries, self.firm, age, self.leader))
        self.pacing.spend(self.now, sum(len(entry.data) + timing.ENTRY_HEAD for entry in entries))

    def feed_news(self) -> None:
        """Feed all that lack something: one message each, or as many as their window allows."""
        for name, child in self.children.items():
            while child.next <= self.firm and len(child.out) < timing.FEEDS:
                if not self.feed(name, False) or not child.windowed:
                    break
