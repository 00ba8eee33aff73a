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
from brassweir.agreed.facts import Fact, InForce, Late, Step
from brassweir.agreed.messages import Acknowledge, Append, Envelope, Feed
from brassweir.agreed.records import Kept
from brassweir.agreed.replica import Machine
from brassweir.agreed.state import LEADER
from brassweir.configstream.acknowledging import Acknowledgements, Rows, Run, pack_message
from brassweir.configstream.fleet import Fleet, FleetView
from brassweir.configstream.roster import Listed, Rosters, distance
from brassweir.configstream.staleness import Knowledge, quorum_heard

PULL = 800.0  # ms between pulls, at most: if none is lost, what is known at depth four is 3.2 s old at most
REPEAT = 1_000.0  # ms between two acknowledgements that say the same
SPACING = 250.0  # ms between two acknowledgements, at least: bounds what a burst of changes costs
NO_TIME = float("inf")


class _State(Protocol):
    @property
    def copies(self) -> Mapping[str, Listed]: ...


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

    pull_every = PULL

    def __init__(
        self, name: str, kept: Kept, machine: Machine, rng: Random, now: float, founders: tuple[str, ...] = ()
    ) -> None:
        """As the plain core's."""
        super().__init__(name, kept, machine, rng, now, founders)
        self.version_in_force = 0
        self.rosters, self.fleet, self.knowledge = Rosters(), Fleet(), Knowledge()
        self.acknowledgements = Acknowledgements(self.rosters)
        self.due = now  # when a step was asked for
        self.changed_below = True  # something may differ from what was last acknowledged
        self.repeat_at = NO_TIME
        self.spoken_at = -NO_TIME
        self.spoken: tuple[str, int, Rows] = ("", 0, ())  # to whom, by which roster, what
        self.number = 0

    # What it reads of its machine

    def copies(self) -> Mapping[str, Listed]:
        """The agreed member list."""
        return cast(_Configured, self.replica.machine).state.copies

    def newest_version(self) -> int:
        """The newest version that is agreed, as far as it is known here; 0 before the first."""
        return cast(_Configured, self.replica.machine).configuration.version

    # What operators and the service ask

    def in_force(self, now: float | None = None) -> FleetView:
        """Which version is in force at how many copies, who is behind, who was not heard of.

        ``now`` in this and the next two: the time; that of the last step if it is not given.
        """
        self.follow_machine()
        now = self.now if now is None else now
        self.acknowledgements.expire(now)
        return self.fleet.view(self.rows(), self.rosters.current, self.role == LEADER, now)

    def knowledge_age(self, now: float | None = None) -> float:
        """Ms since this copy last surely knew all that was agreed."""
        return self.knowledge.age(self.now if now is None else now)

    def out_of_contact(self, now: float | None = None) -> bool:
        """Is that longer ago than a change may take?"""
        return self.knowledge.out_of_contact(self.now if now is None else now)

    # The plain core's steps

    def step(self, now: float, facts: Iterable[Fact] = ()) -> list[Step]:
        """Time and facts in, steps out."""
        if now - self.due > timing.STALL:
            self.knowledge.stalled(now)
        return super().step(now, facts)

    def take_fact(self, fact: Fact) -> None:
        """One fact."""
        if isinstance(fact, InForce):
            self.changed_below = self.changed_below or fact.version != self.version_in_force
            self.version_in_force = fact.version
            return
        if isinstance(fact, Late) and fact.ms > timing.STALL:
            self.knowledge.stalled(self.now)
        super().take_fact(fact)

    def receive(self, sender: str, envelope: Envelope) -> None:
        """One message."""
        message = envelope.body
        if not isinstance(message, Acknowledge):
            super().receive(sender, envelope)
        elif sender != self.name and envelope.life >= 1 and envelope.group == self.identity.group != "":
            run = Run(envelope.member, envelope.life, envelope.nonce, message.number)
            self.on_acknowledge(sender, run, message)

    def tend(self) -> None:
        """What time and news make due."""
        super().tend()
        if self.role == LEADER:
            self.knowledge.lead(self.quorum_heard_at())
        self.knowledge.reach(self.agreed)
        self.follow_machine()
        self.tend_acknowledging()

    def next_time(self) -> float:
        """When time makes something due."""
        at = NO_TIME
        if self.role == LEADER or self.uplink():
            at = self.spoken_at + SPACING if self.changed_below else self.repeat_at
        self.due = min(super().next_time(), max(at, self.spoken_at + SPACING, self.now + 1.0))
        return self.due

    def nearest(self, name: str, names: list[str], count: int) -> list[str]:
        """So many of these copies for that one to be fed by: of its site, then its region, else drawn."""
        copies = self.copies()
        drawn = self.rng.sample(names, len(names))
        return sorted(drawn, key=lambda other: distance(copies, name, other))[:count]

    # Knowledge

    def on_feed(self, sender: str, message: Feed) -> None:
        """Also a word of what was agreed some time ago."""
        super().on_feed(sender, message)
        self.knowledge.hear(message.commit, self.now - message.age, self.now)
        self.knowledge.reach(self.agreed)

    def on_append(self, sender: str, message: Append) -> None:
        """Also a leader's word of what is agreed now."""
        super().on_append(sender, message)
        if message.term == self.term:
            self.knowledge.hear(message.commit, self.now, self.now)
            self.knowledge.reach(self.agreed)

    def quorum_heard_at(self) -> float:
        """Since when a quorum surely followed this leader."""
        heard = [self.now] if self.votes else []
        heard += [p.heard for name, p in self.progress.items() if self.voter(name, p.member)]
        return quorum_heard(heard, self.log.membership.quorum)

    # Acknowledging

    def follow_machine(self) -> None:
        """The member list and the newest version, as they are here now."""
        if self.rosters.update(self.copies()):
            self.changed_below = True
        self.fleet.note_version(self.newest_version(), self.now)

    def hears_leader(self) -> bool:
        """Does a leader replicate to this copy, which pulls from nobody then?"""
        recent = self.now - self.fitted < (timing.FEED_OLD if self.votes else timing.ELECT)
        return recent and self.leader not in ("", self.name)

    def uplink(self) -> str:
        """Whom this copy acknowledges to: the leader if it hears it directly, else its feeder."""
        if self.role == LEADER:
            return ""
        return self.leader if self.hears_leader() else self.feeder

    def on_acknowledge(self, sender: str, run: Run, message: Acknowledge) -> None:
        """A copy that is fed here, or one that the leader replicates to, tells of itself and those below."""
        if sender not in self.children and not (self.role == LEADER and sender in self.progress):
            return
        before = self.acknowledgements.heard.get(sender)
        why = self.acknowledgements.take(sender, run, message, self.now, self.now + timing.CHILD)
        if why:
            self.count(why)
            return
        now = self.acknowledgements.heard[sender]
        if before is None or (before.rows, before.roster.number) != (now.rows, now.roster.number):
            self.changed_below = True

    def rows(self) -> Rows:
        """This copy and all below it. Out of contact it leaves itself out."""
        version = None if self.out_of_contact() else self.version_in_force
        return self.acknowledgements.merged(self.name, version, self.uplink())

    def tend_acknowledging(self) -> None:
        """Tell, if it is time to; at a leader, note who is behind."""
        uplink = self.uplink()
        news = self.changed_below or uplink != self.spoken[0]
        if self.now < self.spoken_at + SPACING or not (news or self.now >= self.repeat_at):
            return
        if self.role != LEADER and not uplink:
            return
        self.acknowledgements.expire(self.now)
        rows, roster = self.rows(), self.rosters.current
        said = (uplink, roster.number, rows)
        if self.role == LEADER:
            self.fleet.update(rows, roster, self.now)
        elif said != self.spoken or self.now >= self.repeat_at:
            self.number += 1
            self.post(uplink, pack_message(rows, roster, self.number))
        self.changed_below, self.spoken, self.spoken_at = False, said, self.now
        self.repeat_at = self.now + REPEAT
