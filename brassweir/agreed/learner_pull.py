"""The learner's side of the feed tree: committed entries are pulled from a feeder. Pure.

A feeder may be a learner itself. One that is cut off, or fed in a cycle, reports a contact to the leader that
is long past: the learner changes its feeder. Entries that arrive ahead of others are buffered, and only the
gaps are requested again.
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
NO_LEADER_SEEN_MS = 1e15  # an age above it means that no leader was ever in contact


class LearnerPull(SnapshotTransfer):
    """Pulls committed entries from a feeder."""

    feeder = ""
    feeder_since: float  # when it was chosen, or last sent a chunk of a snapshot
    pull_at: float
    pulled_at = -1e18
    unanswered_since = NEVER  # when the first unanswered pull was sent
    unresponsive: dict[str, float]  # copies that did not answer, and until when others are preferred
    gaps_requested_at = -1e18  # when gaps were last requested
    unconfirmed_feeds = 0  # messages with entries that no pull has confirmed yet
    early_feeds: ReorderBuffer[tuple[Entry, ...]]  # arrived ahead of others

    def tick_pull(self) -> None:
        """Pull when due; change the feeder if it fails."""
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
        """Whether the feeder does not answer, makes no progress, or lost contact to the leader."""
        if self.now - self.unanswered_since > timing.FEEDER_TIMEOUT_MS:
            return True
        fetch_stalled = (
            self.fetch is not None
            and self.now - max(self.feeder_since, self.fetch.progressed_at) > timing.FETCH_STALLED_MS
        )
        return fetch_stalled or self.now - max(self.feeder_since, self.leader_seen_at) > timing.FEED_STALE_MS

    def pull(self) -> None:
        """Request the gaps, or what follows the log; confirms what has arrived."""
        self.take_buffered_feeds()
        gaps = self.gaps() if self.now >= self.gaps_due() else []
        for first, last in gaps or [(self.commit_index + 1, self.commit_index)]:
            self.send(self.feeder, PullEntries(first, last))
        if gaps:
            self.gaps_requested_at = self.now
        self.pulled_at, self.unconfirmed_feeds = self.now, len(self.early_feeds.messages)
        self.unanswered_since = min(self.unanswered_since, self.now)

    def gaps_due(self) -> float:
        """When to request gaps: the entries may only be late, or have been requested already."""
        return max(self.early_feeds.gap_deadline(), self.gaps_requested_at + timing.GAP_RETRY_MS)

    def gaps(self) -> list[tuple[int, int]]:
        """First and last index of each gap before and between buffered messages, at most ``MAX_GAPS``."""
        gaps = []
        last = self.commit_index
        for first, entries in sorted(self.early_feeds.messages.items()):
            if first > last + 1:
                gaps.append((last + 1, first - 1))
            last = max(last, first + len(entries) - 1)
        return gaps[: timing.MAX_GAPS]

    def change_feeder(self) -> None:
        """Choose another feeder: mostly a voter, at times any copy, and that more often after silence."""
        unanswered = self.now - self.unanswered_since > timing.FEEDER_TIMEOUT_MS
        if unanswered:
            self.unresponsive = {name: until for name, until in self.unresponsive.items() if until > self.now}
            self.unresponsive[self.feeder] = self.now + timing.UNRESPONSIVE_MS
        names = self.feeder_candidates(sorted({*self.log.membership.names(), *self.founders}))
        if not names or self.rng.random() < (0.5 if unanswered else 0.2):
            names = self.nearest(self.name, self.feeder_candidates(list(self.copy_names)), 1) or names
        # a copy that just started takes the nearest; later that may be the very one that failed
        choices = self.nearest(self.name, names, len(names) if self.leader_age() < NO_LEADER_SEEN_MS else 1)
        self.set_feeder(self.rng.choice(choices) if choices else self.feeder)

    def feeder_candidates(self, names: list[str]) -> list[str]:
        """These copies without this one and its feeder, and without unresponsive ones if others are left."""
        names = [name for name in names if name not in (self.name, self.feeder)]
        return [name for name in names if self.unresponsive.get(name, 0.0) <= self.now] or names

    def set_feeder(self, name: str) -> None:
        """Pull from that copy from now on."""
        self.feeder, self.feeder_since, self.unanswered_since = name, self.now, NEVER

    def on_feeder_full(self, sender: str, message: FeederFull) -> None:
        """Try one of the suggested feeders; without a suggestion the next pull starts at a voter."""
        if sender != self.feeder:
            return
        names = self.feeder_candidates(list(message.names))
        self.set_feeder("".join(self.nearest(self.name, names, 1)))
        self.pull_at = self.now + timing.PULL_RETRY_MS * self.rng.random()

    def on_feed(self, sender: str, message: FeedEntries) -> None:
        """Append committed entries that follow the log; buffer those after a gap."""
        accepts_feeds = self.now - self.accepted_at >= timing.FEED_STALE_MS if self.is_voter else True
        if not accepts_feeds or self.role not in (LEARNER, FOLLOWER, PRE_CANDIDATE):
            return
        if not in_order(message.first, message.entries):
            return
        if (
            sender == self.feeder
            and message.commit_index < self.commit_index
            and message.leader_age_ms > timing.ELECTION_MS
        ):
            self.change_feeder()  # it restarted with less than this log holds
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
        if self.role == PRE_CANDIDATE and message.commit_index > self.commit_index:  # maybe a removed voter
            self.become_follower(self.term, "")
        self.take_feed(message.first, message.entries)
        if message.commit_index > self.commit_index or self.unconfirmed_feeds >= timing.FEED_WINDOW // 2:
            self.pull_at = min(self.pull_at, max(self.now, self.pulled_at + timing.MIN_PULL_SPACING_MS))

    def take_feed(self, first: int, entries: tuple[Entry, ...]) -> None:
        """Append entries, and buffered ones that follow them."""
        self.append_received(entries)
        self.commit_up_to(first + len(entries) - 1)
        self.take_buffered_feeds()

    def take_buffered_feeds(self) -> None:
        """Append buffered entries that follow the log now."""
        while (early := self.early_feeds.pop_following(self.commit_index + 1, self.now)) is not None:
            self.append_received(early)
            self.commit_up_to(early[-1].index)

    def buffer_feed(self, message: FeedEntries) -> None:
        """Buffer entries after a gap: what is missing may be late or lost."""
        self.early_feeds.add(message.first, message.entries or None, self.now)
        self.pull_at = min(self.pull_at, self.gaps_due())

    # Snapshots

    def on_snapshot_offer(self, sender: str, message: SnapshotOffer) -> None:
        """Fetch a snapshot from the leader or this copy's feeder, unless the log covers it."""
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
        """Store a chunk; after the last one pull at once."""
        if not self.accept_chunk(sender, message):
            return
        self.feeder_since = self.now
        if self.fetch is None:
            self.pull_at = self.now
