"""Log replication, the follower's side: accepts a leader's entries and answers them. Pure."""

from __future__ import annotations

from brassweir.agreed.core_state import ELECTED, FOLLOWER, LEADER, LEARNER, CoreState
from brassweir.agreed.messages import AppendEntries, AppendReply, Entry
from brassweir.agreed.progress import in_order
from brassweir.agreed.records import LogAppend
from brassweir.agreed.reorder_buffer import ReorderBuffer


class FollowerReplication(CoreState):
    """Accepts the entries of a leader."""

    accepted_at = -1e18  # when a leader's entries or heartbeat last matched this log
    accepted_term = 0  # that leader's term
    early_appends: ReorderBuffer[AppendEntries]

    def become_follower(self, term: int, leader: str) -> None:
        """Stop leading or campaigning; enter ``term`` if it is later. ``leader`` is "" if unknown."""
        if term > self.term:
            self.write_ballot(term, "")
            self.leader = ""
        if self.role in (LEADER, ELECTED):
            self.on_leadership_lost()
        self.role = FOLLOWER if self.is_voter else LEARNER
        self.leader = leader or ("" if self.leader == self.name else self.leader)

    def on_leadership_lost(self) -> None:
        """Hook: leadership ended, and with it all requests that only a leader can complete."""

    def on_append(self, sender: str, message: AppendEntries) -> None:
        """Append a leader's entries if they match the log; buffer early ones, reject others."""
        if not in_order(message.prev_index + 1, message.entries):
            return
        if message.term < self.term:
            self.send_when_durable(sender, AppendReply(self.term, False, 0, message.round))
            return
        self.note_leader(message.term, sender)
        for ack in message.acks:
            self.note_ack(ack)
        if (
            message.prev_index < self.commit_index
            and message.prev_index + len(message.entries) <= self.commit_index
        ):
            self.send_when_durable(sender, AppendReply(self.term, True, self.commit_index, message.round))
            return
        if message.prev_index > self.log.last_index and self.may_be_reordered(message):
            self.buffer_append(sender, message)
            return
        term_here = self.log.term_of(message.prev_index)
        if term_here != message.prev_term and message.prev_index > self.commit_index:
            hint = min(message.prev_index - 1, self.log.last_index)
            while hint > self.commit_index and self.log.term_of(hint) == term_here:  # skips a term
                hint -= 1
            self.send_when_durable(
                sender, AppendReply(self.term, False, max(hint, self.commit_index), message.round)
            )
            return
        self.accepted_at, self.accepted_term = self.now, self.term
        self.append_received(message.entries)
        match = message.prev_index + len(message.entries)
        self.commit_up_to(min(message.commit_index, match), message.acks)
        self.send_when_durable(
            sender, AppendReply(self.term, True, max(match, self.commit_index), message.round)
        )
        self.take_buffered_append(sender)

    def may_be_reordered(self, message: AppendEntries) -> bool:
        """Whether entries before these may still be in flight. Not if nothing of this leader matched yet."""
        return self.accepted_term == message.term and not self.early_appends.overdue(self.now)

    def buffer_append(self, sender: str, message: AppendEntries) -> None:
        """Buffer entries that arrived early; answer an early heartbeat with the commit index."""
        self.early_appends.add(message.prev_index + 1, message if message.entries else None, self.now)
        if not message.entries:
            self.send_when_durable(sender, AppendReply(self.term, True, self.commit_index, message.round))

    def take_buffered_append(self, sender: str) -> None:
        """Handle a buffered message that now matches, as if it arrived now."""
        message = self.early_appends.pop_following(self.log.last_index + 1, self.now)
        if message is None:
            return
        fits = self.log.agrees_with(self.commit_index, message.prev_index, message.prev_term, message.entries)
        if message.term == self.term and fits:
            self.on_append(sender, message)
        else:
            self.take_buffered_append(sender)

    def note_leader(self, term: int, leader: str) -> None:
        """A leader of a term that is not past made contact: follow it."""
        if term > self.term or self.role not in (FOLLOWER, LEARNER) or self.leader != leader:
            self.become_follower(term, leader)
        self.leader_heard_at = self.now
        self.reset_election_timer()

    def append_received(self, entries: tuple[Entry, ...]) -> None:
        """Append the entries that are missing here; entries here that differ are truncated."""
        missing = [entry for entry in entries if entry.index > self.commit_index]
        while missing and self.log.term_of(missing[0].index) == missing[0].term:
            del missing[0]
        if not missing:
            return
        if missing[0].index <= self.log.last_index:
            self.truncate_from(missing[0].index)
        self.log.add(missing)
        self.write(LogAppend(tuple(missing)))
        if self.role in (FOLLOWER, LEARNER):
            self.role = FOLLOWER if self.is_voter else LEARNER
