"""The view that one copy publishes: the group's status of each copy, overlaid while it is cut off. Pure.

A copy that is cut off shows the unreachable ones as dead or suspected. When contact is back it shows each one
as suspected until it is heard again, or until the recovery time has passed.
"""

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
    """Remembers what was published last, so that only changes become steps."""

    def __init__(
        self,
        fleet: Fleet,
        table: MembershipTable,
        isolation: IsolationDetector,
        health: Health,
        tuning: Tuning,
    ) -> None:
        self.table, self.isolation, self.health, self.tuning = table, isolation, health, tuning
        self.recovering: set[str] = set()  # copies that were cut off and not heard since
        self.recovery_ends = math.inf
        self.states: dict[str, str] = {}
        self.self_state = SelfStateChanged(False, False, False)
        self.set_fleet(fleet)

    def set_fleet(self, fleet: Fleet) -> None:
        """Replace the list of copies."""
        self.states = {copy.name: self.states.get(copy.name, STATUS_NAMES[ALIVE]) for copy in fleet.others}
        self.recovering &= self.states.keys()

    def heard(self, name: str) -> None:
        """A message from ``name`` came."""
        if name in self.recovering:
            self.recovering.remove(name)
            self.table.changed.add(name)

    def cut_changed(self, now: float) -> bool:
        """An isolation began, changed or ended; returns whether it ended."""
        peer_sets = (self.isolation.others, self.isolation.other_sites)
        for peers in peer_sets:
            if peers.level:
                self.recovering |= peers.names
        self.table.clear_suspicions(frozenset(self.recovering))
        self.table.changed |= self.isolation.others.names
        ended = not any(peers.level for peers in peer_sets)
        self.recovery_ends = now + self.tuning.recovery_ms if ended else math.inf
        return ended

    def end_recovery(self, now: float) -> None:
        """Once the recovery time has passed, show all copies with the group's status."""
        if self.recovering and now >= self.recovery_ends:
            self.table.changed |= self.recovering
            self.recovering.clear()

    def _state(self, name: str) -> str:
        level = self.isolation.level(name)
        status = self.table.members[name].status
        if level == 2:
            return STATUS_NAMES[DEAD]
        return STATUS_NAMES[max(status, SUSPECTED) if level or name in self.recovering else status]

    def steps(self, now: float, counts: Counter[str]) -> list[StateChanged | SelfStateChanged]:
        """What changed in the view since the last call; changes of state are counted in ``counts``."""
        steps: list[StateChanged | SelfStateChanged] = []
        if self.table.changed:
            changed, self.table.changed = self.table.changed, set()
            for name in sorted(changed & self.states.keys()):
                state = self._state(name)
                if state != self.states[name]:
                    self.states[name] = state
                    counts[f"became_{state}"] += 1
                    steps.append(StateChanged(name, state))
        alone, outside = self.isolation.others.level == 2, self.isolation.other_sites.level == 2
        self_state = SelfStateChanged(self.health.suspects_self(now) or alone, alone, alone or outside)
        if self_state != self.self_state:
            self.self_state = self_state
            steps.append(self_state)
        return steps

    def view(self) -> View:
        """The whole view as last published."""
        return View(
            dict(self.states),
            self.self_state.self_suspected,
            self.self_state.alone,
            self.self_state.cut_off,
        )
