"""Judges the agreed log from tapes and disks: what was applied, told, sent, written."""

from __future__ import annotations

from dataclasses import dataclass, field

from brassweir.agreed.core import Core
from brassweir.agreed.events import Applied, Outcome, OutcomeKind, Send
from brassweir.agreed.messages import COMMAND, MEMBERS, AppendEntries, Entry
from brassweir.agreed.store import StoreDamaged, recover
from brassweir.agreed.timing import MAX_BODY_BYTES
from brassweir.lab.simulated.disk import SimStorage


class Broken(AssertionError):
    """A property does not hold. The text begins with its name."""


@dataclass
class Ask:
    """A proposal or a read as its client saw it."""

    name: str
    command: bytes
    at: float
    outcome: Outcome | None = None


@dataclass
class Judge:
    """All tapes, and the properties over them."""

    at_index: dict[int, bytes] = field(default_factory=dict)  # what took effect at each place, anywhere
    place: dict[bytes, int] = field(default_factory=dict)
    order: list[int] = field(default_factory=list)
    leads: dict[int, str] = field(default_factory=dict)  # member that led in each term
    members: set[tuple[int, int]] = field(default_factory=set)  # changes seen, and their terms
    asks: dict[int, Ask] = field(default_factory=dict)
    read_at: dict[int, tuple[str, int]] = field(default_factory=dict)
    highest_told: int = 0
    upto: dict[str, int] = field(default_factory=dict)  # last place applied by each copy, over its restarts
    now_at: dict[str, int] = field(default_factory=dict)  # by its present run
    told_of: int = 0
    refused: int = 0
    unknown: int = 0

    def started(self, name: str, core: Core, start: int) -> None:
        """A run begins from its folder; what it had applied must be in it."""
        self.now_at[name] = core.applied_index
        if core.durable_commit < self.upto.get(name, 0):
            raise Broken(
                f"never back: {name} had applied {self.upto[name]} and starts with {core.durable_commit}"
            )

    def stopped(self, name: str, core: Core) -> None:
        """A run ends; what it waited for ends unknown."""
        for ask in self.asks.values():
            if ask.name == name and ask.outcome is None:
                ask.outcome = Outcome(OutcomeKind.UNKNOWN)

    def forgot(self, name: str) -> None:
        """Its folder was taken away: it may go back."""
        self.upto.pop(name, None)

    def applied(self, name: str, step: Applied) -> None:
        """One place, one command, everywhere; one command, one place."""
        index, command = step.index, step.command
        if self.at_index.setdefault(index, command) != command:
            other = self.at_index[index]
            raise Broken(f"one entry: at {index} {name} applied {command!r}, another {other!r}")
        if self.place.setdefault(command, index) != index:
            raise Broken(f"once: {command!r} took effect at {self.place[command]} and at {index}")
        if index <= self.now_at.get(name, 0):
            raise Broken(f"in order: {name} applied {index} after {self.now_at[name]}")
        self.now_at[name] = index
        self.upto[name] = max(self.upto.get(name, 0), index)

    def restored(self, name: str, index: int, taken: list[bytes]) -> None:
        """A copy took a snapshot in: it must be what stands at these places."""
        if index <= self.now_at.get(name, 0):
            raise Broken(f"snapshot back: {name} had {self.now_at[name]}, took a snapshot of {index}")
        whole = [self.at_index[place] for place in sorted(self.at_index) if place <= index]
        if taken[: len(whole)] != whole:
            raise Broken(f"snapshot: {name} at {index} has {len(taken)} commands, not {len(whole)}")
        self.now_at[name] = index
        self.upto[name] = max(self.upto.get(name, 0), index)

    def sent(self, sender: str, post: Send, size: int) -> None:
        """One leader a term; no message too large."""
        message = post.envelope.body
        if isinstance(message, AppendEntries):
            member = post.envelope.member
            if self.leads.setdefault(message.term, member) != member:
                other = self.leads[message.term]
                raise Broken(f"one leader: in term {message.term} {other} and {member} ({sender})")
            for entry in message.entries:
                if entry.kind == MEMBERS and (entry.index, entry.term) not in self.members:
                    before = [index for index, _ in self.members if index < entry.index]
                    self.members.add((entry.index, entry.term))
                    if before and max(before) > message.commit_index:
                        raise Broken(f"one change: at {entry.index}, that at {max(before)} is not agreed")
        if size > MAX_BODY_BYTES:
            raise Broken(f"size: {sender} sent {size} bytes of {type(message).__name__}")

    def asked(self, name: str, ticket: int, command: bytes, now: float) -> None:
        """A client proposes."""
        self.asks[ticket] = Ask(name, command, now)

    def reads(self, name: str, ticket: int, now: float) -> None:
        """A client asks for a current read."""
        self.read_at[ticket] = (name, self.highest_told)

    def told(self, name: str, ticket: int, outcome: Outcome, now: float) -> None:
        """A client is told."""
        if ticket in self.read_at:
            floor = self.read_at[ticket][1]
            if outcome.how is OutcomeKind.AGREED and outcome.index < floor:
                raise Broken(f"read: {name} read at {outcome.index}, but {floor} was told before")
            return
        ask = self.asks.get(ticket)
        if ask is None:
            return
        if ask.outcome is not None:
            raise Broken(f"told once: {ticket} ended twice")
        ask.outcome = outcome
        if outcome.how is OutcomeKind.AGREED:
            self.told_of += 1
            self.highest_told = max(self.highest_told, outcome.index)
            if self.at_index.get(outcome.index) != ask.command:
                raise Broken(f"told: {ask.command!r} was told at {outcome.index}, where it does not stand")
        elif outcome.how is OutcomeKind.REFUSED:
            self.refused += 1
        else:
            self.unknown += 1

    def finish(self, disks: dict[str, SimStorage], piles: dict[str, list[bytes]]) -> None:
        """At the end: nothing told is lost, nothing refused came, all copies and all disks agree."""
        whole = [self.at_index[place] for place in sorted(self.at_index)]
        for ask in self.asks.values():
            if ask.outcome is None:
                raise Broken(f"told once: {ask.command!r} never ended")
            if ask.outcome.how is OutcomeKind.AGREED and ask.command not in self.place:
                raise Broken(f"told: {ask.command!r} is nowhere")
            if ask.outcome.how is OutcomeKind.REFUSED and ask.command in self.place:
                raise Broken(f"refused: {ask.command!r} was refused and took effect")
        for name, pile in piles.items():
            if pile != whole:
                raise Broken(f"converge: {name} has {len(pile)} commands, not {len(whole)}")
        self.disks(disks)

    def disks(self, disks: dict[str, SimStorage]) -> None:
        """Log matching over what lies on the disks; agreed entries are those that took effect."""
        seen: dict[tuple[int, int], tuple[str, Entry]] = {}
        for name, disk in disks.items():
            try:
                kept, _ = recover(disk)
            except StoreDamaged as error:
                raise Broken(f"disk: {name}: {error}") from None
            for entry in kept.entries:
                other = seen.setdefault((entry.index, entry.term), (name, entry))
                if other[1] != entry:
                    raise Broken(f"log matching: {name}, {other[0]} differ at {entry.index}, {entry.term}")
                if (
                    entry.index <= kept.commit_index
                    and entry.kind == COMMAND
                    and entry.index in self.at_index
                    and (self.at_index[entry.index] != entry.data)
                ):
                    raise Broken(f"one entry: {name} keeps {entry.data!r} as agreed at {entry.index}")
