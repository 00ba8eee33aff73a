"""What an operator does with the endpoint list during a run: drawn from the seed. Pure."""

from __future__ import annotations

import json
from dataclasses import dataclass
from random import Random

from brassweir.configstream.catalog import EMPTY
from brassweir.configstream.entries import Entry

DESTINATIONS = 30
ENDPOINTS = 900  # of all destinations at the start: a change of all takes several commands
KIND = "collectors"
WHOLE, BAD, TWO = 0.2, 0.15, 0.25  # shares of edits: of all entries, not to be agreed, at two copies at once


def destination(number: int) -> str:
    """Its name."""
    return f"hook-{number}"


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A list as an operator writes it; ``good`` unless it must be refused."""

    entries: dict[str, Entry]
    good: bool = True

    def text(self) -> str:
        """As JSON lines."""
        rows = []
        for one in self.entries.values():
            shown = {"name": one.name, "url": one.url, "destination": one.destination, "kind": one.kind}
            rows.append(json.dumps(shown | {"state": one.state, "rate": one.rate}))
        return "\n".join(rows) + "\n"

    def digest(self) -> str:
        """As copies show it."""
        return EMPTY.apply(self.entries.values(), ()).catalog.digest()

    def of(self, name: str) -> set[str]:
        """The endpoints of a destination that are not gone."""
        return {one.name for one in self.entries.values() if one.destination == name and one.state != "gone"}


@dataclass(slots=True)
class Attempt:
    """One edit at one copy, and how it ended: ``state`` is empty if nobody saw its end. ``base``: the version
    that the list was made from, if that is known."""

    at: float
    copy: str
    digest: str
    good: bool
    base: int | None = None
    ended: float = 0.0
    state: str = ""
    version: int = 0
    field_name: str = ""
    why: str = ""


@dataclass
class Drawing:
    """Draws one list after another."""

    rng: Random
    count: int = 0

    def first(self) -> EndpointList:
        """The list that all begin with."""
        return EndpointList({one.name: one for one in (self._new() for _ in range(ENDPOINTS))})

    def next(self, known: EndpointList) -> EndpointList:
        """What an operator makes of the list that is known: another one in every case."""
        entries = dict(known.entries)
        if self.rng.random() < BAD:
            return self._bad(entries)
        if self.rng.random() < WHOLE:
            return EndpointList({name: self._changed(one) for name, one in entries.items()})
        for name in self.rng.sample(sorted(entries), 5):
            entries[name] = self._changed(entries[name])
        for name in self._removable(entries):
            del entries[name]
        for one in (self._new() for _ in range(self.rng.randint(1, 5))):
            entries[one.name] = one
        return EndpointList(entries)

    def _new(self) -> Entry:
        number = self.count
        self.count += 1
        home = destination(number % DESTINATIONS)
        return Entry(f"e{number}", f"forward://127.0.0.1:{20_000 + number % 10_000}", home, "", KIND)

    def _changed(self, one: Entry) -> Entry:
        state = "draining" if self.rng.random() < 0.2 else "ready"
        return Entry(
            one.name, one.url, one.destination, "", one.kind, "", state, round(self.rng.uniform(1.0, 99.0), 3)
        )

    def _removable(self, entries: dict[str, Entry]) -> list[str]:
        """A few that leave their destinations with others."""
        found = self.rng.sample(sorted(entries), min(4, len(entries)))
        listed = EndpointList(entries)
        return [name for name in found if len(listed.of(entries[name].destination)) > 8]

    def _bad(self, entries: dict[str, Entry]) -> EndpointList:
        """A destination left alone, or an entry that no copy may take."""
        if self.rng.random() < 0.5:
            alone = destination(self.rng.randrange(DESTINATIONS))
            kept = {name: one for name, one in entries.items() if one.destination != alone}
            return EndpointList(kept, good=False)
        name = self.rng.choice(sorted(entries))
        one = entries[name]
        entries[name] = Entry(one.name, one.url, one.destination, "", "k\u00fc", "", one.state, one.rate)
        return EndpointList(entries, good=False)
