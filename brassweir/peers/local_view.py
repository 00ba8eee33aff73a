"""What one copy shows of all: the fleet's standings, and over them its own view while it is cut off. Pure."""

from __future__ import annotations

import math
from collections import Counter

from brassweir.peers.claims import ALIVE, DEAD, STATUS_NAMES, SUSPECTED
from brassweir.peers.copies import Fleet
from brassweir.peers.health import Health
from brassweir.peers.isolation import IsolationDetector
from brassweir.peers.membership import MembershipTable
from brassweir.peers.messages import SelfStateChanged, StateChanged, View
from brassweir.peers.tuning import Tuning


class LocalView:
    """Keeps what was shown last, so that only changes are told."""

    def __init__(
        self, fleet: Fleet, table: MembershipTable, contact: IsolationDetector, health: Health, tuning: Tuning
    ) -> None:
        self.table, self.contact, self.health, self.tuning = table, contact, health, tuning
        self.healing: set[str] = set()  # were cut off and not heard since
        self.heal_until = math.inf
        self.states: dict[str, str] = {}
        self.own = SelfStateChanged(False, False, False)
        self.listed(fleet)

    def listed(self, fleet: Fleet) -> None:
        """Another list of copies."""
        self.states = {copy.name: self.states.get(copy.name, STATUS_NAMES[ALIVE]) for copy in fleet.others}
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
            return STATUS_NAMES[DEAD]
        return STATUS_NAMES[max(status, SUSPECTED) if level or name in self.healing else status]

    def steps(self, now: float, counts: Counter[str]) -> list[StateChanged | SelfStateChanged]:
        """What is shown differently from now on."""
        steps: list[StateChanged | SelfStateChanged] = []
        if self.table.changed:
            changed, self.table.changed = self.table.changed, set()
            for name in sorted(changed & self.states.keys()):
                state = self._state(name)
                if state != self.states[name]:
                    self.states[name] = state
                    counts[f"became_{state}"] += 1
                    steps.append(StateChanged(name, state))
        alone, outside = self.contact.all.level == 2, self.contact.outside.level == 2
        own = SelfStateChanged(self.health.doubts(now) or alone, alone, alone or outside)
        if own != self.own:
            self.own = own
            steps.append(own)
        return steps

    def view(self) -> View:
        """All of it."""
        return View(dict(self.states), self.own.self_suspected, self.own.alone, self.own.cut_off)
