"""Cheapest flow that places the most: the exact filling behind a plan. Pure; small graphs only."""

from __future__ import annotations

from collections.abc import Hashable

TINY = 1e-9  # calls a second below which a rest is rounding


class Flow:
    """Successive cheapest paths, kept exact by edges that take flow back."""

    def __init__(self) -> None:
        self.to: list[int] = []
        self.left: list[float] = []
        self.cost: list[float] = []
        self.out: dict[int, list[int]] = {}
        self.numbers: dict[Hashable, int] = {}

    def node(self, name: Hashable) -> int:
        """The number of a node, made when first named."""
        return self.numbers.setdefault(name, len(self.numbers))

    def edge(self, start: Hashable, end: Hashable, most: float, cost: float) -> int:
        """An edge; returns its number, for ``used``."""
        a, b, number = self.node(start), self.node(end), len(self.to)
        for where, other, room, price in ((a, b, most, cost), (b, a, 0.0, -cost)):
            self.out.setdefault(where, []).append(len(self.to))
            self.to.append(other)
            self.left.append(room)
            self.cost.append(price)
        return number

    def used(self, edge: int) -> float:
        """What flows over an edge."""
        return self.left[edge ^ 1]

    def run(self, start: Hashable, end: Hashable) -> float:
        """Place all that can be placed, cheapest first; returns how much."""
        a, b, placed = self.node(start), self.node(end), 0.0
        while (path := self._cheapest(a, b)) is not None:
            step = min(self.left[edge] for edge in path)
            for edge in path:
                self.left[edge] -= step
                self.left[edge ^ 1] += step
            placed += step
        return placed

    def _cheapest(self, a: int, b: int) -> list[int] | None:
        dist, via = {a: 0.0}, {}
        queue = [a]
        for node in queue:  # Bellman-Ford: edges that take back cost less than nothing, cycles do not
            for edge in self.out.get(node, ()):
                far = dist[node] + self.cost[edge]
                if self.left[edge] > TINY and far < dist.get(self.to[edge], float("inf")) - TINY:
                    dist[self.to[edge]], via[self.to[edge]] = far, edge
                    queue.append(self.to[edge])
        if b not in via:
            return None
        path = []
        while b != a:
            path.append(via[b])
            b = self.to[via[b] ^ 1]
        return path
