"""The agreed log's simulated world: what goes wrong in it, and what clients and operators ask of it."""

from __future__ import annotations

from brassweir.agreed.events import ChangeVoter, Propose, ReadCurrent, TransferLeadership
from brassweir.lab.models.logfloor import Floor, Weather

__all__ = ["Weather", "World"]


class World(Floor):
    """Members with troubles and clients."""

    def cut(self, pairs: list[tuple[str, str]], span: float) -> None:
        """These pairs do not hear for a while; each pair is one way."""
        for pair in pairs:
            self.cuts.add((pair[0], pair[1]))
            self.at(self.now + span, self.cuts.discard, (pair[0], pair[1]))

    def heal(self) -> None:
        """No cut, no trouble with any disk."""
        self.cuts.clear()
        for node in self.nodes.values():
            node.disk.room = node.disk.crash_at = node.disk.bad_sync = None

    def isolate(self, name: str, span: float) -> None:
        """It neither hears nor is heard."""
        self.cut([(name, other) for other in self.names if other != name], span)
        self.deaf(name, span)

    def deaf(self, name: str, span: float) -> None:
        """It is heard, and hears nothing."""
        self.cut([(other, name) for other in self.names if other != name], span)

    # What clients and operators do

    def propose(self, name: str, span: float = 8_000.0) -> int:
        """Propose something new through a copy."""
        self.tickets += 1
        command = f"{self.tickets}".encode()
        if self.nodes[name].core is not None:
            self.judge.asked(name, self.tickets, command, self.now)
            self.give(name, Propose(self.tickets, command, self.now + span))
        return self.tickets

    def read(self, name: str) -> int:
        """Ask for a current read."""
        self.tickets += 1
        if self.nodes[name].core is not None:
            self.judge.reads(name, self.tickets, self.now)
            self.give(name, ReadCurrent(self.tickets, self.now + 4_000.0))
        return self.tickets

    def change(self, name: str, votes: bool, span: float = 20_000.0) -> int:
        """Ask the leader to let a copy vote, or no longer."""
        self.tickets += 1
        leader = self.leader()
        if leader is not None:
            self.give(leader, ChangeVoter(self.tickets, name, votes, self.now + span))
        return self.tickets

    def leave(self, name: str) -> None:
        """A planned stop: hand over, then stop."""
        self.give(name, TransferLeadership())
        self.at(self.now + 200.0, self.crash, name, "kept", 1_000.0)

    def leader(self) -> str | None:
        """Who leads, by its own word, in the latest term."""
        found = [
            (node.core.term, name)
            for name, node in self.nodes.items()
            if node.core is not None and node.core.role == "leader" and node.stalled <= self.now
        ]
        return max(found)[1] if found else None

    # Two things at once

    def pinch(self, how: str, wait: float) -> None:
        """One voter lags, the leader and the others agree, then all restart and one of them has forgotten.

        ``how``: "lose" or "restore" its folder, or a crash of that mode. The leader comes back last.
        """
        leader = self.leader()
        others = [name for name in self.founders if name != leader]
        if leader is None or len(others) < 2:
            return
        behind, forgets = others[: len(others) // 2], others[-1]
        self.save(forgets)
        for name in behind:
            self.isolate(name, wait)
        for i in range(3):
            self.at(self.now + 20.0 + 5.0 * i, self.propose, leader)
        self.at(self.now + wait, self.forget, leader, forgets, how)

    def forget(self, leader: str, forgets: str, how: str) -> None:
        """The second half of it."""
        self.heal()
        self.quiet = self.now + 8_000.0
        if how in ("lose", "restore"):
            (self.lose if how == "lose" else self.restore)(forgets, 50.0)
        else:
            self.crash(forgets, how, 50.0)
        for name in self.founders:
            if name != forgets:
                self.crash(name, "lost", 2_500.0 if name == leader else 50.0)
