"""How 490 copies get what is agreed: learners pull from a feeder, which may be a learner itself. Pure.

A feeder that is cut off, or feeds itself in a circle, tells of a leader that was heard long ago: it is left
for another. Entries that come ahead of others are kept for a while, and only what lies between is asked for.
"""

from __future__ import annotations

from brassweir.agreed import timing
from brassweir.agreed.core_state import FOLLOWER, LEADER, LEARNER, PRE_CANDIDATE
from brassweir.agreed.messages import (
    AppendReply,
    Entry,
    FeedEntries,
    FeederFull,
    PullEntries,
    SnapshotChunk,
    SnapshotOffer,
)
from brassweir.agreed.progress import in_order
from brassweir.agreed.reorder_buffer import ReorderBuffer
from brassweir.agreed.snapshot_transfer import SnapshotTransfer

NEVER = float("inf")
NO_LEADER_SEEN_MS = 1e15  # ms: an age above it means that no leader was heard yet


class LearnerPull(SnapshotTransfer):
    """Being fed."""

    feeder = ""
    feeder_since: float  # when it was chosen, or last brought a piece of a snapshot
    pull_at: float
    pulled_at = -1e18
    unanswered_since = NEVER  # when the first pull was sent that the feeder did not answer
    unresponsive: dict[str, float]  # copies that did not answer, and until when others come first
    gaps_requested_at = -1e18  # when gaps were last asked for
    unconfirmed_feeds = 0  # messages with entries that came and that no pull has confirmed
    early_feeds: ReorderBuffer[tuple[Entry, ...]]  # entries that came ahead of others

    def tick_pull(self) -> None:
        """Pull, and look for another feeder if this one brings nothing or only old things."""
        if self.now < self.pull_at:
            return
        if self.role == LEADER or self.now - self.accepted_at < (
            timing.FEED_STALE_MS if self.is_voter else timing.ELECTION_MS
        ):
            self.early_feeds.clear()
            self.pull_at = self.now + timing.PULL_INTERVAL_MS
            return
        if not self.feeder or not self.identity.group or self.feeder_failed():
            self.change_feeder()
        if self.feeder:
            self.pull()
        self.pull_at = self.now + timing.PULL_RETRY_MS * (1.0 + self.rng.random())
        if self.early_feeds.messages:
            self.pull_at = min(self.pull_at, self.gaps_due())

    def feeder_failed(self) -> bool:
        """Does the feeder bring nothing, or only old things?"""
        if self.now - self.unanswered_since > timing.FEEDER_TIMEOUT_MS:
            return True
        still = (
            self.fetch is not None
            and self.now - max(self.feeder_since, self.fetch.progressed_at) > timing.FETCH_STALLED_MS
        )
        return still or self.now - max(self.feeder_since, self.leader_seen_at) > timing.FEED_STALE_MS

    def pull(self) -> None:
        """Ask the feeder for what lies between what is here, and tell it what follows."""
        self.take_buffered_feeds()
        gaps = self.gaps() if self.now >= self.gaps_due() else []
        for first, last in gaps or [(self.commit_index + 1, self.commit_index)]:
            self.send(self.feeder, PullEntries(first, last))
        if gaps:
            self.gaps_requested_at = self.now
        self.pulled_at, self.unconfirmed_feeds = self.now, len(self.early_feeds.messages)
        self.unanswered_since = min(self.unanswered_since, self.now)

    def gaps_due(self) -> float:
        """When to ask for gaps: what fills them may only be late, or has been asked for."""
        return max(self.early_feeds.gap_deadline(), self.gaps_requested_at + timing.GAP_RETRY_MS)

    def gaps(self) -> list[tuple[int, int]]:
        """The first and last entry of what is missing before and between early messages."""
        found = []
        have = self.commit_index
        for first, entries in sorted(self.early_feeds.messages.items()):
            if first > have + 1:
                found.append((have + 1, first - 1))
            have = max(have, first + len(entries) - 1)
        return found[: timing.MAX_GAPS]

    def change_feeder(self) -> None:
        """Another feeder: a voter, or any copy if there is none known; after silence more often any."""
        silent = self.now - self.unanswered_since > timing.FEEDER_TIMEOUT_MS
        if silent:
            self.unresponsive = {name: until for name, until in self.unresponsive.items() if until > self.now}
            self.unresponsive[self.feeder] = self.now + timing.UNRESPONSIVE_MS
        names = self.feeder_candidates(sorted({*self.log.membership.names(), *self.founders}))
        if not names or self.rng.random() < (0.5 if silent else 0.2):
            names = self.nearest(self.name, self.feeder_candidates(list(self.copy_names)), 1) or names
        # one that has just started goes to the nearest; later that may be the very one that is gone
        drawn = self.nearest(self.name, names, len(names) if self.leader_age() < NO_LEADER_SEEN_MS else 1)
        self.set_feeder(self.rng.choice(drawn) if drawn else self.feeder)

    def feeder_candidates(self, names: list[str]) -> list[str]:
        """These copies without this one, its feeder, and if others are left those that did not answer."""
        names = [name for name in names if name not in (self.name, self.feeder)]
        return [name for name in names if self.unresponsive.get(name, 0.0) <= self.now] or names

    def set_feeder(self, name: str) -> None:
        """Be fed by that copy."""
        self.feeder, self.feeder_since, self.unanswered_since = name, self.now, NEVER

    def on_feeder_full(self, sender: str, message: FeederFull) -> None:
        """Go down the tree, or begin at its top again."""
        if sender != self.feeder:
            return
        names = self.feeder_candidates(list(message.names))
        self.set_feeder("".join(self.nearest(self.name, names, 1)))
        self.pull_at = self.now + timing.PULL_RETRY_MS * self.rng.random()

    def on_feed(self, sender: str, message: FeedEntries) -> None:
        """Agreed entries, the next ones or such as are here."""
        fed = self.now - self.accepted_at >= timing.FEED_STALE_MS if self.is_voter else True
        if not fed or self.role not in (LEARNER, FOLLOWER, PRE_CANDIDATE):
            return
        if not in_order(message.first, message.entries):
            return
        if (
            sender == self.feeder
            and message.commit_index < self.commit_index
            and message.leader_age_ms > timing.ELECTION_MS
        ):
            self.change_feeder()  # it has started anew, with less than is here
            self.pull_at = self.now + timing.PULL_RETRY_MS * self.rng.random()
            return
        if sender == self.feeder:
            self.unanswered_since = NEVER
            self.leader_seen_at = max(self.leader_seen_at, self.now - message.leader_age_ms)
            self.pull_at = self.now + self.pull_interval * (0.5 + 0.5 * self.rng.random())
            self.leader = message.leader
        self.unconfirmed_feeds += 1 if message.entries else 0
        if message.first > self.commit_index + 1:
            self.buffer_feed(message)
            return
        if self.role == PRE_CANDIDATE and message.commit_index > self.commit_index:
            self.become_follower(self.term, "")
        self.take_feed(message.first, message.entries)
        if message.commit_index > self.commit_index or self.unconfirmed_feeds >= timing.FEED_WINDOW // 2:
            self.pull_at = min(self.pull_at, max(self.now, self.pulled_at + timing.MIN_PULL_SPACING_MS))

    def take_feed(self, first: int, entries: tuple[Entry, ...]) -> None:
        """Take the next entries, and early ones that follow them."""
        self.append_received(entries)
        self.commit_up_to(first + len(entries) - 1)
        self.take_buffered_feeds()

    def take_buffered_feeds(self) -> None:
        """Take what came early and follows now."""
        while (early := self.early_feeds.pop_following(self.commit_index + 1, self.now)) is not None:
            self.append_received(early)
            self.commit_up_to(early[-1].index)

    def buffer_feed(self, message: FeedEntries) -> None:
        """Something before this is missing: it may be late, or lost."""
        self.early_feeds.add(message.first, message.entries or None, self.now)
        self.pull_at = min(self.pull_at, self.gaps_due())

    # Snapshots

    def on_snapshot_offer(self, sender: str, message: SnapshotOffer) -> None:
        """Fetch it, from a leader or the own feeder, unless all of it is here."""
        if message.term:
            if message.term < self.term:
                return
            self.note_leader(message.term, sender)
            self.send_when_durable(sender, AppendReply(self.term, True, self.commit_index, message.round))
        elif sender != self.feeder or self.role not in (LEARNER, FOLLOWER, PRE_CANDIDATE):
            return
        else:
            self.feeder_since, self.unanswered_since = self.now, NEVER
        if message.index > self.commit_index and message.size <= 1 << 30:
            self.fetch_from(sender, message.index, message.size)

    def on_chunk(self, sender: str, message: SnapshotChunk) -> None:
        """A piece; the last one makes it whole."""
        if not self.accept_chunk(sender, message):
            return
        self.feeder_since = self.now
        if self.fetch is None:
            self.pull_at = self.now
