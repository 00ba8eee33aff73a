"""Whose turn it is to set up a connection when many want one at once.

Three lines share a limited number of set-ups: destinations that wake, those with connections that want more,
and those whose last set-up failed. Turns go round the lines: neither a wave of wakes nor a busy one keeps the
others out. Destinations that may be dead, each holding its place for a whole connect time-out, never hold
more than a share of the places.
"""

from __future__ import annotations

from collections import deque
from enum import Enum


class Line(Enum):
    """Why a set-up is wanted."""

    WAKING = 0
    GROWING = 1
    SUSPECT = 2


SUSPECTS = 0.25  # share of the places that suspects may hold
REMEMBER = 30_000.0  # ms for which a failed set-up makes a destination a suspect


class Setups:
    """At most ``places`` set-ups at once, one at a time for a destination that has no connection yet."""

    def __init__(self, places: int) -> None:
        self.places = places
        self.lines: dict[Line, deque[tuple[str, int]]] = {line: deque() for line in Line}
        self.out: dict[int, tuple[str, Line]] = {}
        self.waking: set[str] = set()  # destinations with a first set-up out
        self.failed: dict[str, float] = {}
        self.last = 0  # ticket numbers
        self.turn = 0

    def ask(self, key: str, has_connection: bool, now: float) -> int:
        """Stand in line; the ticket is given back by :meth:`next` when its turn has come."""
        failed = self.failed.get(key)
        if failed is not None and now - failed > REMEMBER:
            del self.failed[key]
            failed = None
        line = Line.SUSPECT if failed is not None else Line.GROWING if has_connection else Line.WAKING
        self.last += 1
        self.lines[line].append((key, self.last))
        return self.last

    def next(self) -> int | None:
        """The ticket whose turn it is, or None if no place is free or nobody may go."""
        if len(self.out) >= self.places:
            return None
        lines = list(Line)
        for step in range(len(lines)):
            line = lines[(self.turn + step) % len(lines)]
            if line is Line.SUSPECT and self._suspects() >= max(1, int(self.places * SUSPECTS)):
                continue
            entry = self._first(line)
            if entry is not None:
                key, ticket = entry
                self.turn = (lines.index(line) + 1) % len(lines)
                self.out[ticket] = (key, line)
                if line is not Line.GROWING:
                    self.waking.add(key)
                return ticket
        return None

    def done(self, ticket: int, good: bool | None, now: float) -> None:
        """A set-up has ended, or its asker has left the line; ``good`` is None if that says nothing of the
        destination."""
        place = self.out.pop(ticket, None)
        if place is None:
            for queue in self.lines.values():
                for entry in queue:
                    if entry[1] == ticket:
                        queue.remove(entry)
                        return
            return
        key, line = place
        if line is not Line.GROWING:
            self.waking.discard(key)
        if good is None:
            return
        self.failed.pop(key, None)
        if not good:
            self.failed[key] = now  # the latest stand last
            while self.failed and now - next(iter(self.failed.values())) > REMEMBER:
                del self.failed[next(iter(self.failed))]

    def _suspects(self) -> int:
        return sum(line is Line.SUSPECT for _, line in self.out.values())

    def _first(self, line: Line) -> tuple[str, int] | None:
        """The first of a line that may go; a destination whose first set-up is out steps aside."""
        queue = self.lines[line]
        for _ in range(len(queue)):
            entry = queue.popleft()
            if line is Line.GROWING or entry[0] not in self.waking:
                return entry
            queue.append(entry)
        return None
