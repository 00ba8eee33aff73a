"""What this copy asks the group: proposals that take effect once however often sent, and current reads. Pure.

A proposal is named by session and number. Whoever leads puts it into the log; the copy that proposed learns
of its end from the log itself. So an answer is never lost, only late, and a repeated one takes effect once.
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
    sent: bool = False  # from here on it may come into a log somewhere
    sent_to: str = ""  # the leader that it was brought to last
    retry_ms: float = timing.RETRY_MS  # ms until it is brought to the same leader again


@dataclass
class PendingRead:
    """A read that waits: for an index, then until that is applied."""

    ticket: int  # the asker's
    deadline: float
    retry_at: float
    index: int = -1


@dataclass
class PendingReadIndex:
    """A leader's promise to find out whether it still leads, for some asker's read."""

    asker: str
    request_id: int
    index: int
    round: int
    deadline: float


@dataclass
class DuplicateFilter:
    """How long a leader keeps repeats of a proposal out of its log.

    A copy that is slow to learn what came of its proposal repeats it, and each repeat in the log goes to all
    copies. It is let in now and then, as the copy may have passed over the entry by a snapshot.
    """

    expires_at: float
    hold_ms: float


@dataclass
class LocalRequests:
    """What this copy has asked for."""

    session: str  # of this run; another one once the group forgot it
    last_seq: int = 0
    session_known: bool = False  # an entry of it took effect: until then it tells that it begins
    proposals: dict[int, PendingProposal] = field(default_factory=dict)
    reads: list[PendingRead] = field(default_factory=list)


class Proposals(LearnerPull):
    """Proposals and reads of this copy, and what a leader does with those of others."""

    requests: LocalRequests
    read_confirmations: list[PendingReadIndex]
    heartbeat_at: float
    duplicates: dict[tuple[str, int], DuplicateFilter]

    def become_leader(self) -> None:
        """Nothing was put into the log in this term."""
        self.duplicates = {}
        super().become_leader()

    # Proposals

    def on_propose(self, fact: Propose) -> None:
        """Take one on."""
        if len(fact.command) > timing.MAX_COMMAND_BYTES:
            why = f"a command of {len(fact.command)} bytes; at most {timing.MAX_COMMAND_BYTES} fit a message"
            self.finish(fact.ticket, OutcomeKind.REFUSED, why=why)
        elif len(self.requests.proposals) >= timing.MAX_PROPOSALS:
            self.finish(
                fact.ticket, OutcomeKind.REFUSED, why=f"{timing.MAX_PROPOSALS} proposals of this copy wait"
            )
        else:
            self.requests.last_seq += 1
            self.requests.proposals[self.requests.last_seq] = PendingProposal(fact, self.now)
            self.send_proposal(self.requests.last_seq)

    def send_proposal(self, seq: int) -> None:
        """Bring it to the leader, if one is known."""
        waiting = self.requests.proposals[seq]
        if self.leader != waiting.sent_to:
            waiting.retry_ms = timing.RETRY_MS
        waiting.retry_at, waiting.sent_to = self.now + waiting.retry_ms, self.leader
        waiting.retry_ms = (
            min(timing.MAX_RETRY_MS, 2.0 * waiting.retry_ms) if self.leader else timing.RETRY_MS
        )
        low = min(self.requests.proposals) if self.requests.session_known else 1
        if self.role == LEADER:
            waiting.sent = True
            self.append_proposal(self.requests.session, seq, low, waiting.proposal.command)
        elif self.leader and self.leader != self.name:
            waiting.sent = True
            self.send(self.leader, ForwardProposal(self.requests.session, seq, low, waiting.proposal.command))

    def append_proposal(self, session: str, seq: int, low: int, command: bytes) -> None:
        """A leader puts it into the log, unless it stands there without effect, or came there lately."""
        key = (session, seq)
        if key in self.unapplied or self.log.last_index - self.commit_index >= timing.MAX_UNCOMMITTED:
            return
        repeat = self.duplicates.pop(key, None)
        if repeat is not None and self.now < repeat.expires_at:
            self.duplicates[key] = repeat
            return
        span = timing.DUPLICATE_HOLD_MS if repeat is None else 2.0 * repeat.hold_ms
        self.duplicates[key] = DuplicateFilter(self.now + span, span)
        while len(self.duplicates) > timing.MAX_DUPLICATE_FILTERS:
            del self.duplicates[next(iter(self.duplicates))]
        self.add_entry(COMMAND, command, session, seq, low)

    def on_forward(self, sender: str, message: ForwardProposal) -> None:
        """Take another copy's proposal, or pass it on."""
        if len(message.command) > timing.MAX_COMMAND_BYTES:
            self.count_dropped("forward too large")
        elif self.role == LEADER:
            self.append_proposal(message.session, message.seq, message.lowest_open, message.command)
        elif self.leader not in ("", self.name, sender) and message.hops < 2:
            self.send(self.leader, msgspec.structs.replace(message, hops=message.hops + 1))

    def on_applied(self, entry: Entry, done: tuple[int, bytes, bool] | None) -> None:
        """An entry took effect: tell whoever waits for it."""
        self.unapplied.pop((entry.session, entry.seq), None)
        if entry.session != self.requests.session:
            return
        self.requests.session_known = self.requests.session_known or done is not None
        if entry.seq not in self.requests.proposals:
            return
        waiting = self.requests.proposals.pop(entry.seq)
        if done is None:
            self.finish(
                waiting.proposal.ticket,
                OutcomeKind.UNKNOWN,
                why="the group no longer knows this copy's session",
            )
            self.new_session()
        else:
            self.finish(waiting.proposal.ticket, OutcomeKind.AGREED, done[0], done[1])

    def new_session(self) -> None:
        """All that waits under the old name ends unknown."""
        for waiting in self.requests.proposals.values():
            how = OutcomeKind.UNKNOWN if waiting.sent else OutcomeKind.REFUSED
            self.finish(waiting.proposal.ticket, how, why="the group no longer knows this copy's session")
        self.requests = LocalRequests(f"{self.rng.getrandbits(64):016x}", reads=self.requests.reads)

    def tick_proposals(self) -> None:
        """Try again, or give up at their time."""
        for seq, waiting in list(self.requests.proposals.items()):
            if self.now >= waiting.proposal.deadline:
                del self.requests.proposals[seq]
                if waiting.sent:
                    self.finish(
                        waiting.proposal.ticket,
                        OutcomeKind.UNKNOWN,
                        why="not agreed in time; it may still come",
                    )
                else:
                    self.finish(waiting.proposal.ticket, OutcomeKind.REFUSED, why="no leader is known")
            elif self.now >= waiting.retry_at or self.leader not in ("", waiting.sent_to):
                self.send_proposal(seq)

    # Reads

    def on_read(self, fact: ReadCurrent) -> None:
        """Find the index that a current read needs."""
        self.requests.reads.append(PendingRead(fact.ticket, fact.deadline, self.now))
        self.tick_reads()

    def tick_reads(self) -> None:
        """Ask, give up, and tell those whose index is applied."""
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
        """A number that no other run of this copy uses: an answer to an earlier run's question is too old."""
        return self.identity.nonce << 20 | reading.ticket & 0xFFFFF

    def on_read_index_request(self, sender: str, message: ReadIndexRequest) -> None:
        """A leader that has agreed on an entry of its own term asks a quorum whether it still leads."""
        if self.role == LEADER and self.commit_index >= self.term_start:
            self.read_confirmations = [
                confirm for confirm in self.read_confirmations if confirm.deadline > self.now
            ][-1_000:]
            until = self.now + timing.ELECTION_MS
            self.read_confirmations.append(
                PendingReadIndex(
                    sender, message.request_id, self.commit_index, self.heartbeat_round + 1, until
                )
            )
            self.heartbeat_at = self.now

    def confirm_reads(self) -> None:
        """Answer reads whose round a quorum has answered."""
        if not self.read_confirmations:
            return
        voters = self.log.membership.voters
        rounds = sorted((self.answered_round_of(name, member) for name, member in voters), reverse=True)
        answered = rounds[self.log.membership.quorum - 1]
        for confirm in [confirm for confirm in self.read_confirmations if confirm.round <= answered]:
            self.read_confirmations.remove(confirm)
            self.deliver(confirm.asker, ReadIndexReply(confirm.request_id, confirm.index))

    def answered_round_of(self, name: str, member: str) -> int:
        """The latest round a voter answered in this term."""
        if (name, member) == (self.name, self.identity.member):
            return self.heartbeat_round
        p = self.progress.get(name)
        return p.answered_round if p is not None and p.member == member else 0

    def on_read_index_reply(self, message: ReadIndexReply) -> None:
        """The answer. Once that is applied, so is all that was told before the question."""
        for reading in self.requests.reads:
            if self.request_id_of(reading) == message.request_id and reading.index < 0:
                reading.index = message.index
