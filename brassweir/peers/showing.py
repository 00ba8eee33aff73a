"""What one copy shows of all: the fleet's standings, and over them its own view while it is cut off. Pure."""

from __future__ import annotations

import math
from collections import Counter

from brassweir.peers.claims import ALIVE, DEAD, SUSPECTED, WORDS
from brassweir.peers.contact import Contact
from brassweir.peers.copies import Fleet
from brassweir.peers.health import Health
from brassweir.peers.table import Table
from brassweir.peers.talk import Changed, SelfChanged, View
from brassweir.peers.tuning import Tuning


class Showing:
    """Keeps what was shown last, so that only changes are told."""

    def __init__(self, fleet: Fleet, table: Table, contact: Contact, health: Health, tuning: Tuning) -> None:
        self.table, self.contact, self.health, self.tuning = table, contact, health, tuning
        self.healing: set[str] = set()  # were cut off and not heard since
        self.heal_until = math.inf
        self.states: dict[str, str] = {}
        self.own = SelfChanged(False, False, False)
        self.listed(fleet)

    def listed(self, fleet: Fleet) -> None:
        """Another list of copies."""
        self.states = {copy.name: self.states.get(copy.name, WORDS[ALIVE]) for copy in fleet.others}
        self.healing &= self.states.keys()

    def hear(self, name: str) -> None:
        """A message from it came."""
        if name in self.healing:
            self.healing.remove(name)
            self.table.changed.add(name)

    def cut(self, now: float) -> bool:
        """A cut was noticed, or changed; true where one ended."""
        scopes = (self.contact.all, self.contact.outside)
        for scope in scopes:
            if scope.level:
                self.healing |= scope.names
        self.table.forgive(frozenset(self.healing))
        self.table.changed |= self.contact.all.names
        over = not any(scope.level for scope in scopes)
        self.heal_until = now + self.tuning.heal if over else math.inf
        return over

    def time(self, now: float) -> None:
        """Long enough after a cut, all are shown as the fleet has them."""
        if self.healing and now >= self.heal_until:
            self.table.changed |= self.healing
            self.healing.clear()

    def _state(self, name: str) -> str:
        level = self.contact.level(name)
        status = self.table.standings[name].status
        if level == 2:
            return WORDS[DEAD]
        return WORDS[max(status, SUSPECTED) if level or name in self.healing else status]

    def steps(self, now: float, counts: Counter[str]) -> list[Changed | SelfChanged]:
        """What is shown differently from now on."""
        steps: list[Changed | SelfChanged] = []
        if self.table.changed:
            changed, self.table.changed = self.table.changed, set()
            for name in sorted(changed & self.states.keys()):
                state = self._state(name)
                if state != self.states[name]:
                    self.states[name] = state
                    counts[f"became_{state}"] += 1
                    steps.append(Changed(name, state))
        alone, outside = self.contact.all.level == 2, self.contact.outside.level == 2
        own = SelfChanged(self.health.doubts(now) or alone, alone, alone or outside)
        if own != self.own:
            self.own = own
            steps.append(own)
        return steps

    def view(self) -> View:
        """All of it."""
        return View(dict(self.states), self.own.self_suspected, self.own.alone, self.own.cut_off)
