"""How 490 copies get what is agreed: learners pull from a feeder, which may be a learner itself. Pure.

A feeder that is cut off, or feeds itself in a circle, tells of a leader that was heard long ago: it is left
for another. Entries that come ahead of others are kept for a while, and only what lies between is asked for.
"""

from __future__ import annotations

from brassweir.agreed import timing
from brassweir.agreed.fetching import Fetching
from brassweir.agreed.messages import Appended, Chunk, Entry, Feed, Full, Offer, Pull
from brassweir.agreed.progress import in_order
from brassweir.agreed.reordering import Reordering
from brassweir.agreed.state import ASKING, FOLLOWER, LEADER, LEARNER

NO_TIME = float("inf")
NEVER_HEARD = 1e15  # ms: an age above it means that no leader was heard yet


class Learners(Fetching):
    """Being fed."""

    feeder = ""
    since: float  # when it was chosen, or last brought a piece of a snapshot
    pull_at: float
    pulled_at = -1e18
    unanswered_since = NO_TIME  # when the first pull was sent that the feeder did not answer
    silent: dict[str, float]  # copies that did not answer, and until when others come first
    gaps_at = -1e18  # when gaps were last asked for
    fed = 0  # messages with entries that came and that no pull has confirmed
    early: Reordering[tuple[Entry, ...]]  # entries that came ahead of others

    def tend_pull(self) -> None:
        """Pull, and look for another feeder if this one brings nothing or only old things."""
        if self.now < self.pull_at:
            return
        if self.role == LEADER or self.now - self.fitted < (timing.FEED_OLD if self.votes else timing.ELECT):
            self.early.clear()
            self.pull_at = self.now + timing.PULL
            return
        if not self.feeder or not self.identity.group or self.feeder_failed():
            self.look_elsewhere()
        if self.feeder:
            self.pull()
        self.pull_at = self.now + timing.PULL_AGAIN * (1.0 + self.rng.random())
        if self.early.kept:
            self.pull_at = min(self.pull_at, self.gaps_due())

    def feeder_failed(self) -> bool:
        """Does the feeder bring nothing, or only old things?"""
        if self.now - self.unanswered_since > timing.UNANSWERED:
            return True
        still = self.fetch is not None and self.now - max(self.since, self.fetch.moved) > timing.FETCH_STILL
        return still or self.now - max(self.since, self.word_at) > timing.FEED_OLD

    def pull(self) -> None:
        """Ask the feeder for what lies between what is here, and tell it what follows."""
        self.take_early()
        gaps = self.gaps() if self.now >= self.gaps_due() else []
        for first, last in gaps or [(self.agreed + 1, self.agreed)]:
            self.post(self.feeder, Pull(first, last))
        if gaps:
            self.gaps_at = self.now
        self.pulled_at, self.fed = self.now, len(self.early.kept)
        self.unanswered_since = min(self.unanswered_since, self.now)

    def gaps_due(self) -> float:
        """When to ask for gaps: what fills them may only be late, or has been asked for."""
        return max(self.early.due(), self.gaps_at + timing.GAP_AGAIN)

    def gaps(self) -> list[tuple[int, int]]:
        """The first and last entry of what is missing before and between early messages."""
        found = []
        have = self.agreed
        for first, entries in sorted(self.early.kept.items()):
            if first > have + 1:
                found.append((have + 1, first - 1))
            have = max(have, first + len(entries) - 1)
        return found[: timing.GAPS]

    def look_elsewhere(self) -> None:
        """Another feeder: a voter, or any copy if there is none known; after silence more often any."""
        silent = self.now - self.unanswered_since > timing.UNANSWERED
        if silent:
            self.silent = {name: until for name, until in self.silent.items() if until > self.now}
            self.silent[self.feeder] = self.now + timing.SILENT
        names = self.worth_asking(sorted({*self.log.membership.names(), *self.founders}))
        if not names or self.rng.random() < (0.5 if silent else 0.2):
            names = self.nearest(self.name, self.worth_asking(list(self.names)), 1) or names
        # one that has just started goes to the nearest; later that may be the very one that is gone
        drawn = self.nearest(self.name, names, len(names) if self.age() < NEVER_HEARD else 1)
        self.choose_feeder(self.rng.choice(drawn) if drawn else self.feeder)

    def worth_asking(self, names: list[str]) -> list[str]:
        """These copies without this one, its feeder, and if others are left those that did not answer."""
        names = [name for name in names if name not in (self.name, self.feeder)]
        return [name for name in names if self.silent.get(name, 0.0) <= self.now] or names

    def choose_feeder(self, name: str) -> None:
        """Be fed by that copy."""
        self.feeder, self.since, self.unanswered_since = name, self.now, NO_TIME

    def on_full(self, sender: str, message: Full) -> None:
        """Go down the tree, or begin at its top again."""
        if sender != self.feeder:
            return
        names = self.worth_asking(list(message.names))
        self.choose_feeder("".join(self.nearest(self.name, names, 1)))
        self.pull_at = self.now + timing.PULL_AGAIN * self.rng.random()

    def on_feed(self, sender: str, message: Feed) -> None:
        """Agreed entries, the next ones or such as are here."""
        fed = self.now - self.fitted >= timing.FEED_OLD if self.votes else True
        if not fed or self.role not in (LEARNER, FOLLOWER, ASKING):
            return
        if not in_order(message.first, message.entries):
            return
        if sender == self.feeder and message.commit < self.agreed and message.age > timing.ELECT:
            self.look_elsewhere()  # it has started anew, with less than is here
            self.pull_at = self.now + timing.PULL_AGAIN * self.rng.random()
            return
        if sender == self.feeder:
            self.unanswered_since = NO_TIME
            self.word_at = max(self.word_at, self.now - message.age)
            self.pull_at = self.now + self.pull_every * (0.5 + 0.5 * self.rng.random())
            self.leader = message.leader
        self.fed += 1 if message.entries else 0
        if message.first > self.agreed + 1:
            self.keep_early(message)
            return
        if self.role == ASKING and message.commit > self.agreed:  # it may ask for what it was removed from
            self.follow(self.term, "")
        self.take_fed(message.first, message.entries)
        if message.commit > self.agreed or self.fed >= timing.FEEDS // 2:
            self.pull_at = min(self.pull_at, max(self.now, self.pulled_at + timing.PULL_NEXT))

    def take_fed(self, first: int, entries: tuple[Entry, ...]) -> None:
        """Take the next entries, and early ones that follow them."""
        self.take(entries)
        self.agree(first + len(entries) - 1)
        self.take_early()

    def take_early(self) -> None:
        """Take what came early and follows now."""
        while (early := self.early.following(self.agreed + 1, self.now)) is not None:
            self.take(early)
            self.agree(early[-1].index)

    def keep_early(self, message: Feed) -> None:
        """Something before this is missing: it may be late, or lost."""
        self.early.keep(message.first, message.entries or None, self.now)
        self.pull_at = min(self.pull_at, self.gaps_due())

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
            self.since, self.unanswered_since = self.now, NO_TIME
        if message.index > self.agreed and message.size <= 1 << 30:
            self.fetch_from(sender, message.index, message.size)

    def on_chunk(self, sender: str, message: Chunk) -> None:
        """A piece; the last one makes it whole."""
        if not self.take_chunk(sender, message):
            return
        self.since = self.now
        if self.fetch is None:
            self.pull_at = self.now
