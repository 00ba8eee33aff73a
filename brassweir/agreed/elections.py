"""Elections: pre-vote, votes, and a leader that steps down without contact to a quorum. Pure."""

from __future__ import annotations

from brassweir.agreed import timing
from brassweir.agreed.core_state import CANDIDATE, ELECTED, FOLLOWER, LEADER, PRE_CANDIDATE
from brassweir.agreed.leader_replication import LeaderReplication
from brassweir.agreed.messages import NOOP, TimeoutNow, VoteReply, VoteRequest


class Elections(LeaderReplication):
    """Elects the leader."""

    votes_granted: set[tuple[str, str]]
    transfer_requested = False  # the leader itself asked for this election
    vote_retry_at = 0.0  # when voters that did not answer are asked again
    vote_requested = False  # a vote was requested that this member may not give yet

    def may_vote(self) -> bool:
        """Whether the directory is confirmed to hold all votes and entries that this member ever gave."""
        return self.identity_confirmed and not self.write_error

    def tick_election(self) -> None:
        """Start or repeat an election when due; a leader without contact to a quorum steps down."""
        if self.role == LEADER:
            if len(self.responsive_voters()) < self.log.membership.quorum:
                self.become_follower(self.term, "")
                self.reset_election_timer()
        elif self.now >= self.election_deadline:
            if self.is_voter and self.may_vote() and not self.writes_in_flight:  # else the disk is slow
                self.campaign(pre=True)
            else:
                self.reset_election_timer()
        elif self.role in (PRE_CANDIDATE, CANDIDATE) and self.now >= self.vote_retry_at:
            self.request_votes()

    def on_stall(self) -> None:
        """This process was paused: what it knew of the others is out of date."""
        if self.role != LEADER:
            self.leader_heard_at = min(self.leader_heard_at, self.now - timing.ELECTION_MS)
        self.become_follower(self.term, "")
        self.reset_election_timer()

    def campaign(self, pre: bool, transfer: bool = False) -> None:
        """Start a pre-vote or an election, and vote for itself."""
        self.reset_election_timer()
        self.votes_granted = set()
        self.leader = ""
        self.transfer_requested = transfer
        if pre:
            self.role = PRE_CANDIDATE
        else:
            self.role = CANDIDATE
            self.write_ballot(self.term + 1, self.identity.member)
        self.request_votes()
        self.send_when_durable(
            self.name, VoteReply(self.term, self.term + 1 if pre else self.term, True, pre)
        )

    def request_votes(self) -> None:
        """Ask the voters that have not granted their vote."""
        self.vote_retry_at = self.now + timing.VOTE_RETRY_MS
        pre, granted = self.role == PRE_CANDIDATE, {name for name, _ in self.votes_granted}
        term = self.term + 1 if pre else self.term
        request = VoteRequest(term, self.log.last_index, self.log.last_term, pre, self.transfer_requested)
        for name in self.other_voters():
            if name not in granted:
                self.send_when_durable(name, request)

    def on_vote_request(self, sender: str, member: str, message: VoteRequest) -> None:
        """Answer a vote request; not while a leader is in contact: a returning copy must not disrupt it."""
        leader_known = self.now - self.leader_heard_at < timing.ELECTION_MS or self.role == LEADER
        if leader_known and not message.transfer:
            return
        self.vote_requested = self.vote_requested or not self.identity_confirmed
        if message.term < self.term or not self.may_vote():
            self.send_when_durable(sender, VoteReply(self.term, message.term, False, message.pre))
            return
        up_to_date = (message.last_term, message.last_index) >= (self.log.last_term, self.log.last_index)
        if message.pre:
            granted = up_to_date and message.term > self.term
            self.send_when_durable(sender, VoteReply(self.term, message.term, granted, True))
            same_log = (message.last_term, message.last_index) == (self.log.last_term, self.log.last_index)
            if granted and self.role == PRE_CANDIDATE and (not same_log or sender < self.name):
                self.role = FOLLOWER  # two pre-candidates would split the votes
                self.reset_election_timer()
            return
        if message.term > self.term:
            self.become_follower(message.term, "")
        granted = up_to_date and self.vote in ("", member)
        if granted:
            self.reset_election_timer()
            if not self.vote:
                self.write_ballot(self.term, member)
        self.send_when_durable(sender, VoteReply(self.term, message.term, granted))

    def on_vote_reply(self, sender: str, member: str, message: VoteReply) -> None:
        """Count a vote; a quorum turns a pre-vote into an election, and wins an election."""
        if message.term > self.term and not message.granted:
            self.become_follower(message.term, "")
            return
        if not self.has_vote(sender, member) or not message.granted:
            return
        if message.pre and self.role == PRE_CANDIDATE and message.requested_term == self.term + 1:
            self.votes_granted.add((sender, member))
            if len(self.votes_granted) >= self.log.membership.quorum:
                self.campaign(pre=False)
        elif (
            not message.pre and self.role == CANDIDATE and message.requested_term == message.term == self.term
        ):
            self.votes_granted.add((sender, member))
            if len(self.votes_granted) >= self.log.membership.quorum:
                self.on_elected()

    def on_elected(self) -> None:
        """Won. It leads once that, and who voted, is durable: no vote that counted is ever forgotten."""
        self.role = ELECTED
        for _, member in sorted(self.votes_granted):
            if member != self.identity.member and member in self.member_records:
                memory = self.member_records[member]
                self.note_ack((member, memory.generation, memory.nonce, self.term, 0))
                self.write(self.member_records[member])
        self.collect_unapplied()
        self.term_start = self.add_entry(NOOP, b"").index
        self.send_when_durable(self.name, TimeoutNow(self.term))

    def on_timeout_now(self, sender: str, message: TimeoutNow) -> None:
        """From itself: what it won by is durable. From the leader: it stops, start an election."""
        if message.term != self.term:
            return
        if sender == self.name:
            if self.role == ELECTED:
                self.become_leader()
        elif sender == self.leader and self.role == FOLLOWER and self.is_voter and self.may_vote():
            self.campaign(pre=False, transfer=True)

    def transfer_leadership(self) -> None:
        """Ask the responsive copy with the longest log to take over, if this member leads."""
        if self.role != LEADER:
            return
        ready = [
            (p.match_index, name) for name, p in self.progress.items() if name in self.responsive_voters()
        ]
        if ready and max(ready)[0] >= self.commit_index:
            self.send(max(ready)[1], TimeoutNow(self.term))
