"""A budget of connections over all destinations, and whose idle connection is evicted when it is used up.

Idle destinations are ranked by GreedyDual with frequency: the cache age at the last use, plus the number of
uses times the cost of a new connection. The lowest rank is evicted first, and the cache age rises to it, so
that no destination stays for ever. A destination with a call in flight or an imminent trial is not evicted.
docs/design-idle.md and benchmarks/idle_policies.py compare this policy with others.
"""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heappop, heappush

FIRST_CONNECTION_SHARE = 0.1  # share of the budget reserved for destinations without a connection
SHRINK_FACTOR = 0.9  # the budget after a shortage, as a multiple of the connections open then
REGROW_INTERVAL_MS = 60_000.0  # time after a shortage, and between steps, until the budget grows
GROWTH_FACTOR = 1.05  # growth of the budget in one step, up to the configured value


@dataclass(slots=True)
class _Holder:
    open: int = 0  # connections, including those being set up
    busy: int = 0  # connections with a call in flight
    pinned: bool = False  # a trial is imminent: not evicted
    uses: int = 0  # calls since it last had no connection
    rank: float = 0.0
    version: int = 0  # of its valid heap entry; 0 if it was never ranked


@dataclass(frozen=True, slots=True)
class Permit:
    """The decision on a request, and the destination whose idle connection must be closed first."""

    granted: bool
    evict: str | None = None


class ConnectionBudget:
    """Counts the connections of all destinations under one limit; keys are pools, times are ms."""

    def __init__(self, max_connections: int) -> None:
        if max_connections < 1:
            raise ValueError(f"a budget of {max_connections} connections is below 1")
        self.configured = self.max_connections = max_connections
        self.holders: dict[str, _Holder] = {}
        self.open = 0
        self.age = 0.0  # the highest rank evicted so far; later uses rank above it
        self.heap: list[tuple[float, int, str]] = []  # (rank, version, key); may hold outdated entries
        self.last_version = 0
        self.resized_at = -float("inf")
        self.evictions = 0

    def request(self, key: str, now: float) -> Permit:
        """Decide on a destination's request for one more connection.

        A first connection may use the whole budget, a further one only the part that is not reserved for
        first ones. If the budget is used up, an idle connection of another destination is evicted; if none is
        idle, the request is not granted and has to wait.
        """
        self._regrow(now)
        holder = self.holders.get(key)
        first = holder is None or holder.open == 0
        limit = (
            self.max_connections
            if first
            else max(1, int(self.max_connections * (1.0 - FIRST_CONNECTION_SHARE)))
        )
        if self.open < limit:
            return Permit(True)
        victim = self._eviction_candidate(key)
        if victim is None:
            return Permit(False)
        self.evictions += 1
        return Permit(True, victim)

    def opened(self, key: str) -> None:
        """Count a connection whose set-up begins."""
        self.holders.setdefault(key, _Holder()).open += 1
        self.open += 1

    def closed(self, key: str) -> None:
        """Uncount a connection that closed or failed to open; a call on it still ends with :meth:`idle`."""
        holder = self.holders[key]
        holder.open -= 1
        self.open -= 1
        self._drop_if_unused(key, holder)

    def busy(self, key: str) -> None:
        """Record that a call takes one of its connections."""
        self.holders[key].busy += 1

    def idle(self, key: str, cost: float) -> None:
        """Record that a call returns its connection; ``cost`` (ms) is the time a new one takes to set up."""
        holder = self.holders[key]
        holder.busy -= 1
        holder.uses += 1
        self._rank(key, holder, self.age + holder.uses * max(cost, 1e-3))
        self._drop_if_unused(key, holder)

    def pin(self, key: str, pinned: bool) -> None:
        """Protect a destination with an imminent trial from eviction, or end that protection."""
        holder = self.holders.get(key)
        if holder is None:
            if not pinned:
                return
            holder = self.holders[key] = _Holder()
        holder.pinned = pinned
        if not pinned:
            self._rank(key, holder, holder.rank)
            self._drop_if_unused(key, holder)

    def shortage(self, now: float) -> str | None:
        """Shrink the budget after the system ran out of descriptors or ports.

        Returns the destination whose idle connection must be closed, or None.
        """
        self.max_connections = max(1, min(self.max_connections, int(self.open * SHRINK_FACTOR)))
        self.resized_at = now
        return self._eviction_candidate(None)

    def _regrow(self, now: float) -> None:
        if self.max_connections < self.configured and now - self.resized_at >= REGROW_INTERVAL_MS:
            self.max_connections = min(
                self.configured, max(self.max_connections + 1, int(self.max_connections * GROWTH_FACTOR))
            )
            self.resized_at = now

    def _drop_if_unused(self, key: str, holder: _Holder) -> None:
        """Remove a holder without connections and calls; a connection may close before its call ends."""
        if not holder.open and not holder.busy and not holder.pinned:
            del self.holders[key]

    def _rank(self, key: str, holder: _Holder, rank: float) -> None:
        self.last_version += 1
        holder.rank, holder.version = rank, self.last_version
        heappush(self.heap, (rank, self.last_version, key))
        if len(self.heap) > 64 + 4 * len(self.holders):
            self.heap = [
                (other.rank, other.version, name) for name, other in self.holders.items() if other.version
            ]
            self.heap.sort()

    def _eviction_candidate(self, requester: str | None) -> str | None:
        """Return the idle holder of the lowest rank; it stays in the heap if it has more idle connections."""
        put_back = []
        candidate = None
        while self.heap and candidate is None:
            rank, version, key = heappop(self.heap)
            holder = self.holders.get(key)
            if holder is None or holder.version != version or holder.pinned:
                continue
            if holder.open <= holder.busy:
                continue  # no idle connection; it enters the heap again when one becomes idle
            if key == requester:
                put_back.append((rank, version, key))
                continue
            candidate = key
            self.age = max(self.age, rank)
            if holder.open - holder.busy > 1:
                put_back.append((rank, version, key))
        for entry in put_back:
            heappush(self.heap, entry)
        return candidate
