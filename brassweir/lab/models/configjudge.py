"""Judges the spread of configuration from outside: by what was sent, applied, and told to decision modules.

It knows the operator's lists, and which list each committing command stands for; no count of a core is
trusted.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from brassweir.agreed.commands import decode_result as read_result
from brassweir.agreed.core import Core
from brassweir.agreed.events import Applied, Send
from brassweir.agreed.messages import AppendEntries
from brassweir.agreed.timing import MAX_BODY_BYTES
from brassweir.configstream.catalog import Catalog
from brassweir.configstream.entries import Entry
from brassweir.lab.models.configmodule import Configuration, Item, ModuleEvent, ToldAll, ToldItems
from brassweir.lab.models.logjudge import Broken

List = Mapping[str, Entry]
MOST_COUNTED = 11_000.0 + 7_000.0  # ms that a copy out of contact may count: until its row has expired


@dataclass(frozen=True)
class Expected:
    """What an operator's command stands for: a list made from a version. ``bad``: no copy may take it."""

    entries: List
    after: int
    bad: bool = False


@dataclass
class Hearing:
    """What one copy's module holds: all of a version, and on top what it was told towards the next."""

    version: int = 0
    target: int = 0
    told: dict[str, Item] = field(default_factory=dict)
    calm: bool = False  # an entry was told that takes no traffic off: no drain may follow


