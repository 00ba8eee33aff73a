"""Which destinations hold connections while a budget binds, and who gives way.

Options were weighed with traces (docs/design-idle.md, benchmarks/idle_policies.py). The one in use ranks idle
holders by greedy dual with frequency: the age of the shelf at the last use plus uses so far times the cost
of coming back. The seldom used give way first, those dear to wake stay longer, and none stays for ever: the
age rises to the rank of each that gave way. One with a call out, or with a trial due, never gives way.
"""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heappop, heappush

ROOM = 0.1  # share of the budget kept for destinations that wake: the busy grow only into the rest
SHRINK = 0.9  # x connections open when the system had no more: the budget from then on
REGROW = 60_000.0  # ms after the last shortage until the budget grows again
GROWTH = 1.05  # x budget at each such step, up to what was configured


@dataclass(slots=True)
class _Holder:
    open: int = 0  # connections, those being made included
    busy: int = 0  # of these with a call out
    pinned: bool = False
    uses: int = 0  # calls since it has had connections
    rank: float = 0.0
    stamp: int = 0


@dataclass(frozen=True, slots=True)
class Permit:
    """What to do about one request: may it connect now, and whose idle connection is to be closed first."""

    granted: bool
    evict: str | None = None


class ConnectionBudget:
    """Connections of all destinations under one limit. Keys are pools; times in ms."""

    def __init__(self, max_connections: int) -> None:
        if max_connections < 1:
            raise ValueError(f"a budget of {max_connections} connections serves nobody")
        self.configured = self.max_connections = max_connections
        self.holders: dict[str, _Holder] = {}
        self.open = 0
        self.age = 0.0  # rank of the last one that gave way: what came later ranks above it
        self.heap: list[tuple[float, int, str]] = []  # idle holders by rank, with stale entries
        self.stamps = 0
        self.short_at = -float("inf")
        self.evictions = 0

    def request(self, key: str, now: float) -> Permit:
        """A destination wants one more connection.

        A first one may use all of the budget, a further one only what the waking do not need. If there is no
        room, an idle connection elsewhere gives way; if none is idle, the request waits.
        """
        self._regrow(now)
        holder = self.holders.get(key)
        first = holder is None or holder.open == 0
        limit = self.max_connections if first else max(1, int(self.max_connections * (1.0 - ROOM)))
        if self.open < limit:
            return Permit(True)
        victim = self._victim(key)
        if victim is None:
            return Permit(False)
        self.evictions += 1
        return Permit(True, victim)

    def opened(self, key: str) -> None:
        """A connection is being made."""
        self.holders.setdefault(key, _Holder()).open += 1
        self.open += 1

    def closed(self, key: str) -> None:
        """A connection is gone, or was never made; idle or not is told by :meth:`busy` and :meth:`idle`."""
        holder = self.holders[key]
        holder.open -= 1
        self.open -= 1
        self._forget(key, holder)

    def busy(self, key: str) -> None:
        """A call takes one of its connections."""
        self.holders[key].busy += 1

    def idle(self, key: str, cost: float) -> None:
        """A call has given its connection back; ``cost`` (ms) is what it would take to make it anew."""
        holder = self.holders[key]
        holder.busy -= 1
        holder.uses += 1
        self._rank(key, holder, self.age + holder.uses * max(cost, 1e-3))
        self._forget(key, holder)

    def pin(self, key: str, pinned: bool) -> None:
        """A trial is due there soon, or no more: pinned ones never give way."""
        holder = self.holders.get(key)
        if holder is None:
            if not pinned:
                return
            holder = self.holders[key] = _Holder()
        holder.pinned = pinned
        if not pinned:
            self._rank(key, holder, holder.rank)
            self._forget(key, holder)

    def shortage(self, now: float) -> str | None:
        """The system has no more descriptors or ports: live with less from now on. Returns who gives way."""
        self.max_connections = max(1, min(self.max_connections, int(self.open * SHRINK)))
        self.short_at = now
        return self._victim(None)

    def _regrow(self, now: float) -> None:
        if self.max_connections < self.configured and now - self.short_at >= REGROW:
            self.max_connections = min(
                self.configured, max(self.max_connections + 1, int(self.max_connections * GROWTH))
            )
            self.short_at = now

    def _forget(self, key: str, holder: _Holder) -> None:
        """A connection may end before its call has noticed: a holder is kept for both."""
        if not holder.open and not holder.busy and not holder.pinned:
            del self.holders[key]

    def _rank(self, key: str, holder: _Holder, rank: float) -> None:
        self.stamps += 1
        holder.rank, holder.stamp = rank, self.stamps
        heappush(self.heap, (rank, self.stamps, key))
        if len(self.heap) > 64 + 4 * len(self.holders):
            self.heap = [(one.rank, one.stamp, name) for name, one in self.holders.items() if one.stamp]
            self.heap.sort()

    def _victim(self, asking: str | None) -> str | None:
        """The idle holder of the lowest rank; it stays on the shelf while it has more idle connections."""
        aside = []
        found = None
        while self.heap and found is None:
            rank, stamp, key = heappop(self.heap)
            holder = self.holders.get(key)
            if holder is None or holder.stamp != stamp or holder.pinned:
                continue
            if holder.open <= holder.busy:
                continue  # nothing idle; it comes back to the heap when it has
            if key == asking:
                aside.append((rank, stamp, key))
                continue
            found = key
            self.age = max(self.age, rank)
            if holder.open - holder.busy > 1:
                aside.append((rank, stamp, key))
        for entry in aside:
            heappush(self.heap, entry)
        return found
