"""Minimum-cost maximum flow, used to compute a plan. Pure; for small graphs."""

from __future__ import annotations

from collections.abc import Hashable

EPSILON = 1e-9  # calls a second; a smaller residual is a rounding error


class Flow:
    """A network solved by successive cheapest augmenting paths; residual edges undo earlier choices."""

    def __init__(self) -> None:
        self.heads: list[int] = []
        self.residual: list[float] = []
        self.cost: list[float] = []
        self.edges_from: dict[int, list[int]] = {}
        self.numbers: dict[Hashable, int] = {}

    def node(self, name: Hashable) -> int:
        """The number of a node, which is added if it is new."""
        return self.numbers.setdefault(name, len(self.numbers))

    def edge(self, start: Hashable, end: Hashable, capacity: float, cost: float) -> int:
        """Add an edge; returns its number, for ``used``."""
        source, sink, number = self.node(start), self.node(end), len(self.heads)
        for tail, head, residual, edge_cost in ((source, sink, capacity, cost), (sink, source, 0.0, -cost)):
            self.edges_from.setdefault(tail, []).append(len(self.heads))
            self.heads.append(head)
            self.residual.append(residual)
            self.cost.append(edge_cost)
        return number

    def used(self, edge: int) -> float:
        """The flow over an edge."""
        return self.residual[edge ^ 1]

    def run(self, start: Hashable, end: Hashable) -> float:
        """Send the maximum flow at minimum cost; returns the amount."""
        source, sink, placed = self.node(start), self.node(end), 0.0
        while (path := self._cheapest(source, sink)) is not None:
            amount = min(self.residual[edge] for edge in path)
            for edge in path:
                self.residual[edge] -= amount
                self.residual[edge ^ 1] += amount
            placed += amount
        return placed

    def _cheapest(self, source: int, sink: int) -> list[int] | None:
        distance, edge_to = {source: 0.0}, {}
        queue = [source]
        for node in queue:  # Bellman-Ford: residual edges have negative cost, but no cycle has
            for edge in self.edges_from.get(node, ()):
                length = distance[node] + self.cost[edge]
                if (
                    self.residual[edge] > EPSILON
                    and length < distance.get(self.heads[edge], float("inf")) - EPSILON
                ):
                    distance[self.heads[edge]], edge_to[self.heads[edge]] = length, edge
                    queue.append(self.heads[edge])
        if sink not in edge_to:
            return None
        path = []
        while sink != source:
            path.append(edge_to[sink])
            sink = self.heads[edge_to[sink] ^ 1]
        return path
