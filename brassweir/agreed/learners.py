"""How 340 copies get what is agreed: learners pull from a feeder, which may be a learner itself. Pure.

A feeder takes a bounded number and names some of those for the rest: a tree grows whose width is bounded, and
no copy speaks to all. A feed tells how long ago a leader was heard at its root; one that is cut off, or feeds
itself in a circle, is left for another. Only agreed entries are fed, so nothing of it is ever taken back.
"""

from __future__ import annotations

from dataclasses import dataclass

import google_crc32c
import msgspec

from brassweir.agreed import timing
from brassweir.agreed.identity import Identities
from brassweir.agreed.messages import Appended, AskChunk, Chunk, Feed, Full, Offer, Pull
from brassweir.agreed.progress import in_order
from brassweir.agreed.records import Snapshot
from brassweir.agreed.state import ASKING, FOLLOWER, LEADER, LEARNER


@dataclass
class Child:
    """A learner that is fed."""

    next: int
    until: float


@dataclass
class Fetch:
    """A snapshot on its way here."""

    sender: str
    index: int
    size: int
    parts: dict[int, bytes]
    at: float  # when to ask again
    round: int = 0
    term: int = 0


class Learners(Identities):
    """Feeding, being fed, and snapshots in chunks, which a receiver asks for piece by piece."""

    children: dict[str, Child]
    feeder = ""
    since: float  # when it was chosen, or last brought a piece of a snapshot
    word_at = -1e18  # when a leader surely led, by the feeders' word
    pull_at: float
    fetch: Fetch | None = None

    def age(self) -> float:
        """Ms since a leader was heard, directly or by feeders."""
        if self.role == LEADER:
            return 0.0
        return self.now - max(self.fitted, self.word_at)

    # The feeder's side

    def on_pull(self, sender: str, message: Pull) -> None:
        """A learner asks."""
        if not self.identity.group:
            return
        self.children = {name: child for name, child in self.children.items() if child.until > self.now}
        busy = self.role == LEADER and len(self.others()) > 0
        room = timing.FED_BY_LEADER if busy else timing.FED
        first = sender in self.log.membership.names()  # one that votes, and lacks what it needs for it
        if not first and sender not in self.children and len(self.children) >= room:
            names = sorted(self.children)
            names = self.rng.sample(names, min(4, len(names)))
            if self.role == LEADER:
                names = self.others() + names
            self.post(sender, Full(tuple(names)))
            return
        self.children[sender] = Child(message.first, self.now + timing.CHILD)
        self.feed(sender, True)

    def feed(self, name: str, always: bool) -> None:
        """What is agreed and the learner lacks."""
        child = self.children[name]
        if child.next <= self.log.base.index:
            if self.snap is not None:
                self.offer(name, 0, 0)
                child.next = self.firm + 1  # until it pulls again
            return
        entries = self.log.some(child.next, self.firm)
        if entries or always:
            age = int(min(self.age(), 1e9))
            self.post(name, Feed(child.next, entries, self.firm, age, self.leader))
            child.next += len(entries)

    def feed_news(self) -> None:
        """Feed all that lack something; one message each, they pull for more."""
        for name in self.children:
            if self.children[name].next <= self.firm:
                self.feed(name, False)

    # The learner's side

    def tend_pull(self) -> None:
        """Pull, and look for another feeder if this one brings nothing or only old things."""
        if self.now < self.pull_at:
            return
        if self.now - self.fitted < (timing.FEED_OLD if self.votes else timing.ELECT):
            self.pull_at = self.now + timing.PULL
            return
        old = self.now - max(self.since, self.word_at) > timing.FEED_OLD
        if not self.feeder or not self.identity.group or old:
            self.look_elsewhere()
        if self.feeder:
            self.pull()
        self.pull_at = self.now + timing.PULL_AGAIN * (1.0 + self.rng.random())

    def pull(self) -> None:
        """Ask the feeder for what follows."""
        self.post(self.feeder, Pull(self.agreed + 1))

    def look_elsewhere(self) -> None:
        """Another feeder: a voter, or any copy if there is none known."""
        names = sorted({*self.log.membership.names(), *self.founders} - {self.name, self.feeder})
        if not names or self.rng.random() < 0.2:
            names = [name for name in self.names if name not in (self.name, self.feeder)] or names
        self.feeder = self.rng.choice(names) if names else self.feeder
        self.since = self.now

    def on_full(self, sender: str, message: Full) -> None:
        """Go down the tree, or begin at its top again."""
        if sender != self.feeder:
            return
        names = [name for name in message.names if name != self.name]
        self.feeder = self.rng.choice(names) if names else ""
        self.pull_at = self.now + timing.PULL_AGAIN * self.rng.random()
        self.since = self.now

    def on_feed(self, sender: str, message: Feed) -> None:
        """Agreed entries, the next ones or such as are here."""
        fed = self.now - self.fitted >= timing.FEED_OLD if self.votes else True
        if not fed or self.role not in (LEARNER, FOLLOWER, ASKING):
            return
        if not in_order(message.first, message.entries):
            return
        if sender == self.feeder:
            self.word_at = max(self.word_at, self.now - message.age)
            self.pull_at = self.now + timing.PULL * (0.5 + 0.5 * self.rng.random())
            self.leader = message.leader
        if message.first > self.agreed + 1:
            self.pull_at = min(self.pull_at, self.now + timing.PULL_AGAIN)
            return
        if self.role == ASKING and message.commit > self.agreed:  # it may ask for what it was removed from
            self.follow(self.term, "")
        self.take(message.entries)
        self.agree(message.first + len(message.entries) - 1)
        if message.commit > self.agreed:
            self.pull_at = self.now

    # Snapshots

    def on_offer(self, sender: str, message: Offer) -> None:
        """Fetch it, from a leader or the own feeder, unless all of it is here."""
        if message.term:
            if message.term < self.term:
                return
            self.hear_leader(message.term, sender)
            self.post_after(sender, Appended(self.term, True, self.agreed, message.round))
        elif sender != self.feeder or self.role not in (LEARNER, FOLLOWER, ASKING):
            return
        else:
            self.since = self.now
        if message.index <= self.agreed or message.size > 1 << 30:
            return
        if self.fetch is None or (self.fetch.sender, self.fetch.index) != (sender, message.index):
            self.fetch = Fetch(sender, message.index, message.size, {}, self.now)
        self.fetch.term, self.fetch.round = message.term, message.round
        self.tend_fetch()

    def tend_fetch(self) -> None:
        """Ask for the first pieces that are missing."""
        f = self.fetch
        if f is None or self.now < f.at:
            return
        f.at = self.now + timing.CHUNK_AGAIN
        missing = [at for at in range(0, f.size, timing.CHUNK) if at not in f.parts]
        for at in missing[: timing.CHUNKS]:
            self.post(f.sender, AskChunk(f.index, at))

    def on_ask_chunk(self, sender: str, message: AskChunk) -> None:
        """Send a piece, or tell of a newer snapshot by silence."""
        index, data = self.sending
        if index == message.index:
            piece = data[message.at : message.at + timing.CHUNK]
            self.post(sender, Chunk(index, message.at, len(data), piece))

    def on_chunk(self, sender: str, message: Chunk) -> None:
        """A piece; the last one makes it whole."""
        f = self.fetch
        if f is None or (sender, message.index, message.size) != (f.sender, f.index, f.size):
            return
        if message.at % timing.CHUNK or len(message.data) != min(timing.CHUNK, f.size - message.at):
            return
        f.parts[message.at] = message.data
        self.since = self.now
        missing = [at for at in range(0, f.size, timing.CHUNK) if at not in f.parts]
        if missing:
            asked = [at for at in missing if at > message.at][timing.CHUNKS - 1 : timing.CHUNKS]
            for at in asked:
                self.post(sender, AskChunk(f.index, at))
            return
        self.fetch = None
        data = b"".join(f.parts[at] for at in sorted(f.parts))
        if google_crc32c.value(data[:-4]).to_bytes(4, "little") != data[-4:]:
            self.count("snapshot damaged")
            return
        try:
            self.install(msgspec.msgpack.decode(data[:-4], type=Snapshot))
        except msgspec.MsgspecError:
            self.count("snapshot unreadable")
        self.pull_at = self.now
