"""Is this copy cut off: has it heard nobody, or nobody of any other site, and do its probes fail there? Pure.

What a copy concludes of others while it is cut off is its own view only; it is never told to others.
"""

from __future__ import annotations

from brassweir.peers.copies import Fleet
from brassweir.peers.tuning import Tuning

ENOUGH = 2  # copies whose probes failed since any was heard, where there are so many


class PeerSet:
    """A set of copies that go silent together: all others, or those of other sites."""

    def __init__(self, now: float) -> None:
        self.names: frozenset[str] = frozenset()
        self.heard = now  # when any of them was last heard (ms)
        self.failed: set[str] = set()  # whose probes failed since
        self.level = 0  # 1 perhaps cut off, 2 cut off

    def listed(self, names: frozenset[str], now: float) -> None:
        """Another list; a silence goes on, but not over those who were not there before."""
        if not self.names:
            self.heard = now
        self.names = names
        self.failed &= names


class IsolationDetector:
    """When each copy was heard last, at first hand."""

    def __init__(self, fleet: Fleet, now: float, tuning: Tuning) -> None:
        self.tuning = tuning
        self.last: dict[str, float] = {}
        self.all, self.outside = PeerSet(now), PeerSet(now)
        self.listed(fleet, now)

    def listed(self, fleet: Fleet, now: float) -> None:
        """Another list of copies."""
        self.fleet = fleet
        names = frozenset(copy.name for copy in fleet.others)
        self.last = {name: self.last.get(name, float("-inf")) for name in names}
        self.all.listed(names, now)
        self.outside.listed(frozenset(name for name in names if fleet.outside(name)), now)

    def hear(self, name: str, now: float) -> None:
        """A message from it came."""
        self.last[name] = now
        for scope in (self.all, self.outside):
            if name in scope.names:
                scope.heard = now
                scope.failed.clear()

    def fail(self, name: str) -> None:
        """A probe of it failed."""
        for scope in (self.all, self.outside):
            if name in scope.names:
                scope.failed.add(name)

    def shift(self, gap: float) -> None:
        """This copy stood still for ``gap`` ms: no silence of others counts."""
        self.last = {name: at + gap for name, at in self.last.items()}
        for scope in (self.all, self.outside):
            scope.heard += gap

    def look(self, now: float, answer: float, dead: frozenset[str]) -> bool:
        """Judge both scopes anew; has a level changed? ``dead``: those that the fleet holds dead."""
        slack = 4 * (answer - self.tuning.answer_least)
        before = (self.all.level, self.outside.level)
        for scope in (self.all, self.outside):
            silence = now - scope.heard - slack
            scope.level = 0
            if scope.names and silence >= self.tuning.quiet:
                if len(scope.failed) >= min(ENOUGH, len(scope.names - dead)):
                    scope.level = 2 if silence >= self.tuning.cut else 1
        return before != (self.all.level, self.outside.level)

    def level(self, name: str) -> int:
        """0: what is seen of it can be judged; 1, 2: this copy is perhaps, or surely, cut off from it."""
        return max(self.all.level, self.outside.level if name in self.outside.names else 0)

    def witness(self, name: str, since: float) -> bool:
        """Was another one heard since then, who stands, like ``name``, at another site if that does?

        Where not, it may be this copy that is cut off.
        """
        names = (self.outside if name in self.outside.names else self.all).names
        return any(at >= since for one, at in self.last.items() if one != name and one in names)
