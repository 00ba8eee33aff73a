"""State of a running member, and messages that wait until what they state is durable. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from brassweir.agreed import timing
from brassweir.agreed.events import Action, Applied, Completed, Outcome, OutcomeKind, Restored, Send, Write
from brassweir.agreed.log import Log
from brassweir.agreed.messages import COMMAND, VERSION, Entry, Envelope, Message
from brassweir.agreed.records import Ack, Ballot, Base, Commit, Persisted, Record, Snapshot, Truncate, add_ack
from brassweir.agreed.replica import Machine, Replica

LEARNER, FOLLOWER, PRE_CANDIDATE = "learner", "follower", "asking"
CANDIDATE, ELECTED, LEADER = "candidate", "elected", "leader"


@dataclass
class InFlightWrite:
    """A write that is not durable yet: log and commit index after it, and messages that wait for it."""

    token: int
    last_index: int
    commit_index: int
    messages: list[tuple[str, Message]] = field(default_factory=list)
    restore: Snapshot | None = None


class CoreState:
    """The state that the core's mixins share, and the primitives that they build on."""

    snapshot_every, entries_kept = timing.SNAPSHOT_ENTRIES, timing.KEPT_ENTRIES
    term_start: int = 0  # index of the first entry of this leader's term

    def __init__(
        self,
        name: str,
        kept: Persisted,
        machine: Machine,
        rng: Random,
        now: float,
        founders: tuple[str, ...] = (),
    ) -> None:
        """``kept`` is durable and counts this run already; ``rng`` draws timeouts and ids."""
        self.name, self.rng, self.now, self.founders = name, rng, now, founders
        self.identity = kept.identity
        self.term, self.vote = kept.ballot.term, kept.ballot.vote
        self.log = Log(kept.base, kept.entries)
        self.member_records = dict(kept.member_records)
        self.snapshot = kept.snapshot
        self.commit_index = self.durable_commit = kept.commit_index  # the latter: known durably
        self.durable_index = self.log.last_index  # last entry that is durable here
        self.replica = Replica(machine)
        self.applied_index = 0
        if kept.snapshot is not None:
            self.replica.restore(kept.snapshot.state)
            self.applied_index = kept.snapshot.index
        self.startup_term = self.term  # as the directory held it at this start
        self.startup_last_index = self.log.last_index if self.log.last_term == self.term else 0
        self.identity_confirmed = kept.identity.generation == 1  # no record contradicts it
        self.role = LEARNER
        self.leader = ""
        self.election_deadline = 0.0
        self.leader_heard_at = -1e18  # last contact with a leader
        self.copy_names: tuple[str, ...] = tuple(name for name in founders if name != self.name)
        self.write_error = ""  # why a write failed: the core has stopped
        self.actions: list[Action] = []
        self.pending_records: list[Record] = []
        self.rewrite = False  # the next write replaces all records
        self.held: list[tuple[str, Message]] = []  # to be sent once the pending records are durable
        self.restoring: Snapshot | None = None  # to be restored once the next write is durable
        self.token = 0
        self.writes_in_flight: list[InFlightWrite] = []
        self.applied_entries: list[tuple[int, Entry]] = []
        self.dropped: dict[str, int] = {}

    @property
    def is_voter(self) -> bool:
        """Whether the log, as it is here, has this member among the voters."""
        return self.log.membership.has(self.name, self.identity.member)

    def has_vote(self, name: str, member: str) -> bool:
        """Whether that member is a voter."""
        return self.log.membership.has(name, member)

    def other_voters(self) -> list[str]:
        """Names of the other voters."""
        return [name for name in self.log.membership.names() if name != self.name]

    def send(self, to: str, message: Message) -> None:
        """Send at once: only for messages that state nothing that is not durable."""
        me = self.identity
        self.actions.append(
            Send(to, Envelope(VERSION, me.group, me.member, me.generation, me.nonce, message))
        )

    def send_when_durable(self, to: str, message: Message) -> None:
        """Send, or handle if it is to this member itself, once all that was written so far is durable."""
        self.held.append((to, message))

    def reset_election_timer(self) -> None:
        """Draw a new election deadline."""
        lone = self.log.membership.names() == [self.name]
        self.election_deadline = self.now + timing.ELECTION_MS * (0.1 if lone else 1.0 + self.rng.random())

    def write(self, record: Record) -> None:
        """Make a record durable with the next write."""
        self.pending_records.append(record)

    def write_ballot(self, term: int, vote: str) -> None:
        """Enter a term, or vote in it."""
        self.term, self.vote = term, vote
        self.write(Ballot(term, vote))

    def truncate_from(self, index: int) -> None:
        """Drop entries that conflict with the leader's. Raises AssertionError if one is committed."""
        if index <= self.commit_index:
            raise AssertionError(f"entry {index} is agreed and another is to take its place")
        self.log.truncate_from(index)
        self.write(Truncate(index))
        self.durable_index = min(self.durable_index, index - 1)
        for waiting in self.writes_in_flight:
            waiting.last_index = min(waiting.last_index, index - 1)

    def note_ack(self, ack: Ack) -> None:
        """Record what another member has durably; within one of its runs that only grows."""
        if ack[0] != self.identity.member:
            add_ack(self.member_records, ack)

    def ack_of(self, member: str, generation: int, nonce: int, index: int) -> Ack:
        """What a member has of this term. Entries of older terms do not count: a stale log may have them."""
        return member, generation, nonce, self.term, index if index >= self.term_start else 0

    def flush(self) -> None:
        """Turn the pending records into one write; send held messages that wait for no write."""
        if self.pending_records or self.rewrite:
            self.token += 1
            records = self.persisted_state().to_records() if self.rewrite else self.pending_records
            self.actions.append(Write(self.token, tuple(records), self.rewrite))
            self.writes_in_flight.append(
                InFlightWrite(self.token, self.log.last_index, self.commit_index, self.held, self.restoring)
            )
            self.pending_records, self.rewrite, self.held, self.restoring = [], False, [], None
        elif self.writes_in_flight:
            self.writes_in_flight[-1].messages += self.held
            self.held = []
        else:
            posts, self.held = self.held, []
            for to, message in posts:
                self.deliver(to, message)

    def persisted_state(self) -> Persisted:
        """All that must be on disk."""
        return Persisted(
            self.identity,
            Ballot(self.term, self.vote),
            self.log.base,
            list(self.log.entries),
            self.commit_index,
            self.snapshot,
            dict(self.member_records),
        )

    def commit_up_to(self, index: int, acks: tuple[Ack, ...] = ()) -> None:
        """Advance the commit index. Entries are applied once it is durable: a restart never goes back."""
        if index > self.commit_index:
            self.commit_index = index
            self.write(Commit(index, acks))

    def apply_committed(self) -> None:
        """Apply durably committed entries, a bounded number of bytes per step. Takes snapshots."""
        budget = timing.MAX_APPLIED_BYTES
        while budget > 0 and self.log.base.index <= self.applied_index < self.durable_commit:
            self.applied_index += 1
            entry = self.log.get(self.applied_index)
            budget -= len(entry.data) + timing.ENTRY_HEAD_BYTES
            self.applied_entries.append((self.applied_index, entry))
            if entry.kind == COMMAND:
                self.apply_command(entry)
            # checked after each entry, so that all copies take snapshots at the same indexes
            if self.applied_index - (self.snapshot.index if self.snapshot else 0) >= self.snapshot_every:
                self.take_snapshot()

    def apply_command(self, entry: Entry) -> None:
        """Apply a command, unless it took effect before."""
        done = self.replica.apply(entry)
        if done is not None and done[2]:
            self.actions.append(Applied(entry.index, entry.data, done[1]))
        self.on_applied(entry, done)

    def on_applied(self, entry: Entry, done: tuple[int, bytes, bool] | None) -> None:
        """Hook: an entry took effect; ``done`` is what Replica.apply returned."""

    def take_snapshot(self) -> None:
        """Snapshot the applied state and compact the log."""
        at, membership = self.log.membership_up_to(self.applied_index)
        term = self.log.term_of(self.applied_index)
        assert term is not None
        self.snapshot = Snapshot(self.applied_index, term, membership, at, self.replica.snapshot())
        if self.applied_index - self.entries_kept > self.log.base.index:
            self.log.compact_to(self.applied_index - self.entries_kept)
        self.rewrite = True

    def install_snapshot(self, snap: Snapshot) -> None:
        """Replace the log up to a received snapshot's index by it. Ignores one that is not newer."""
        if snap.index <= self.commit_index:
            return
        if self.log.term_of(snap.index) == snap.term:
            self.log.compact_to(snap.index)
        else:
            self.log = Log(Base(snap.index, snap.term, snap.membership, snap.membership_at), [])
            self.durable_index = min(self.durable_index, snap.index)  # later entries are gone
            for waiting in self.writes_in_flight:
                waiting.last_index = min(waiting.last_index, snap.index)
        self.snapshot, self.restoring, self.rewrite = snap, snap, True
        self.commit_index = snap.index

    def on_written(self, token: int) -> None:
        """All writes up to this token are durable: send what waited for them."""
        while self.writes_in_flight and self.writes_in_flight[0].token <= token:
            done = self.writes_in_flight.pop(0)
            self.durable_index = max(self.durable_index, done.last_index)
            if done.restore is not None and done.restore.index > self.applied_index:
                self.replica.restore(done.restore.state)
                self.applied_index = done.restore.index
                self.actions.append(Restored(self.applied_index))
            self.durable_commit = max(self.durable_commit, done.commit_index)
            for to, message in done.messages:
                self.deliver(to, message)

    def deliver(self, to: str, message: Message) -> None:
        """Send a message, or handle it if it is to this member."""
        if to == self.name:
            self.on_own_message(message)
        else:
            self.send(to, message)

    def on_own_message(self, message: Message) -> None:
        """Hook: a message of this member to itself, which is durable now."""

    def finish(
        self, ticket: int, kind: OutcomeKind, index: int = 0, result: bytes = b"", why: str = ""
    ) -> None:
        """Complete a request."""
        self.actions.append(Completed(ticket, Outcome(kind, index, result, why)))

    def count_dropped(self, reason: str) -> None:
        """Count a dropped message by reason."""
        self.dropped[reason] = self.dropped.get(reason, 0) + 1
