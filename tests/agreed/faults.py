"""Cores with one guard taken out each: what must be seen broken by whoever judges from outside."""

from __future__ import annotations

from typing import Any

from brassweir.agreed import messages as m
from brassweir.agreed.core import Core
from brassweir.agreed.facts import Step
from brassweir.agreed.records import Identity, Snapshot
from brassweir.agreed.state import LEADER


class VoteNotDurable(Core):
    def write_ballot(self, term: int, vote: str) -> None:
        self.term, self.vote = term, vote


class AckBeforeDurable(Core):
    def post_after(self, to: str, message: m.Message) -> None:
        if isinstance(message, m.Appended):
            self.post(to, message)
        else:
            super().post_after(to, message)


class NoPreVote(Core):
    def ask(self, pre: bool, called: bool = False) -> None:
        super().ask(False, called)


class CountsOlderTerms(Core):
    def count_agreed(self) -> None:
        voters = self.log.membership.voters
        matches = sorted((self.match_of(name, member) for name, member in voters), reverse=True)
        if self.role == LEADER and matches:
            self.agree(min(self.log.last, matches[self.log.membership.quorum - 1]), self.acks())


class ReadsOnBelief(Core):
    def on_ask_read(self, sender: str, message: m.AskRead) -> None:
        if self.role == LEADER:
            self.deliver(sender, m.ReadAt(message.ask, self.agreed))

    def stalled(self) -> None:
        pass


class RestoredVotes(Core):
    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.sure = True

    def give_up(self) -> None:
        pass


class LostVotesAsBefore(Core):
    """Its id is its name: one that lost its folder goes on as the one it was."""

    runs = 0

    def __init__(self, name: str, kept: Any, *args: Any) -> None:
        LostVotesAsBefore.runs += 1
        kept.identity = Identity(name, kept.identity.group, LostVotesAsBefore.runs, 1)
        super().__init__(name, kept, *args)
        self.sure = True


class ChangesBeforeAgreed(Core):
    def may_change(self) -> bool:
        return True


class SnapshotOverNewer(Core):
    def install(self, snap: Snapshot) -> None:
        self.agreed = self.applied = min(self.agreed, snap.index - 1)
        super().install(snap)


class KeepsConflict(Core):
    def take(self, entries: tuple[m.Entry, ...]) -> None:
        super().take(tuple(entry for entry in entries if entry.index > self.log.last))


class ForgetsSessions(Core):
    def step(self, *args: Any) -> list[Step]:
        self.replica.sessions.clear()
        return super().step(*args)


class AppliesBeforeDurable(Core):
    def apply(self) -> None:
        self.firm = max(self.firm, min(self.agreed, self.log.last))
        super().apply()


class LeadsBeforeDurable(Core):
    def win(self) -> None:
        super().win()
        self.lead()
