"""The agreed log's core, which also tells up the feed tree which version is in force at which copy. Pure.

Each copy merges what the copies that it feeds last said with its own version and sends one message, a learner
to its feeder, a voter to the leader: once a second, and soon after something changed.
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

PULL_INTERVAL_MS = (
    800.0  # ms between pulls, at most: if none is lost, what is known at depth four is 3.2 s old at most
)
ACK_REPEAT_MS = 1_000.0  # ms between two acknowledgements that say the same
MIN_ACK_SPACING_MS = 250.0  # ms between two acknowledgements, at least: bounds what a burst of changes costs
NEVER = float("inf")


class _State(Protocol):
    @property
    def copies(self) -> Mapping[str, ListedMember]: ...


class _Configuration(Protocol):
    @property
    def version(self) -> int: ...


class _Configured(Protocol):
    """What this core reads of its machine."""

    @property
    def state(self) -> _State: ...

    @property
    def configuration(self) -> _Configuration: ...


class ConfiguredCore(Core):
    """One member whose machine holds the endpoint configuration."""

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
        """As the plain core's."""
        super().__init__(name, kept, machine, rng, now, founders)
        self.version_in_force = 0
        self.member_indexes, self.fleet, self.staleness = (
            MemberIndexHistory(),
            FleetVersions(),
            StalenessTracker(),
        )
        self.acknowledgements = Acknowledgements(self.member_indexes)
        self.expected_step_at = now  # when a step was asked for
        self.ack_changed = True  # something may differ from what was last acknowledged
        self.ack_repeat_at = NEVER
        self.ack_sent_at = -NEVER
        self.last_ack: tuple[str, int, Rows] = ("", 0, ())  # to whom, by which roster, what
        self.ack_sequence = 0

    # What it reads of its machine

    def copies(self) -> Mapping[str, ListedMember]:
        """The agreed member list."""
        return cast(_Configured, self.replica.machine).state.copies

    def newest_version(self) -> int:
        """The newest version that is agreed, as far as it is known here; 0 before the first."""
        return cast(_Configured, self.replica.machine).configuration.version

    # What operators and the service ask

    def fleet_view(self, now: float | None = None) -> FleetView:
        """Which version is in force at how many copies, who is behind, who was not heard of.

        ``now`` in this and the next two: the time; that of the last step if it is not given.
        """
        self.refresh_from_machine()
        now = self.now if now is None else now
        self.acknowledgements.expire(now)
        return self.fleet.view(self.ack_rows(), self.member_indexes.current, self.role == LEADER, now)

    def staleness_ms(self, now: float | None = None) -> float:
        """Ms since this copy last surely knew all that was agreed."""
        return self.staleness.age_ms(self.now if now is None else now)

    def exceeds_max_staleness(self, now: float | None = None) -> bool:
        """Is that longer ago than a change may take?"""
        return self.staleness.is_stale(self.now if now is None else now)

    # The plain core's steps

    def step(self, now: float, facts: Iterable[Event] = ()) -> list[Action]:
        """Time and facts in, steps out."""
        if now - self.expected_step_at > timing.STALL_MS:
            self.staleness.note_stall(now)
        return super().step(now, facts)

    def handle_event(self, fact: Event) -> None:
        """One fact."""
        if isinstance(fact, VersionInForce):
            self.ack_changed = self.ack_changed or fact.version != self.version_in_force
            self.version_in_force = fact.version
            return
        if isinstance(fact, LoopStalled) and fact.ms > timing.STALL_MS:
            self.staleness.note_stall(self.now)
        super().handle_event(fact)

    def receive(self, sender: str, envelope: Envelope) -> None:
        """One message."""
        message = envelope.body
        if not isinstance(message, Acknowledge):
            super().receive(sender, envelope)
        elif sender != self.name and envelope.generation >= 1 and envelope.group == self.identity.group != "":
            run = MessageOrigin(envelope.member, envelope.generation, envelope.nonce, message.number)
            self.on_acknowledge(sender, run, message)

    def tick(self) -> None:
        """What time and news make due."""
        super().tick()
        if self.role == LEADER:
            self.staleness.note_leadership(self.quorum_contact_at())
        self.staleness.note_reached(self.commit_index)
        self.refresh_from_machine()
        self.tick_acknowledging()

    def next_deadline(self) -> float:
        """When time makes something due."""
        at = NEVER
        if self.role == LEADER or self.ack_target():
            at = self.ack_sent_at + MIN_ACK_SPACING_MS if self.ack_changed else self.ack_repeat_at
        self.expected_step_at = min(
            super().next_deadline(), max(at, self.ack_sent_at + MIN_ACK_SPACING_MS, self.now + 1.0)
        )
        return self.expected_step_at

    def nearest(self, name: str, names: list[str], count: int) -> list[str]:
        """So many of these copies for that one to be fed by: of its site, then its region, else drawn."""
        copies = self.copies()
        drawn = self.rng.sample(names, len(names))
        return sorted(drawn, key=lambda other: distance(copies, name, other))[:count]

    # Knowledge

    def on_feed(self, sender: str, message: FeedEntries) -> None:
        """Also a word of what was agreed some time ago."""
        super().on_feed(sender, message)
        self.staleness.note_commit(message.commit_index, self.now - message.leader_age_ms, self.now)
        self.staleness.note_reached(self.commit_index)

    def on_append(self, sender: str, message: AppendEntries) -> None:
        """Also a leader's word of what is agreed now."""
        super().on_append(sender, message)
        if message.term == self.term:
            self.staleness.note_commit(message.commit_index, self.now, self.now)
            self.staleness.note_reached(self.commit_index)

    def quorum_contact_at(self) -> float:
        """Since when a quorum surely followed this leader."""
        heard = [self.now] if self.is_voter else []
        heard += [p.heard_at for name, p in self.progress.items() if self.has_vote(name, p.member)]
        return quorum_contact_time(heard, self.log.membership.quorum)

    # Acknowledging

    def refresh_from_machine(self) -> None:
        """The member list and the newest version, as they are here now."""
        if self.member_indexes.update(self.copies()):
            self.ack_changed = True
        self.fleet.note_version(self.newest_version(), self.now)

    def follows_leader_directly(self) -> bool:
        """Does a leader replicate to this copy, which pulls from nobody then?"""
        recent = self.now - self.accepted_at < (timing.FEED_STALE_MS if self.is_voter else timing.ELECTION_MS)
        return recent and self.leader not in ("", self.name)

    def ack_target(self) -> str:
        """Whom this copy acknowledges to: the leader if it hears it directly, else its feeder."""
        if self.role == LEADER:
            return ""
        return self.leader if self.follows_leader_directly() else self.feeder

    def on_acknowledge(self, sender: str, run: MessageOrigin, message: Acknowledge) -> None:
        """A copy that is fed here, or one that the leader replicates to, tells of itself and those below."""
        if sender not in self.children and not (self.role == LEADER and sender in self.progress):
            return
        before = self.acknowledgements.reports.get(sender)
        why = self.acknowledgements.accept(sender, run, message, self.now, self.now + timing.CHILD_EXPIRY_MS)
        if why:
            self.count_dropped(why)
            return
        now = self.acknowledgements.reports[sender]
        if before is None or (before.rows, before.member_index.checksum) != (
            now.rows,
            now.member_index.checksum,
        ):
            self.ack_changed = True

    def ack_rows(self) -> Rows:
        """This copy and all below it. Out of contact it leaves itself out."""
        version = None if self.exceeds_max_staleness() else self.version_in_force
        return self.acknowledgements.merged_rows(self.name, version, self.ack_target())

    def tick_acknowledging(self) -> None:
        """Tell, if it is time to; at a leader, note who is behind."""
        uplink = self.ack_target()
        news = self.ack_changed or uplink != self.last_ack[0]
        if self.now < self.ack_sent_at + MIN_ACK_SPACING_MS or not (news or self.now >= self.ack_repeat_at):
            return
        if self.role != LEADER and not uplink:
            return
        self.acknowledgements.expire(self.now)
        rows, roster = self.ack_rows(), self.member_indexes.current
        said = (uplink, roster.checksum, rows)
        if self.role == LEADER:
            self.fleet.update(rows, roster, self.now)
        elif said != self.last_ack or self.now >= self.ack_repeat_at:
            self.ack_sequence += 1
            self.send(uplink, encode_rows(rows, roster, self.ack_sequence))
        self.ack_changed, self.last_ack, self.ack_sent_at = False, said, self.now
        self.ack_repeat_at = self.now + ACK_REPEAT_MS
