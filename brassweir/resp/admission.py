"""Who may keep a connection while clients press. Pure: ids and times (seconds) in, ids out.

A sender has few descriptors, and calls, the list and notices need some of them. Whoever connects is let in,
since a usual client sends its first command with its first packet: for it the one that has been silent
longest goes. If none is silent, the longest idle goes; one with a command in work never does.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

IDLE = 2.0  # seconds: after this the platform lets a sender close an idle connection
PRESSED = 0.7  # share of the room from which idle connections are closed
USUAL_PRESSED = 0.5  # the same of what usual clients may hold: they lack what others of them keep idle


@dataclass(slots=True)
class ClientState:
    """One connection: since when, when it was last heard or answered, and what is known of it."""

    id: int
    since: float
    heard: float
    proven: bool = False  # it has handed a message in; a PING costs a stranger nothing, and proves nothing
    greeted: bool = False  # it has sent a PING
    working: bool = False  # a command of it has no answer yet
    half: bool = False  # a command of it has begun and is not whole
    weight: int = 0  # bytes of it that are kept and not taken up yet


class Admission:
    """All connections of clients; at most ``most``, of which usual clients hold ``usual`` at once.

    ``room`` is for bytes that they have sent and that are not taken up yet.
    """

    def __init__(self, most: int, usual: int, room: float = math.inf) -> None:
        if most < 1:
            raise ValueError(f"room for {most} clients serves nobody")
        self.most, self.usual, self.room = most, usual, room
        self.held = 0  # bytes, of all
        self.clients: dict[int, ClientState] = {}
        self.silent: dict[int, ClientState] = {}  # those that have handed nothing in, in the order of coming

    def admit(self, ident: int, now: float) -> tuple[bool, int | None]:
        """A connection comes: may it stay, and who has to go for it?"""
        victim = None
        if len(self.clients) >= self.most:
            victim = self._victim(now)
            if victim is None:
                return False, None
        self.clients[ident] = self.silent[ident] = ClientState(ident, now, now)
        return True, victim

    def proved(self, ident: int) -> None:
        """It has handed a message in."""
        one = self.silent.pop(ident, None)
        if one is not None:
            one.proven = True

    def leave(self, ident: int) -> None:
        """A connection is gone."""
        one = self.clients.pop(ident, None)
        self.silent.pop(ident, None)
        self.held -= one.weight if one is not None else 0

    def weigh(self, one: ClientState, weight: int) -> int | None:
        """A connection keeps so many bytes; who has to go, if all together keep too many. A body comes within
        a packet or two: who keeps a part of one for long sends it in pieces, or not at all."""
        self.held += weight - one.weight
        one.weight = weight
        if self.held <= self.room:
            return None
        heavy = [other for other in self.silent.values() if other.weight]
        heavy = heavy or [other for other in self.clients.values() if other.weight]
        return min(heavy, key=lambda other: other.heard).id

    def _victim(self, now: float) -> int | None:
        if self.silent:
            return next(iter(self.silent))
        idle = self._idle(now)
        return min(idle, key=lambda one: one.heard).id if idle else None

    def _idle(self, now: float) -> list[ClientState]:
        return [
            one for one in self.clients.values() if one.proven and not one.working and now - one.heard >= IDLE
        ]

    def expired(self, now: float) -> list[int]:
        """Those to be closed now: the silent, those that stopped within a command, and, while there is little
        room, the longest idle."""
        gone = [
            one.id
            for one in self.silent.values()
            if now - (one.heard if one.greeted and not one.half else one.since) >= IDLE
        ]
        idle = self._idle(now)
        gone += [one.id for one in idle if one.half]
        over = len(self.clients) - len(gone) - int(self.most * PRESSED)
        if len(self.clients) - len(self.silent) > self.usual * USUAL_PRESSED:
            over = len(idle)
        if over > 0:
            rest = sorted((one for one in idle if not one.half), key=lambda one: one.heard)
            gone += [one.id for one in rest[:over]]
        return gone
