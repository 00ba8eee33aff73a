"""Who votes: one change at a time, learners caught up before they vote, lost folders readmitted. Pure."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from brassweir.agreed import timing
from brassweir.agreed.asking import Asking
from brassweir.agreed.facts import Change, How
from brassweir.agreed.messages import MEMBERS, Membership
from brassweir.agreed.progress import Progress
from brassweir.agreed.state import LEADER


@dataclass
class Stranger:
    """Another member answers under a voter's name."""

    member: str
    since: float
    last: float


class Changes(Asking):
    """The leader changes one voter at a time, each after the one before is agreed."""

    wanted: list[Change]
    changing: dict[int, int]  # tickets of changes in the log, by index
    strangers: dict[str, Stranger]
    readmitted: dict[str, float]  # names, and when they may be readmitted again

    def lead(self) -> None:
        """A voter that a leader before took out to readmit it is still to be readmitted."""
        super().lead()
        at = self.log.membership_at
        name = self.log.get(at).session if at > self.log.base.index else ""
        if name and name not in self.log.membership.names():
            self.wanted.append(Change(0, name, True, self.now + timing.CATCH_UP))

    def on_change(self, fact: Change) -> None:
        """Take a change on."""
        if self.role != LEADER:
            where = f"ask {self.leader}, which leads" if self.leader else "no leader is known"
            self.tell(fact.ticket, How.REFUSED, why=where)
        elif fact.votes and len(self.log.membership.voters) >= timing.MOST_VOTERS:
            self.tell(fact.ticket, How.REFUSED, why=f"{timing.MOST_VOTERS} vote: no more may")
        elif not fact.votes and self.log.membership.names() == [fact.name]:
            self.tell(fact.ticket, How.REFUSED, why=f"{fact.name} is the only one that votes")
        else:
            self.wanted.append(fact)
            self.tend_changes()

    def note_stranger(self, sender: str, member: str) -> None:
        """A voter's name answers with an id that does not vote: its folder was lost, or gave its id up."""
        voters = dict(self.log.membership.voters)
        if self.role != LEADER or sender not in voters:
            return
        if voters[sender] == member:
            self.strangers.pop(sender, None)
            return
        known = self.strangers.get(sender)
        if known is None or known.member != member:
            known = self.strangers[sender] = Stranger(member, self.now, self.now)
        known.last = self.now
        if self.now - known.since >= timing.READMIT and self.now >= self.readmitted.get(sender, 0.0):
            self.readmitted[sender] = self.now + timing.READMIT_REST
            self.wanted += [
                Change(0, sender, False, self.now + timing.CATCH_UP),
                Change(0, sender, True, self.now + timing.CATCH_UP),
            ]

    def tend_changes(self) -> None:
        """Carry the next change out, once the one before is agreed and this term has agreed on something."""
        if self.role != LEADER:
            return
        for change in [change for change in self.wanted if self.now >= change.until]:
            self.wanted.remove(change)
            self.tell(change.ticket, How.REFUSED, why=f"{change.name}: not done in time; nothing was changed")
        if not self.wanted or not self.may_change():
            return
        change = self.wanted[0]
        membership = self.log.membership
        voters = dict(membership.voters)
        if change.votes == (change.name in voters):
            self.wanted.pop(0)
            self.tell(change.ticket, How.AGREED, self.log.membership_at, why="it is so")
            return
        if change.votes:
            p = self.progress.get(change.name)
            if p is None:
                self.progress[change.name] = Progress("", self.log.last + 1, until=change.until)
                self.send_to(change.name, True)
                return
            if not p.member or p.match < self.agreed or self.now - p.heard > timing.ELECT:
                return
            voters[change.name] = p.member
        else:
            del voters[change.name]
        after = Membership(tuple(sorted(voters.items())))
        reached = self.in_touch() | ({change.name} if change.votes else set())
        if len(reached & set(after.names())) < after.quorum:
            return  # the group would stand still
        self.wanted.pop(0)
        again = change.name if not change.ticket and not change.votes else ""  # to be readmitted
        entry = self.add_entry(MEMBERS, msgspec.msgpack.encode(after), again)
        self.changing[entry.index] = change.ticket
        self.strangers.pop(change.name, None)
        self.tend_progress()

    def may_change(self) -> bool:
        """The change before is agreed, and so is an entry of this term."""
        return self.log.membership_at <= self.agreed and self.agreed >= self.term_start

    def changed(self) -> None:
        """Entries took effect: tell of changes; a leader that no longer votes ends."""
        ended, self.ended = self.ended, []
        for index, _ in ended:
            if index in self.changing:
                self.tell(self.changing.pop(index), How.AGREED, index)
        if ended and self.role == LEADER and not self.votes and self.log.membership_at <= self.firm:
            self.beat()
            self.follow(self.term, "")

    def deposed(self) -> None:
        """Leadership ended: nothing of it may be told any more."""
        for ticket in self.changing.values():
            self.tell(ticket, How.UNKNOWN, why="leadership ended; it may still come")
        for change in self.wanted:
            self.tell(change.ticket, How.REFUSED, why="leadership ended")
        self.changing, self.wanted, self.confirms, self.strangers = {}, [], [], {}
        self.progress, self.queued = {}, {}
