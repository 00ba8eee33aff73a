"""The pure core of the replicated log: events and the time in, actions out. Its mixins, from the base up:
state, follower and leader replication, elections, identity, learner feed, snapshot transfer, learner pull,
proposals, membership changes."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from brassweir.agreed import messages as m
from brassweir.agreed import timing
from brassweir.agreed.core_state import CANDIDATE, LEADER, PRE_CANDIDATE
from brassweir.agreed.events import (
    Action,
    ChangeVoter,
    CopiesChanged,
    Event,
    LoopStalled,
    OutcomeKind,
    Propose,
    ReadCurrent,
    Received,
    TransferLeadership,
    WakeAt,
    WriteFailed,
    Written,
)
from brassweir.agreed.membership_changes import MembershipChanges
from brassweir.agreed.proposals import LocalRequests
from brassweir.agreed.records import Persisted
from brassweir.agreed.reorder_buffer import ReorderBuffer
from brassweir.agreed.replica import Machine
from brassweir.agreed.snapshot_pacing import SnapshotPacer

JOINING_MESSAGES = (m.AppendEntries, m.SnapshotOffer, m.FeedEntries, m.FeederFull)  # tell a group


class Core(MembershipChanges):
    """The core of one member."""

    def __init__(
        self,
        name: str,
        kept: Persisted,
        machine: Machine,
        rng: Random,
        now: float,
        founders: tuple[str, ...] = (),
    ) -> None:
        """``kept`` is durable and counts this run already; ``founders`` found the group if it is new."""
        super().__init__(name, kept, machine, rng, now, founders)
        self.progress, self.unapplied = {}, {}
        self.votes_granted = set()
        self.reset_election_timer()
        self.identity_check_at = self.identity_check_until = self.founding_at = 0.0
        self.confirmed_by, self.new_founders = {}, {}
        self.children, self.outgoing_snapshots, self.pacing = {}, {}, SnapshotPacer()
        self.unresponsive = {}
        self.early_appends, self.early_feeds = (
            ReorderBuffer(timing.APPEND_WINDOW),
            ReorderBuffer(2 * timing.FEED_WINDOW),
        )
        self.feeder_since, self.pull_at = now, now
        self.requests, self.read_confirmations = LocalRequests(f"{rng.getrandbits(64):016x}"), []
        self.pending_changes, self.changes_in_log, self.unknown_members, self.readmissions = [], {}, {}, {}
        self.heartbeat_at = now
        self.stepped_at = now
        self.startup_commit_index = kept.commit_index
        self.become_follower(self.term, "")

    @property
    def recovered(self) -> bool:
        """Whether all that was committed at this start is applied. Until then the state is an older one."""
        return self.applied_index >= self.startup_commit_index

    def step(self, now: float, events: Iterable[Event] = ()) -> list[Action]:
        """Handle events at ``now``; returns actions. Raises only if the log contradicts itself."""
        if self.write_error:
            return []
        elapsed, self.stepped_at, self.now = now - self.stepped_at, now, max(now, self.now)
        if elapsed > timing.STALL_MS and self.is_voter:
            self.on_stall()
        for event in events:
            self.handle_event(event)
            if self.write_error:
                actions, self.actions = self.actions, []
                return actions
        self.tick()
        while self.pending_records or self.rewrite or self.held:
            self.flush()
        actions, self.actions = self.actions, []
        actions.append(WakeAt(self.next_deadline()))
        return actions

    def handle_event(self, event: Event) -> None:
        """Handle one event."""
        match event:
            case Received():
                self.receive(event.sender, event.envelope)
            case Written():
                self.on_written(event.token)
                if self.role == LEADER:
                    self.advance_commit_index()
            case WriteFailed():
                self.on_write_failed(event.why)
            case Propose():
                self.on_propose(event)
            case ReadCurrent():
                self.on_read(event)
            case ChangeVoter():
                self.on_change(event)
            case LoopStalled():
                if event.ms > timing.STALL_MS:
                    self.on_stall()
            case CopiesChanged():
                self.copy_names = event.names
            case TransferLeadership():
                self.transfer_leadership()

    def tick(self) -> None:
        """Do what is due: timers, replication, applying, feeding."""
        self.tick_founding()
        self.tick_identity_check()
        self.tick_election()
        self.tick_pull()
        self.tick_fetch()
        self.tick_proposals()
        self.tick_changes()
        if self.role == LEADER:
            if self.now >= self.heartbeat_at:
                self.heartbeat_at = self.now + timing.HEARTBEAT_MS
                self.broadcast_heartbeat()
                self.confirm_reads()
            self.advance_commit_index()
        self.apply_committed()
        self.finish_changes()
        self.tick_reads()
        if self.role == LEADER:
            self.replicate()
        self.feed_children()
        self.send_chunks()

    def next_deadline(self) -> float:
        """When the next timer is due."""
        times = [self.now + timing.PULL_INTERVAL_MS]
        if self.role == LEADER:
            times.append(self.heartbeat_at)
        elif self.is_voter:  # a longer sleep would be taken for a stall
            times += [self.election_deadline, self.now + timing.STALL_MS / 2.0]
            if self.role in (PRE_CANDIDATE, CANDIDATE):
                times.append(self.vote_retry_at)
        if self.needs_identity_check():
            times.append(self.identity_check_at)
        if not self.identity.group and self.founders[:1] == (self.name,):
            times.append(self.founding_at)
        if self.log.base.index <= self.applied_index < self.durable_commit:
            times.append(self.now)  # more entries to apply
        if self.fetch is not None:
            times.append(self.fetch.check_at)
        times += [self.pull_at, self.pacing.next_time()]
        times += [
            min(waiting.retry_at, waiting.proposal.deadline) for waiting in self.requests.proposals.values()
        ]
        times += [min(reading.retry_at, reading.deadline) for reading in self.requests.reads]
        return max(self.now + 1.0, min(times))

    def on_write_failed(self, why: str) -> None:
        """End all requests and stop: the core takes part again only after a new start from the directory."""
        self.on_leadership_lost()
        for pending in self.requests.proposals.values():
            kind = OutcomeKind.UNKNOWN if pending.sent else OutcomeKind.REFUSED
            self.finish(pending.proposal.ticket, kind, why=f"the folder cannot be written: {why}")
        for reading in self.requests.reads:
            self.finish(reading.ticket, OutcomeKind.REFUSED, why=f"the folder cannot be written: {why}")
        self.write_error = why

    def on_own_message(self, message: m.Message) -> None:
        """Handle a message of this member to itself, which is durable now."""
        match message:
            case m.VoteReply():
                self.on_vote_reply(self.name, self.identity.member, message)
            case m.TimeoutNow():
                self.on_timeout_now(self.name, message)
            case m.ReadIndexReply():
                self.on_read_index_reply(message)

    def receive(self, sender: str, envelope: m.Envelope) -> None:
        """Handle a message of this group and of a member's latest run; drop others."""
        message = envelope.body
        if sender == self.name or envelope.generation < 1:
            self.count_dropped("impossible sender")
            return
        match message:  # accepted without a common group
            case m.FoundingRequest():
                return self.on_founding_request(sender, envelope, message)
            case m.FoundingReply():
                return self.on_founding_reply(sender, envelope, message)
            case m.PullEntries():
                return self.on_pull(sender, message) if envelope.group in ("", self.identity.group) else None
        if not self.identity.group and envelope.group and isinstance(message, JOINING_MESSAGES):
            self.take_identity(self.identity.member, envelope.group)
        if not envelope.group or envelope.group != self.identity.group:
            self.count_dropped("another group")
            return
        if isinstance(message, m.IdentityCheck):
            return self.on_identity_check(sender, envelope, message)
        if isinstance(message, m.AppendReply):
            self.note_unknown_member(sender, envelope.member)
        if envelope.member in self.member_records or self.has_vote(sender, envelope.member):
            if not self.note_run(sender, envelope):
                self.count_dropped("an earlier run")
                return
        self.receive_known(sender, envelope.member, message)

    def receive_known(self, sender: str, member: str, message: m.Message) -> None:
        """Handle a message of a member of this group."""
        match message:
            case m.VoteRequest():
                self.on_vote_request(sender, member, message)
            case m.VoteReply():
                self.on_vote_reply(sender, member, message)
            case m.AppendEntries() if message.term >= self.term and not self.log.agrees_with(
                self.commit_index, message.prev_index, message.prev_term, message.entries
            ):
                self.count_dropped("a leader of the past")  # entries of a later term were fed here
            case m.AppendEntries():
                self.on_append(sender, message)
            case m.AppendReply():
                self.on_append_reply(sender, member, message)
                self.confirm_reads()
            case m.ForwardProposal():
                self.on_forward(sender, message)
            case m.FeedEntries():
                self.on_feed(sender, message)
            case m.FeederFull():
                self.on_feeder_full(sender, message)
            case m.SnapshotOffer():
                self.on_snapshot_offer(sender, message)
            case m.ChunkRequest():
                self.on_chunk_request(sender, message)
            case m.SnapshotChunk():
                self.on_chunk(sender, message)
            case m.IdentityReply():
                self.on_identity_reply(sender, member, message)
            case m.TimeoutNow():
                self.on_timeout_now(sender, message)
            case m.ReadIndexRequest():
                self.on_read_index_request(sender, message)
            case m.ReadIndexReply():
                self.on_read_index_reply(message)
