"""Who may keep a connection while clients press. Pure: ids and times (seconds) in, ids out.

A sender has few descriptors, and calls, the list and notices need some of them. Connections that have sent
nothing of use go first, those that have been idle longest next; one with a command in work never goes.
"""

from __future__ import annotations

from dataclasses import dataclass

SILENT = 1.8  # seconds: one that has sent nothing of use for so long is closed
IDLE = 2.0  # seconds: after this the platform lets a sender close an idle connection
FRESH = 0.25  # seconds that a new connection has for its first command before it may give way
PRESSED = 0.7  # share of the room from which idle connections are closed


@dataclass(slots=True)
class Standing:
    """One connection: since when, when it was last heard or answered, and what is known of it."""

    id: int
    since: float
    heard: float
    proven: bool = False  # it has sent something of use
    working: bool = False  # a command of it has no answer yet


class Crowd:
    """All connections of clients; at most ``most``."""

    def __init__(self, most: int) -> None:
        if most < 1:
            raise ValueError(f"room for {most} clients serves nobody")
        self.most = most
        self.standing: dict[int, Standing] = {}  # in the order of coming

    def enter(self, ident: int, now: float) -> tuple[bool, int | None]:
        """A connection comes: may it stay, and who has to go for it?"""
        victim = None
        if len(self.standing) >= self.most:
            victim = self._victim(now)
            if victim is None:
                return False, None
        self.standing[ident] = Standing(ident, now, now)
        return True, victim

    def leave(self, ident: int) -> None:
        """A connection is gone."""
        self.standing.pop(ident, None)

    def _victim(self, now: float) -> int | None:
        silent = next((one for one in self.standing.values()
                       if not one.proven and not one.working and now - one.since >= FRESH), None)
        if silent is not None:
            return silent.id
        idle = [one for one in self.standing.values() if not one.working and now - one.heard >= IDLE]
        return min(idle, key=lambda one: one.heard).id if idle else None

    def tired(self, now: float) -> list[int]:
        """Those to be closed now: unproven and silent, and, while there is little room, the longest idle."""
        gone = [one.id for one in self.standing.values()
                if not one.proven and not one.working and now - one.since >= SILENT]
        over = len(self.standing) - len(gone) - int(self.most * PRESSED)
        if over > 0:
            idle = [one for one in self.standing.values()
                    if one.proven and not one.working and now - one.heard >= IDLE]
            idle.sort(key=lambda one: one.heard)
            gone += [one.id for one in idle[:over]]
        return gone
