"""Raft's elections: pre-vote, votes, a leader that keeps in touch with a quorum or steps down. Pure."""

from __future__ import annotations

from brassweir.agreed import timing
from brassweir.agreed.messages import NOOP, AskVote, TakeOver, Vote
from brassweir.agreed.replication import Replication
from brassweir.agreed.state import ASKING, CANDIDATE, ELECTED, FOLLOWER, LEADER


class Elections(Replication):
    """Who leads."""

    granted: set[tuple[str, str]]
    called = False  # this candidacy was asked for by the leader itself
    ask_at = 0.0  # when those that did not answer are asked again

    def may_vote(self) -> bool:
        """Nothing speaks against the folder: its votes and entries are all it ever gave."""
        return self.sure and not self.broken

    def tend_election(self) -> None:
        """Time passed."""
        if self.role == LEADER:
            if len(self.in_touch()) < self.log.membership.quorum:
                self.follow(self.term, "")
                self.rest()
        elif self.now >= self.elect_at:
            if self.votes and self.may_vote() and not self.waiting:  # a disk that is behind: not now
                self.ask(pre=True)
            else:
                self.rest()
        elif self.role in (ASKING, CANDIDATE) and self.now >= self.ask_at:
            self.ask_all()

    def stalled(self) -> None:
        """This member was away: what it believed of the others is old."""
        if self.role != LEADER:
            self.heard = min(self.heard, self.now - timing.ELECT)
        self.follow(self.term, "")
        self.rest()

    def ask(self, pre: bool, called: bool = False) -> None:
        """Ask all voters, this one with them."""
        self.rest()
        self.granted = set()
        self.leader = ""
        self.called = called
        if pre:
            self.role = ASKING
        else:
            self.role = CANDIDATE
            self.write_ballot(self.term + 1, self.identity.member)
        self.ask_all()
        self.post_after(self.name, Vote(self.term, self.term + 1 if pre else self.term, True, pre))

    def ask_all(self) -> None:
        """Ask those that have not granted it."""
        self.ask_at = self.now + timing.ASK_AGAIN
        pre, granted = self.role == ASKING, {name for name, _ in self.granted}
        term = self.term + 1 if pre else self.term
        asked = AskVote(term, self.log.last, self.log.last_term, pre, self.called)
        for name in self.others():
            if name not in granted:
                self.post_after(name, asked)

    def on_ask_vote(self, sender: str, member: str, message: AskVote) -> None:
        """Someone asks. Silence while a leader is heard keeps a copy that comes back from disturbing it."""
        heard = self.now - self.heard < timing.ELECT or self.role == LEADER
        if heard and not message.called:
            return
        if message.term < self.term or not self.may_vote():
            self.post_after(sender, Vote(self.term, message.term, False, message.pre))
            return
        newer = (message.last_term, message.last) >= (self.log.last_term, self.log.last)
        if message.pre:
            granted = newer and message.term > self.term
            self.post_after(sender, Vote(self.term, message.term, granted, True))
            same = (message.last_term, message.last) == (self.log.last_term, self.log.last)
            if granted and self.role == ASKING and (not same or sender < self.name):
                self.role = FOLLOWER  # two that ask at once would split the votes: one gives way
                self.rest()
            return
        if message.term > self.term:
            self.follow(message.term, "")
        granted = newer and self.vote in ("", member)
        if granted:
            self.rest()
            if not self.vote:
                self.write_ballot(self.term, member)
        self.post_after(sender, Vote(self.term, message.term, granted))

    def on_vote(self, sender: str, member: str, message: Vote) -> None:
        """An answer."""
        if message.term > self.term and not message.granted:
            self.follow(message.term, "")
            return
        if not self.voter(sender, member) or not message.granted:
            return
        if message.pre and self.role == ASKING and message.asked == self.term + 1:
            self.granted.add((sender, member))
            if len(self.granted) >= self.log.membership.quorum:
                self.ask(pre=False)
        elif not message.pre and self.role == CANDIDATE and message.asked == message.term == self.term:
            self.granted.add((sender, member))
            if len(self.granted) >= self.log.membership.quorum:
                self.win()

    def win(self) -> None:
        """Elected; leads once that, and who voted, is durable: so no vote that counted is ever forgotten."""
        self.role = ELECTED
        for _, member in sorted(self.granted):
            if member != self.identity.member and member in self.memory:
                memory = self.memory[member]
                self.remember((member, memory.life, memory.nonce, self.term, 0))
                self.write(self.memory[member])
        self.queue_again()
        self.term_start = self.add_entry(NOOP, b"").index
        self.post_after(self.name, TakeOver(self.term))

    def on_take_over(self, sender: str, message: TakeOver) -> None:
        """From itself: what it won by is durable. From the leader: it stops, be next."""
        if message.term != self.term:
            return
        if sender == self.name:
            if self.role == ELECTED:
                self.lead()
        elif sender == self.leader and self.role == FOLLOWER and self.votes and self.may_vote():
            self.ask(pre=False, called=True)

    def leave(self) -> None:
        """This process is about to stop: the one that has most is to go on."""
        if self.role != LEADER:
            return
        ready = [(p.match, name) for name, p in self.progress.items() if name in self.in_touch()]
        if ready and max(ready)[0] >= self.agreed:
            self.post(max(ready)[1], TakeOver(self.term))
