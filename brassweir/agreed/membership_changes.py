"""Membership changes: one voter at a time, caught up before it votes; lost voters are readmitted. Pure."""

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
    """Another member id that answers under a voter's name. Times are monotonic ms."""

    member: str
    first_seen: float
    last_seen: float


class MembershipChanges(Proposals):
    """The leader changes one voter at a time, each after the change before it is committed."""

    pending_changes: list[ChangeVoter]
    changes_in_log: dict[int, int]  # tickets by log index
    unknown_members: dict[str, UnknownMember]
    readmissions: dict[str, float]  # names, and when each may be readmitted again

    def become_leader(self) -> None:
        """Continue a readmission that an earlier leader began by removing the voter."""
        super().become_leader()
        at = self.log.membership_index
        name = self.log.get(at).session if at > self.log.base.index else ""
        if name and name not in self.log.membership.names():
            self.pending_changes.append(ChangeVoter(0, name, True, self.now + timing.CATCH_UP_MS))

    def on_change(self, change: ChangeVoter) -> None:
        """Queue a change, or refuse it."""
        if self.role != LEADER:
            where = f"ask {self.leader}, which leads" if self.leader else "no leader is known"
            self.finish(change.ticket, OutcomeKind.REFUSED, why=where)
        elif change.votes and len(self.log.membership.voters) >= timing.MAX_VOTERS:
            self.finish(change.ticket, OutcomeKind.REFUSED, why=f"{timing.MAX_VOTERS} vote: no more may")
        elif not change.votes and self.log.membership.names() == [change.name]:
            self.finish(change.ticket, OutcomeKind.REFUSED, why=f"{change.name} is the only one that votes")
        else:
            self.pending_changes.append(change)
            self.tick_changes()

    def note_unknown_member(self, sender: str, member: str) -> None:
        """Readmit a voter that keeps answering under another id: its directory was lost or given up."""
        voters = dict(self.log.membership.voters)
        if self.role != LEADER or sender not in voters:
            return
        if voters[sender] == member:
            self.unknown_members.pop(sender, None)
            return
        unknown = self.unknown_members.get(sender)
        if unknown is None or unknown.member != member:
            unknown = self.unknown_members[sender] = UnknownMember(member, self.now, self.now)
        unknown.last_seen = self.now
        if self.now - unknown.first_seen >= timing.READMISSION_DELAY_MS and self.now >= self.readmissions.get(
            sender, 0.0
        ):
            self.readmissions[sender] = self.now + timing.READMISSION_SPACING_MS
            self.pending_changes += [
                ChangeVoter(0, sender, False, self.now + timing.CATCH_UP_MS),
                ChangeVoter(0, sender, True, self.now + timing.CATCH_UP_MS),
            ]

    def tick_changes(self) -> None:
        """Append the next change, once the one before it and an entry of this term are committed."""
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
                self.progress[change.name] = Progress(
                    "", self.log.last_index + 1, admission_deadline=change.deadline
                )
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
        changed = Membership(tuple(sorted(voters.items())))
        reachable = self.responsive_voters() | ({change.name} if change.votes else set())
        if len(reachable & set(changed.names())) < changed.quorum:
            return  # the new quorum could not commit
        self.pending_changes.pop(0)
        readmitted = change.name if not change.ticket and not change.votes else ""
        entry = self.add_entry(MEMBERS, msgspec.msgpack.encode(changed), readmitted)
        self.changes_in_log[entry.index] = change.ticket
        self.unknown_members.pop(change.name, None)
        self.update_progress()

    def may_change(self) -> bool:
        """Whether the change before and an entry of this term are committed."""
        return self.log.membership_index <= self.commit_index and self.commit_index >= self.term_start

    def finish_changes(self) -> None:
        """Complete changes that took effect; a leader that no longer votes steps down."""
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
        """End all open changes, and drop what only a leader keeps."""
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
