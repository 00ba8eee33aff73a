"""Cores without one safeguard each, whose faults the judges must detect."""

from __future__ import annotations

from typing import Any

from brassweir.agreed import messages as m
from brassweir.agreed.core import Core
from brassweir.agreed.core_state import LEADER
from brassweir.agreed.events import Action
from brassweir.agreed.records import Identity, Snapshot


class VoteNotDurable(Core):
    def write_ballot(self, term: int, vote: str) -> None:
        self.term, self.vote = term, vote


class AckBeforeDurable(Core):
    def send_when_durable(self, to: str, message: m.Message) -> None:
        if isinstance(message, m.AppendReply):
            self.send(to, message)
        else:
            super().send_when_durable(to, message)


class NoPreVote(Core):
    def campaign(self, pre: bool, transfer: bool = False) -> None:
        super().campaign(False, transfer)


class CountsOlderTerms(Core):
    def advance_commit_index(self) -> None:
        voters = self.log.membership.voters
        matches = sorted((self.match_index_of(name, member) for name, member in voters), reverse=True)
        if self.role == LEADER and matches:
            self.commit_up_to(min(self.log.last_index, matches[self.log.membership.quorum - 1]), self.acks())


class ReadsOnBelief(Core):
    def on_read_index_request(self, sender: str, message: m.ReadIndexRequest) -> None:
        if self.role == LEADER:
            self.deliver(sender, m.ReadIndexReply(message.request_id, self.commit_index))

    def on_stall(self) -> None:
        pass


class RestoredVotes(Core):
    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.identity_confirmed = True

    def abandon_identity(self) -> None:
        pass


class LostVotesAsBefore(Core):
    """Its id is its name: after a lost directory it goes on as the same member."""

    runs = 0

    def __init__(self, name: str, kept: Any, *args: Any) -> None:
        LostVotesAsBefore.runs += 1
        kept.identity = Identity(name, kept.identity.group, LostVotesAsBefore.runs, 1)
        super().__init__(name, kept, *args)
        self.identity_confirmed = True


class ChangesBeforeAgreed(Core):
    def may_change(self) -> bool:
        return True


class SnapshotOverNewer(Core):
    def install_snapshot(self, snap: Snapshot) -> None:
        self.commit_index = self.applied_index = min(self.commit_index, snap.index - 1)
        super().install_snapshot(snap)


class KeepsConflict(Core):
    def append_received(self, entries: tuple[m.Entry, ...]) -> None:
        super().append_received(tuple(entry for entry in entries if entry.index > self.log.last_index))


class ForgetsSessions(Core):
    def step(self, *args: Any) -> list[Action]:
        self.replica.sessions.clear()
        return super().step(*args)


class AppliesBeforeDurable(Core):
    def apply_committed(self) -> None:
        self.durable_commit = max(self.durable_commit, min(self.commit_index, self.log.last_index))
        super().apply_committed()


class LeadsBeforeDurable(Core):
    def on_elected(self) -> None:
        super().on_elected()
        self.become_leader()