@dataclass
class Judge:
    """All tapes, and the properties over them."""

    first_version: int
    first_index: int  # the place of the log up to which all copies had everything
    first_list: List
    expected: dict[bytes, Expected] = field(default_factory=dict)
    lists: dict[int, List] = field(default_factory=dict)
    chain: list[int] = field(default_factory=list)
    commands: dict[int, bytes] = field(default_factory=dict)  # by place of the log
    before: dict[int, int] = field(default_factory=dict)  # the command before each
    last_command: int = 0
    applied_to: dict[str, int] = field(default_factory=dict)  # by each present run
    ever_applied: dict[str, int] = field(default_factory=dict)
    hearings: dict[str, Hearing] = field(default_factory=dict)
    told_at: dict[int, dict[str, float]] = field(default_factory=dict)  # by version, by copy
    tape: list[tuple[float, str, int]] = field(default_factory=list)  # a module was told all
    effective_at: dict[int, float] = field(default_factory=dict)  # version: when the first copy applied it
    leads: dict[int, str] = field(default_factory=dict)
    seen: dict[int, tuple[Catalog, int]] = field(default_factory=dict)  # catalogs that were checked, by id

    def __post_init__(self) -> None:
        self.lists[self.first_version] = self.first_list
        self.chain.append(self.first_version)
        self.last_command = self.first_index

    # Runs

    def started(self, name: str, core: Core) -> None:
        """A run begins from its folder; what it had applied must be in it."""
        if core.durable_commit < self.ever_applied.get(name, 0):
            raise Broken(
                f"never back: {name} had {self.ever_applied[name]} and starts with {core.durable_commit}"
            )
        self.applied_to[name] = core.applied_index
        self.hearings[name] = Hearing()

    def stopped(self, name: str) -> None:
        """A run ends: its module is gone."""
        self.hearings.pop(name, None)

    def forgot(self, name: str) -> None:
        """Its folder was taken away: it may go back."""
        self.ever_applied.pop(name, None)

    # Messages

    def sent(self, sender: str, post: Send, size: int) -> None:
        """One leader a term; no message too large."""
        message = post.envelope.body
        if isinstance(message, AppendEntries):
            other = self.leads.setdefault(message.term, sender)
            if other != sender:
                raise Broken(f"one leader: in term {message.term} {other} and {sender}")
        if size > MAX_BODY_BYTES:
            raise Broken(f"size: {sender} sent {size} bytes of {type(message).__name__}")

    # The log

    def applied(self, name: str, step: Applied, now: float) -> None:
        """One command at a place on all copies, none left out, none twice."""
        index = step.index
        if index not in self.commands:
            self.commands[index], self.before[index] = step.command, self.last_command
            if index <= self.last_command:
                raise Broken(f"in order: {name} applied {index}, left out by all up to {self.last_command}")
            self.last_command = index
            self._effective(index, step, now)
        if self.commands[index] != step.command:
            raise Broken(f"one entry: {name} applied another command at {index}")
        had = self.applied_to[name]
        if index <= had:
            raise Broken(f"twice or out of order: {name} applied {index} after {had}")
        if had < self.before[index]:
            raise Broken(f"lost: {name} applied {index} after {had}, without {self.before[index]}")
        self.applied_to[name] = index
        self.ever_applied[name] = max(index, self.ever_applied.get(name, 0))

    def _effective(self, index: int, step: Applied, now: float) -> None:
        """The first copy applied a command: is it one of the operator's lists, and may it take effect?"""
        expected = self.expected.get(step.command)
        if expected is None or not made_version(step.result, index):
            return
        if expected.bad:
            raise Broken(f"bad version: what stands at {index} took effect and should have been refused")
        if expected.after != self.chain[-1]:
            raise Broken(f"lost update: {index}, made from {expected.after}, took effect on {self.chain[-1]}")
        self.lists[index] = expected.entries
        self.chain.append(index)
        self.effective_at[index] = now

    def restored(self, name: str, index: int) -> None:
        """A copy took a snapshot in."""
        if index <= self.applied_to[name]:
            raise Broken(f"snapshot back: {name} had {self.applied_to[name]}, took one of {index}")
        self.applied_to[name] = index
        self.ever_applied[name] = max(index, self.ever_applied.get(name, 0))

    def state(self, name: str, configuration: Configuration) -> None:
        """A copy's machine holds this: all of one version, or it is half."""
        version, catalog = configuration.version, configuration.catalog
        known = self.seen.get(id(catalog))
        if known is not None and known[1] == version:
            return
        if version == 0 and not catalog.size:
            return
        if version not in self.lists:
            raise Broken(f"half: {name} holds a version {version} that no operator made")
        if {entry.name: entry for entry in catalog.entries()} != self.lists[version]:
            raise Broken(f"half: what {name} holds as {version} is not the operator's list")
        self.seen[id(catalog)] = (catalog, version)

    # Decision modules

    def module(self, name: str, event: ModuleEvent, now: float) -> None:
        """A module was told something."""
        hearing = self.hearings[name]
        match event:
            case ToldItems():
                self._items(name, hearing, event)
            case ToldAll():
                self._all(name, hearing, event)
                self.told_at.setdefault(event.version, {}).setdefault(name, now)
                self.tape.append((now, name, event.version))

    def _items(self, name: str, hearing: Hearing, event: ToldItems) -> None:
        if event.version <= hearing.version or hearing.target not in (0, event.version):
            raise Broken(f"module order: {name} is told of {event.version} within {hearing.target}")
        hearing.target = event.version
        for item in event.items:
            if item.name in hearing.told:
                raise Broken(f"module twice: {name} is told of {item.name} twice in {event.version}")
            if item.urgent and hearing.calm:
                raise Broken(f"drains first: {name} is told of {item.name} after others in {event.version}")
            hearing.calm = hearing.calm or not item.urgent
            hearing.told[item.name] = item

    def _all(self, name: str, hearing: Hearing, event: ToldAll) -> None:
        if event.version <= hearing.version or event.version not in self.lists:
            raise Broken(f"module order: {name} is told all of {event.version} after {hearing.version}")
        if event.loaded and hearing.version:
            raise Broken(f"module order: {name} is told a whole list on top of {hearing.version}")
        if not event.loaded:
            old, new = self.lists[hearing.version], self.lists[event.version]
            for item in hearing.told.values():
                if new.get(item.name) != item.entry:
                    raise Broken(f"module: {name} holds another {item.name} than {event.version} says")
            for changed in self._changed(hearing.version, event.version, old, new):
                if changed not in hearing.told:
                    raise Broken(f"module lost: {name} was not told of {changed} in {event.version}")
        self.hearings[name] = Hearing(event.version)

    def _changed(self, first: int, last: int, old: List, new: List) -> frozenset[str]:
        """Names whose entries differ between two versions."""
        if (first, last) not in self._differences:
            names = {name for name in new if old.get(name) != new[name]} | (old.keys() - new.keys())
            self._differences[first, last] = frozenset(names)
        return self._differences[first, last]

    _differences: dict[tuple[int, int], frozenset[str]] = field(default_factory=dict)

    def view(
        self, version: int, count: int, counted: set[str], out_since: Mapping[str, float], now: float
    ) -> None:
        """The leader counts these in force: their modules were told it, and they are in contact."""
        if count != len(counted):
            raise Broken(f"view: {count} are said to be in force, and {len(counted)} are not excepted")
        told = self.told_at.get(version, {})
        for name in sorted(counted):
            if name not in told:
                raise Broken(f"view: {name} counts as in force with {version}, which it was not told")
            if now - out_since.get(name, now) > MOST_COUNTED:
                raise Broken(f"view: {name} counts as in force, out of contact since {out_since[name]:.0f}")

    def finish(self, reachable: set[str], agreed: set[int]) -> None:
        """At the end: every version that an operator was told of is there, and all modules hold the last."""
        lost = agreed - set(self.chain)
        if lost:
            raise Broken(f"lost: versions {sorted(lost)} were told to be agreed and did not take effect")
        for name in sorted(reachable):
            hearing = self.hearings.get(name)
            if hearing is None or hearing.version != self.chain[-1]:
                held = "nothing" if hearing is None else str(hearing.version)
                raise Broken(f"lost: the module of {name} ends with {held}, not {self.chain[-1]}")


def made_version(result: bytes, index: int) -> bool:
    """Did the command at this place make a version? One that says what already stands makes none."""
    came = read_result(result)
    return came.ok and came.version == index
