"""Who votes: one change at a time, learners caught up before they vote, lost folders readmitted. Pure."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from brassweir.agreed import timing
from brassweir.agreed.core_state import LEADER
from brassweir.agreed.events import ChangeVoter, OutcomeKind
from brassweir.agreed.messages import MEMBERS, Membership
from brassweir.agreed.progress import Progress
from brassweir.agreed.proposals import Proposals


@dataclass
class UnknownMember:
    """Another member answers under a voter's name."""

    member: str
    since: float
    last: float


class MembershipChanges(Proposals):
    """The leader changes one voter at a time, each after the one before is agreed."""

    pending_changes: list[ChangeVoter]
    changes_in_log: dict[int, int]  # tickets of changes in the log, by index
    unknown_members: dict[str, UnknownMember]
    readmissions: dict[str, float]  # names, and when they may be readmitted again

    def become_leader(self) -> None:
        """A voter that a leader before took out to readmit it is still to be readmitted."""
        super().become_leader()
        at = self.log.membership_index
        name = self.log.get(at).session if at > self.log.base.index else ""
        if name and name not in self.log.membership.names():
            self.pending_changes.append(ChangeVoter(0, name, True, self.now + timing.CATCH_UP_MS))

    def on_change(self, fact: ChangeVoter) -> None:
        """Take a change on."""
        if self.role != LEADER:
            where = f"ask {self.leader}, which leads" if self.leader else "no leader is known"
            self.finish(fact.ticket, OutcomeKind.REFUSED, why=where)
        elif fact.votes and len(self.log.membership.voters) >= timing.MAX_VOTERS:
            self.finish(fact.ticket, OutcomeKind.REFUSED, why=f"{timing.MAX_VOTERS} vote: no more may")
        elif not fact.votes and self.log.membership.names() == [fact.name]:
            self.finish(fact.ticket, OutcomeKind.REFUSED, why=f"{fact.name} is the only one that votes")
        else:
            self.pending_changes.append(fact)
            self.tick_changes()

    def note_unknown_member(self, sender: str, member: str) -> None:
        """A voter's name answers with an id that does not vote: its folder was lost, or gave its id up."""
        voters = dict(self.log.membership.voters)
        if self.role != LEADER or sender not in voters:
            return
        if voters[sender] == member:
            self.unknown_members.pop(sender, None)
            return
        known = self.unknown_members.get(sender)
        if known is None or known.member != member:
            known = self.unknown_members[sender] = UnknownMember(member, self.now, self.now)
        known.last = self.now
        if self.now - known.since >= timing.READMISSION_DELAY_MS and self.now >= self.readmissions.get(
            sender, 0.0
        ):
            self.readmissions[sender] = self.now + timing.READMISSION_SPACING_MS
            self.pending_changes += [
                ChangeVoter(0, sender, False, self.now + timing.CATCH_UP_MS),
                ChangeVoter(0, sender, True, self.now + timing.CATCH_UP_MS),
            ]

    def tick_changes(self) -> None:
        """Carry the next change out, once the one before is agreed and this term has agreed on something."""
        if self.role != LEADER:
            return
        for change in [change for change in self.pending_changes if self.now >= change.deadline]:
            self.pending_changes.remove(change)
            self.finish(
                change.ticket,
                OutcomeKind.REFUSED,
                why=f"{change.name}: not done in time; nothing was changed",
            )
        if not self.pending_changes or not self.may_change():
            return
        change = self.pending_changes[0]
        membership = self.log.membership
        voters = dict(membership.voters)
        if change.votes == (change.name in voters):
            self.pending_changes.pop(0)
            self.finish(change.ticket, OutcomeKind.AGREED, self.log.membership_index, why="it is so")
            return
        if change.votes:
            p = self.progress.get(change.name)
            if p is None:
                self.progress[change.name] = Progress("", self.log.last_index + 1, until=change.deadline)
                self.send_append(change.name, True)
                return
            if (
                not p.member
                or p.match_index < self.commit_index
                or self.now - p.heard_at > timing.ELECTION_MS
            ):
                return
            voters[change.name] = p.member
        else:
            del voters[change.name]
        after = Membership(tuple(sorted(voters.items())))
        reached = self.responsive_voters() | ({change.name} if change.votes else set())
        if len(reached & set(after.names())) < after.quorum:
            return  # the group would stand still
        self.pending_changes.pop(0)
        again = change.name if not change.ticket and not change.votes else ""  # to be readmitted
        entry = self.add_entry(MEMBERS, msgspec.msgpack.encode(after), again)
        self.changes_in_log[entry.index] = change.ticket
        self.unknown_members.pop(change.name, None)
        self.update_progress()

    def may_change(self) -> bool:
        """The change before is agreed, and so is an entry of this term."""
        return self.log.membership_index <= self.commit_index and self.commit_index >= self.term_start

    def finish_changes(self) -> None:
        """Entries took effect: tell of changes; a leader that no longer votes ends."""
        ended, self.applied_entries = self.applied_entries, []
        for index, _ in ended:
            if index in self.changes_in_log:
                self.finish(self.changes_in_log.pop(index), OutcomeKind.AGREED, index)
        if (
            ended
            and self.role == LEADER
            and not self.is_voter
            and self.log.membership_index <= self.durable_commit
        ):
            self.broadcast_heartbeat()
            self.become_follower(self.term, "")

    def on_leadership_lost(self) -> None:
        """Leadership ended: nothing of it may be told any more."""
        for ticket in self.changes_in_log.values():
            self.finish(ticket, OutcomeKind.UNKNOWN, why="leadership ended; it may still come")
        for change in self.pending_changes:
            self.finish(change.ticket, OutcomeKind.REFUSED, why="leadership ended")
        self.changes_in_log, self.pending_changes, self.read_confirmations, self.unknown_members = (
            {},
            [],
            [],
            {},
        )
        self.progress, self.unapplied = {}, {}
