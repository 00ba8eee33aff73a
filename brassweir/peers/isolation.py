"""Detects that this copy itself is cut off from all others, or from all other sites. Pure.

The sign is that nobody there was heard for a while and probes there fail. What a copy concludes of others
while it is cut off stays its own view and is not sent to others.
"""

from __future__ import annotations

from brassweir.peers.copies import Fleet
from brassweir.peers.tuning import Tuning

MIN_FAILED_PROBES = 2  # copies whose probes failed since any was heard, where there are so many


class PeerSet:
    """Copies that fall silent together when this copy is cut off: all others, or those of other sites."""

    def __init__(self, now: float) -> None:
        self.names: frozenset[str] = frozenset()
        self.last_heard = now  # when any of them was last heard (ms)
        self.failed: set[str] = set()  # copies whose probes failed since then
        self.level = 0  # 0 in contact, 1 possibly cut off, 2 cut off

    def set_names(self, names: frozenset[str], now: float) -> None:
        """Replace the names; a running silence goes on, unless the set was empty before."""
        if not self.names:
            self.last_heard = now
        self.names = names
        self.failed &= names


class IsolationDetector:
    """When each copy was last heard directly, and whether this copy is cut off."""

    def __init__(self, fleet: Fleet, now: float, tuning: Tuning) -> None:
        self.tuning = tuning
        self.last_heard: dict[str, float] = {}
        self.others, self.other_sites = PeerSet(now), PeerSet(now)
        self.set_fleet(fleet, now)

    def set_fleet(self, fleet: Fleet, now: float) -> None:
        """Replace the list of copies."""
        self.fleet = fleet
        names = frozenset(copy.name for copy in fleet.others)
        self.last_heard = {name: self.last_heard.get(name, float("-inf")) for name in names}
        self.others.set_names(names, now)
        self.other_sites.set_names(frozenset(name for name in names if fleet.at_other_site(name)), now)

    def heard(self, name: str, now: float) -> None:
        """A message from ``name`` came."""
        self.last_heard[name] = now
        for peers in (self.others, self.other_sites):
            if name in peers.names:
                peers.last_heard = now
                peers.failed.clear()

    def probe_failed(self, name: str) -> None:
        """A probe of ``name`` failed."""
        for peers in (self.others, self.other_sites):
            if name in peers.names:
                peers.failed.add(name)

    def shift_times(self, gap: float) -> None:
        """This copy stood still for ``gap`` ms: do not count them as silence of others."""
        self.last_heard = {name: at + gap for name, at in self.last_heard.items()}
        for peers in (self.others, self.other_sites):
            peers.last_heard += gap

    def update(self, now: float, timeout: float, dead: frozenset[str]) -> bool:
        """Recompute both levels; returns whether one changed. ``dead``: copies dead in the group's view."""
        slack = 4 * (timeout - self.tuning.min_answer_timeout_ms)
        before = (self.others.level, self.other_sites.level)
        for peers in (self.others, self.other_sites):
            silence = now - peers.last_heard - slack
            peers.level = 0
            if peers.names and silence >= self.tuning.maybe_isolated_ms:
                if len(peers.failed) >= min(MIN_FAILED_PROBES, len(peers.names - dead)):
                    peers.level = 2 if silence >= self.tuning.isolated_ms else 1
        return before != (self.others.level, self.other_sites.level)

    def level(self, name: str) -> int:
        """How far this copy is cut off from ``name``: 0 in contact, 1 possibly, 2 certainly."""
        return max(self.others.level, self.other_sites.level if name in self.other_sites.names else 0)

    def has_witness(self, name: str, since: float) -> bool:
        """Whether another copy was heard since then, of another site if ``name`` is of another site.

        Without one, it may be this copy that is cut off, and ``name`` is not to be blamed.
        """
        names = (self.other_sites if name in self.other_sites.names else self.others).names
        return any(at >= since for other, at in self.last_heard.items() if other != name and other in names)
