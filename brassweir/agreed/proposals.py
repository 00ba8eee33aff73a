"""Requests of this copy to the group: proposals, and reads at a read index. Pure.

The leader appends a proposal, named by session and number, to the log; its copy learns the result by applying
it. So a result may be late but is not lost, and a repeated proposal takes effect once.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from brassweir.agreed import timing
from brassweir.agreed.core_state import LEADER
from brassweir.agreed.events import OutcomeKind, Propose, ReadCurrent
from brassweir.agreed.learner_pull import LearnerPull
from brassweir.agreed.messages import COMMAND, Entry, ForwardProposal, ReadIndexReply, ReadIndexRequest


@dataclass
class PendingProposal:
    """A proposal that has not ended."""

    proposal: Propose
    retry_at: float
    sent: bool = False  # it may be in a log somewhere
    sent_to: str = ""  # the leader that it was sent to last
    retry_ms: float = timing.RETRY_MS  # until it is sent to the same leader again


@dataclass
class PendingRead:
    """A read that waits for its read index, then until that is applied."""

    ticket: int
    deadline: float
    retry_at: float
    index: int = -1


@dataclass
class PendingReadIndex:
    """A read index that the leader sends once a quorum has answered the heartbeat ``round``."""

    requester: str
    request_id: int
    index: int
    round: int
    deadline: float


@dataclass
class DuplicateFilter:
    """How long a leader drops repeats of a proposal, as each one in the log goes to all copies.

    A repeat is let in now and then: the proposer may have skipped the entry by a snapshot.
    """

    expires_at: float
    hold_ms: float


@dataclass
class LocalRequests:
    """Open requests of this copy."""

    session: str  # drawn in each run, and again once the group forgot it
    last_seq: int = 0
    session_known: bool = False  # an entry of it took effect; until then entries state that it begins
    proposals: dict[int, PendingProposal] = field(default_factory=dict)
    reads: list[PendingRead] = field(default_factory=list)


class Proposals(LearnerPull):
    """Proposals and reads of this copy, and what a leader does with those of others."""

    requests: LocalRequests
    read_confirmations: list[PendingReadIndex]
    heartbeat_at: float
    duplicates: dict[tuple[str, int], DuplicateFilter]  # of proposals that were appended lately

    def become_leader(self) -> None:
        """No proposal was appended in this term yet."""
        self.duplicates = {}
        super().become_leader()

    def on_propose(self, event: Propose) -> None:
        """Accept a proposal, or refuse it if it is too large or too many are open."""
        if len(event.command) > timing.MAX_COMMAND_BYTES:
            why = f"a command of {len(event.command)} bytes; at most {timing.MAX_COMMAND_BYTES} fit a message"
            self.finish(event.ticket, OutcomeKind.REFUSED, why=why)
        elif len(self.requests.proposals) >= timing.MAX_PROPOSALS:
            self.finish(
                event.ticket, OutcomeKind.REFUSED, why=f"{timing.MAX_PROPOSALS} proposals of this copy wait"
            )
        else:
            self.requests.last_seq += 1
            self.requests.proposals[self.requests.last_seq] = PendingProposal(event, self.now)
            self.send_proposal(self.requests.last_seq)

    def send_proposal(self, seq: int) -> None:
        """Append a proposal as leader, or send it to the leader if one is known."""
        pending = self.requests.proposals[seq]
        if self.leader != pending.sent_to:
            pending.retry_ms = timing.RETRY_MS
        pending.retry_at, pending.sent_to = self.now + pending.retry_ms, self.leader
        pending.retry_ms = (
            min(timing.MAX_RETRY_MS, 2.0 * pending.retry_ms) if self.leader else timing.RETRY_MS
        )
        low = min(self.requests.proposals) if self.requests.session_known else 1
        if self.role == LEADER:
            pending.sent = True
            self.append_proposal(self.requests.session, seq, low, pending.proposal.command)
        elif self.leader and self.leader != self.name:
            pending.sent = True
            self.send(
                self.leader,
                ForwardProposal(self.requests.session, seq, low, pending.proposal.command),
            )

    def append_proposal(self, session: str, seq: int, lowest_open: int, command: bytes) -> None:
        """As leader append a proposal, unless it is in the log unapplied, or was appended lately."""
        key = (session, seq)
        if key in self.unapplied or self.log.last_index - self.commit_index >= timing.MAX_UNCOMMITTED:
            return
        duplicate = self.duplicates.pop(key, None)
        if duplicate is not None and self.now < duplicate.expires_at:
            self.duplicates[key] = duplicate
            return
        hold_ms = timing.DUPLICATE_HOLD_MS if duplicate is None else 2.0 * duplicate.hold_ms
        self.duplicates[key] = DuplicateFilter(self.now + hold_ms, hold_ms)
        while len(self.duplicates) > timing.MAX_DUPLICATE_FILTERS:
            del self.duplicates[next(iter(self.duplicates))]
        self.add_entry(COMMAND, command, session, seq, lowest_open)

    def on_forward(self, sender: str, message: ForwardProposal) -> None:
        """Append another copy's proposal, or pass it on to the leader."""
        if len(message.command) > timing.MAX_COMMAND_BYTES:
            self.count_dropped("forward too large")
        elif self.role == LEADER:
            self.append_proposal(message.session, message.seq, message.lowest_open, message.command)
        elif self.leader not in ("", self.name, sender) and message.hops < 2:
            self.send(self.leader, msgspec.structs.replace(message, hops=message.hops + 1))

    def on_applied(self, entry: Entry, done: tuple[int, bytes, bool] | None) -> None:
        """An entry took effect: complete the proposal that waits for it."""
        self.unapplied.pop((entry.session, entry.seq), None)
        if entry.session != self.requests.session:
            return
        self.requests.session_known = self.requests.session_known or done is not None
        if entry.seq not in self.requests.proposals:
            return
        pending = self.requests.proposals.pop(entry.seq)
        if done is None:
            self.finish(
                pending.proposal.ticket,
                OutcomeKind.UNKNOWN,
                why="the group no longer knows this copy's session",
            )
            self.new_session()
        else:
            self.finish(pending.proposal.ticket, OutcomeKind.AGREED, done[0], done[1])

    def new_session(self) -> None:
        """The group forgot this session: its open proposals end, and another session begins."""
        for pending in self.requests.proposals.values():
            kind = OutcomeKind.UNKNOWN if pending.sent else OutcomeKind.REFUSED
            self.finish(pending.proposal.ticket, kind, why="the group no longer knows this copy's session")
        self.requests = LocalRequests(f"{self.rng.getrandbits(64):016x}", reads=self.requests.reads)

    def tick_proposals(self) -> None:
        """Retry proposals when due, and end those that are past their deadline."""
        for seq, pending in list(self.requests.proposals.items()):
            if self.now >= pending.proposal.deadline:
                del self.requests.proposals[seq]
                if pending.sent:
                    self.finish(
                        pending.proposal.ticket,
                        OutcomeKind.UNKNOWN,
                        why="not agreed in time; it may still come",
                    )
                else:
                    self.finish(pending.proposal.ticket, OutcomeKind.REFUSED, why="no leader is known")
            elif self.now >= pending.retry_at or self.leader not in ("", pending.sent_to):
                self.send_proposal(seq)

    # Reads

    def on_read(self, event: ReadCurrent) -> None:
        """Start a linearizable read."""
        self.requests.reads.append(PendingRead(event.ticket, event.deadline, self.now))
        self.tick_reads()

    def tick_reads(self) -> None:
        """Request read indexes; complete reads whose index is applied or whose deadline has passed."""
        for reading in list(self.requests.reads):
            if 0 <= reading.index <= self.applied_index:
                self.requests.reads.remove(reading)
                self.finish(reading.ticket, OutcomeKind.AGREED, self.applied_index)
            elif self.now >= reading.deadline:
                self.requests.reads.remove(reading)
                self.finish(reading.ticket, OutcomeKind.REFUSED, why="no leader answered in time")
            elif reading.index < 0 and self.now >= reading.retry_at:
                reading.retry_at = self.now + timing.RETRY_MS
                if self.role == LEADER:
                    self.on_read_index_request(self.name, ReadIndexRequest(self.request_id_of(reading)))
                elif self.leader and self.leader != self.name:
                    self.send(self.leader, ReadIndexRequest(self.request_id_of(reading)))

    def request_id_of(self, reading: PendingRead) -> int:
        """An id that no other run of this copy uses: a reply to an earlier run would be too old."""
        return self.identity.nonce << 20 | reading.ticket & 0xFFFFF

    def on_read_index_request(self, sender: str, message: ReadIndexRequest) -> None:
        """A leader that has committed in its term asks a quorum whether it still leads."""
        if self.role == LEADER and self.commit_index >= self.term_start:
            self.read_confirmations = [
                pending for pending in self.read_confirmations if pending.deadline > self.now
            ][-1_000:]
            deadline = self.now + timing.ELECTION_MS
            self.read_confirmations.append(
                PendingReadIndex(
                    sender, message.request_id, self.commit_index, self.heartbeat_round + 1, deadline
                )
            )
            self.heartbeat_at = self.now

    def confirm_reads(self) -> None:
        """Send the read indexes whose round a quorum has answered."""
        if not self.read_confirmations:
            return
        voters = self.log.membership.voters
        rounds = sorted((self.answered_round_of(name, member) for name, member in voters), reverse=True)
        answered = rounds[self.log.membership.quorum - 1]
        for pending in [pending for pending in self.read_confirmations if pending.round <= answered]:
            self.read_confirmations.remove(pending)
            self.deliver(pending.requester, ReadIndexReply(pending.request_id, pending.index))

    def answered_round_of(self, name: str, member: str) -> int:
        """The latest heartbeat round that a voter answered in this term."""
        if (name, member) == (self.name, self.identity.member):
            return self.heartbeat_round
        p = self.progress.get(name)
        return p.answered_round if p is not None and p.member == member else 0

    def on_read_index_reply(self, message: ReadIndexReply) -> None:
        """Note the read index: the read completes once it is applied."""
        for reading in self.requests.reads:
            if self.request_id_of(reading) == message.request_id and reading.index < 0:
                reading.index = message.index
