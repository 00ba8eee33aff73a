"""Raft's log replication, the follower's side: what it takes from a leader, and what it answers. Pure."""

from __future__ import annotations

from brassweir.agreed.messages import Append, Appended, Entry
from brassweir.agreed.progress import in_order
from brassweir.agreed.records import Added
from brassweir.agreed.reordering import Reordering
from brassweir.agreed.state import ELECTED, FOLLOWER, LEADER, LEARNER, State


class Following(State):
    """Entries of a leader."""

    fitted = -1e18  # when a leader's entries, or its beat, last fitted behind what is here
    fitted_term = 0  # that leader's term
    ahead: Reordering[Append]

    def follow(self, term: int, leader: str) -> None:
        """Be no leader; go to the term if it is later."""
        if term > self.term:
            self.write_ballot(term, "")
            self.leader = ""
        if self.role in (LEADER, ELECTED):
            self.deposed()
        self.role = FOLLOWER if self.votes else LEARNER
        self.leader = leader or ("" if self.leader == self.name else self.leader)

    def deposed(self) -> None:
        """Leadership ended: nothing of it may be told any more."""

    def on_append(self, sender: str, message: Append) -> None:
        """Entries of a leader."""
        if not in_order(message.prev + 1, message.entries):
            return
        if message.term < self.term:
            self.post_after(sender, Appended(self.term, False, 0, message.round))
            return
        self.hear_leader(message.term, sender)
        for ack in message.acks:
            self.remember(ack)
        if message.prev < self.agreed and message.prev + len(message.entries) <= self.agreed:
            self.post_after(sender, Appended(self.term, True, self.agreed, message.round))
            return
        if message.prev > self.log.last and self.may_be_late(message):
            self.keep_ahead(sender, message)
            return
        here = self.log.term(message.prev)
        if here != message.prev_term and message.prev > self.agreed:
            hint = min(message.prev - 1, self.log.last)
            while hint > self.agreed and self.log.term(hint) == here:  # the whole conflicting term at once
                hint -= 1
            self.post_after(sender, Appended(self.term, False, max(hint, self.agreed), message.round))
            return
        self.fitted, self.fitted_term = self.now, self.term
        self.take(message.entries)
        match = message.prev + len(message.entries)
        self.agree(min(message.commit, match), message.acks)
        self.post_after(sender, Appended(self.term, True, max(match, self.agreed), message.round))
        self.take_ahead(sender)

    def may_be_late(self, message: Append) -> bool:
        """May what lies before these entries still be under way? Not if nothing of this leader fitted yet."""
        return self.fitted_term == message.term and not self.ahead.overdue(self.now)

    def keep_ahead(self, sender: str, message: Append) -> None:
        """Keep what came ahead of others, and answer a beat with what is here for certain."""
        self.ahead.keep(message.prev + 1, message if message.entries else None, self.now)
        if not message.entries:
            self.post_after(sender, Appended(self.term, True, self.agreed, message.round))

    def take_ahead(self, sender: str) -> None:
        """Take what was kept and fits now, as if it came now."""
        message = self.ahead.following(self.log.last + 1, self.now)
        if message is None:
            return
        fits = self.log.fits(self.agreed, message.prev, message.prev_term, message.entries)
        if message.term == self.term and fits:
            self.on_append(sender, message)
        else:
            self.take_ahead(sender)

    def hear_leader(self, term: int, leader: str) -> None:
        """A leader of a term that is not past spoke."""
        if term > self.term or self.role not in (FOLLOWER, LEARNER) or self.leader != leader:
            self.follow(term, leader)
        self.heard = self.now
        self.rest()

    def take(self, entries: tuple[Entry, ...]) -> None:
        """Add what is not here; entries here that differ give way."""
        fresh = [entry for entry in entries if entry.index > self.agreed]
        while fresh and self.log.term(fresh[0].index) == fresh[0].term:
            del fresh[0]
        if not fresh:
            return
        if fresh[0].index <= self.log.last:
            self.cut(fresh[0].index)
        self.log.add(fresh)
        self.write(Added(tuple(fresh)))
        if self.role in (FOLLOWER, LEARNER):
            self.role = FOLLOWER if self.votes else LEARNER
