"""The log's core extended by acknowledgements: which version is in force at which copy. Pure.

Each copy merges the last reports of the copies that it feeds with its own version, and sends the result in
one message, a learner to its feeder, a voter to the leader: once a second, and soon after a change.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random
from typing import Protocol, cast

from brassweir.agreed import timing
from brassweir.agreed.core import Core
from brassweir.agreed.core_state import LEADER
from brassweir.agreed.events import Action, Event, LoopStalled, VersionInForce
from brassweir.agreed.messages import Acknowledge, AppendEntries, Envelope, FeedEntries
from brassweir.agreed.records import Persisted
from brassweir.agreed.replica import Machine
from brassweir.configstream.acknowledgements import Acknowledgements, MessageOrigin, Rows, encode_rows
from brassweir.configstream.fleet import FleetVersions, FleetView
from brassweir.configstream.member_index import ListedMember, MemberIndexHistory, distance
from brassweir.configstream.staleness import StalenessTracker, quorum_contact_time

PULL_INTERVAL_MS = 800.0  # without losses, knowledge at depth four is at most 3.2 s old
ACK_REPEAT_MS = 1_000.0  # between acknowledgements of the same content
MIN_ACK_SPACING_MS = 250.0  # bounds the messages that a burst of changes causes
NEVER = float("inf")


class _State(Protocol):
    @property
    def copies(self) -> Mapping[str, ListedMember]: ...


class _Configuration(Protocol):
    @property
    def version(self) -> int: ...


class _Configured(Protocol):
    """What this core reads of its state machine."""

    @property
    def state(self) -> _State: ...

    @property
    def configuration(self) -> _Configuration: ...


class ConfiguredCore(Core):
    """The core of a member whose state machine holds the endpoint configuration."""

    pull_interval = PULL_INTERVAL_MS

    def __init__(
        self,
        name: str,
        kept: Persisted,
        machine: Machine,
        rng: Random,
        now: float,
        founders: tuple[str, ...] = (),
    ) -> None:
        """Take the same arguments as Core."""
        super().__init__(name, kept, machine, rng, now, founders)
        self.version_in_force = 0
        self.member_indexes, self.fleet, self.staleness = (
            MemberIndexHistory(),
            FleetVersions(),
            StalenessTracker(),
        )
        self.acknowledgements = Acknowledgements(self.member_indexes)
        self.expected_step_at = now  # next_deadline's last result; a later step shows a stall
        self.ack_changed = True  # content may differ from the last acknowledgement's
        self.ack_repeat_at = NEVER
        self.ack_sent_at = -NEVER
        self.last_ack: tuple[str, int, Rows] = ("", 0, ())  # receiver, checksum of the member index, rows
        self.ack_sequence = 0

    # State machine

    def copies(self) -> Mapping[str, ListedMember]:
        """The committed member list."""
        return cast(_Configured, self.replica.machine).state.copies

    def newest_version(self) -> int:
        """The newest committed version that this copy has applied; 0 before the first."""
        return cast(_Configured, self.replica.machine).configuration.version

    # Queries

    def fleet_view(self, now: float | None = None) -> FleetView:
        """Return which copies have the newest version in force, which lag, and which have not reported.

        ``now`` defaults to the time of the last step, here and in the next two methods.
        """
        self.refresh_from_machine()
        now = self.now if now is None else now
        self.acknowledgements.expire(now)
        return self.fleet.view(self.ack_rows(), self.member_indexes.current, self.role == LEADER, now)

    def staleness_ms(self, now: float | None = None) -> float:
        """Milliseconds since this copy last certainly knew everything committed."""
        return self.staleness.age_ms(self.now if now is None else now)

    def exceeds_max_staleness(self, now: float | None = None) -> bool:
        """Whether this copy has not known everything committed for over MAX_STALENESS_MS."""
        return self.staleness.is_stale(self.now if now is None else now)

    # Overrides of the core

    def step(self, now: float, events: Iterable[Event] = ()) -> list[Action]:
        """Advance to ``now`` with these events and return the resulting actions."""
        if now - self.expected_step_at > timing.STALL_MS:
            self.staleness.note_stall(now)
        return super().step(now, events)

    def handle_event(self, event: Event) -> None:
        """Handle one event; VersionInForce sets this copy's own version."""
        if isinstance(event, VersionInForce):
            self.ack_changed = self.ack_changed or event.version != self.version_in_force
            self.version_in_force = event.version
            return
        if isinstance(event, LoopStalled) and event.ms > timing.STALL_MS:
            self.staleness.note_stall(self.now)
        super().handle_event(event)

    def receive(self, sender: str, envelope: Envelope) -> None:
        """Handle one message; acknowledgements here, all others in the core."""
        message = envelope.body
        if not isinstance(message, Acknowledge):
            super().receive(sender, envelope)
        elif sender != self.name and envelope.generation >= 1 and envelope.group == self.identity.group != "":
            origin = MessageOrigin(envelope.member, envelope.generation, envelope.nonce, message.number)
            self.on_acknowledge(sender, origin, message)

    def tick(self) -> None:
        """Run the periodic work, then update staleness and send an acknowledgement if one is due."""
        super().tick()
        if self.role == LEADER:
            self.staleness.note_leadership(self.quorum_contact_at())
        self.staleness.note_reached(self.commit_index)
        self.refresh_from_machine()
        self.tick_acknowledging()

    def next_deadline(self) -> float:
        """Return when the next step is needed, acknowledgements included."""
        ack_due = NEVER
        if self.role == LEADER or self.ack_target():
            ack_due = self.ack_sent_at + MIN_ACK_SPACING_MS if self.ack_changed else self.ack_repeat_at
        self.expected_step_at = min(
            super().next_deadline(), max(ack_due, self.ack_sent_at + MIN_ACK_SPACING_MS, self.now + 1.0)
        )
        return self.expected_step_at

    def nearest(self, name: str, names: list[str], count: int) -> list[str]:
        """Return ``count`` of ``names`` at most, nearest to copy ``name`` first, random among equals."""
        copies = self.copies()
        shuffled = self.rng.sample(names, len(names))
        return sorted(shuffled, key=lambda other: distance(copies, name, other))[:count]

    # Staleness

    def on_feed(self, sender: str, message: FeedEntries) -> None:
        """Handle a feed, which also tells a commit index and how old it is."""
        super().on_feed(sender, message)
        self.staleness.note_commit(message.commit_index, self.now - message.leader_age_ms, self.now)
        self.staleness.note_reached(self.commit_index)

    def on_append(self, sender: str, message: AppendEntries) -> None:
        """Handle an append, which also tells the leader's commit index now."""
        super().on_append(sender, message)
        if message.term == self.term:
            self.staleness.note_commit(message.commit_index, self.now, self.now)
            self.staleness.note_reached(self.commit_index)

    def quorum_contact_at(self) -> float:
        """Time up to which a quorum certainly followed this leader."""
        contacts = [self.now] if self.is_voter else []
        contacts += [p.heard_at for name, p in self.progress.items() if self.has_vote(name, p.member)]
        return quorum_contact_time(contacts, self.log.membership.quorum)

    # Acknowledging

    def refresh_from_machine(self) -> None:
        """Take over the member list and the newest version from the state machine."""
        if self.member_indexes.update(self.copies()):
            self.ack_changed = True
        self.fleet.note_version(self.newest_version(), self.now)

    def follows_leader_directly(self) -> bool:
        """Whether a leader replicates to this copy, which then pulls from no feeder."""
        recent = self.now - self.accepted_at < (timing.FEED_STALE_MS if self.is_voter else timing.ELECTION_MS)
        return recent and self.leader not in ("", self.name)

    def ack_target(self) -> str:
        """Receiver of acknowledgements: the leader if it replicates here, else the feeder; "" at a leader."""
        if self.role == LEADER:
            return ""
        return self.leader if self.follows_leader_directly() else self.feeder

    def on_acknowledge(self, sender: str, origin: MessageOrigin, message: Acknowledge) -> None:
        """Accept the report of a copy that this one feeds or replicates to; ignore others."""
        if sender not in self.children and not (self.role == LEADER and sender in self.progress):
            return
        previous = self.acknowledgements.reports.get(sender)
        reason = self.acknowledgements.accept(
            sender, origin, message, self.now, self.now + timing.CHILD_EXPIRY_MS
        )
        if reason:
            self.count_dropped(reason)
            return
        report = self.acknowledgements.reports[sender]
        if previous is None or (previous.rows, previous.member_index.checksum) != (
            report.rows,
            report.member_index.checksum,
        ):
            self.ack_changed = True

    def ack_rows(self) -> Rows:
        """Rows of this copy and all below it; a stale copy leaves itself out."""
        version = None if self.exceeds_max_staleness() else self.version_in_force
        return self.acknowledgements.merged_rows(self.name, version, self.ack_target())

    def tick_acknowledging(self) -> None:
        """Send an acknowledgement if one is due; a leader updates its fleet view instead."""
        target = self.ack_target()
        changed = self.ack_changed or target != self.last_ack[0]
        if self.now < self.ack_sent_at + MIN_ACK_SPACING_MS or not (
            changed or self.now >= self.ack_repeat_at
        ):
            return
        if self.role != LEADER and not target:
            return
        self.acknowledgements.expire(self.now)
        rows, member_index = self.ack_rows(), self.member_indexes.current
        ack = (target, member_index.checksum, rows)
        if self.role == LEADER:
            self.fleet.update(rows, member_index, self.now)
        elif ack != self.last_ack or self.now >= self.ack_repeat_at:
            self.ack_sequence += 1
            self.send(target, encode_rows(rows, member_index, self.ack_sequence))
        self.ack_changed, self.last_ack, self.ack_sent_at = False, ack, self.now
        self.ack_repeat_at = self.now + ACK_REPEAT_MS
