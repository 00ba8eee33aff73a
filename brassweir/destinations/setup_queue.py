"""Whose turn it is to set up a connection when many want one at once.

Three lines share a limited number of set-ups: destinations that wake, those with connections that want more,
and those whose last set-up failed. Turns go round the lines: neither a wave of wakes nor a busy one keeps the
others out. Destinations that may be dead, each holding its place for a whole connect time-out, never hold
more than a share of the places.
"""

from __future__ import annotations

from collections import deque
from enum import Enum


class SetupReason(Enum):
    """Why a set-up is wanted."""

    WAKING = 0
    GROWING = 1
    SUSPECT = 2


SUSPECTS = 0.25  # share of the places that suspects may hold
FAILURE_MEMORY_MS = 30_000.0  # ms for which a failed set-up makes a destination a suspect


class SetupQueue:
    """At most ``places`` set-ups at once, one at a time for a destination that has no connection yet."""

    def __init__(self, max_active: int) -> None:
        self.max_active = max_active
        self.queues: dict[SetupReason, deque[tuple[str, int]]] = {line: deque() for line in SetupReason}
        self.active: dict[int, tuple[str, SetupReason]] = {}
        self.waking: set[str] = set()  # destinations with a first set-up out
        self.failed: dict[str, float] = {}
        self.last = 0  # ticket numbers
        self.turn = 0

    def enqueue(self, key: str, has_connection: bool, now: float) -> int:
        """Stand in line; the ticket is given back by :meth:`next_ticket` when its turn has come."""
        failed = self.failed.get(key)
        if failed is not None and now - failed > FAILURE_MEMORY_MS:
            del self.failed[key]
            failed = None
        line = (
            SetupReason.SUSPECT
            if failed is not None
            else SetupReason.GROWING
            if has_connection
            else SetupReason.WAKING
        )
        self.last += 1
        self.queues[line].append((key, self.last))
        return self.last

    def next_ticket(self) -> int | None:
        """The ticket whose turn it is, or None if no place is free or nobody may go."""
        if len(self.active) >= self.max_active:
            return None
        queues = list(SetupReason)
        for step in range(len(queues)):
            line = queues[(self.turn + step) % len(queues)]
            if line is SetupReason.SUSPECT and self._suspects() >= max(1, int(self.max_active * SUSPECTS)):
                continue
            entry = self._first(line)
            if entry is not None:
                key, ticket = entry
                self.turn = (queues.index(line) + 1) % len(queues)
                self.active[ticket] = (key, line)
                if line is not SetupReason.GROWING:
                    self.waking.add(key)
                return ticket
        return None

    def done(self, ticket: int, good: bool | None, now: float) -> None:
        """A set-up has ended, or its asker has left the line; ``good`` is None if that says nothing of the
        destination."""
        place = self.active.pop(ticket, None)
        if place is None:
            for queue in self.queues.values():
                for entry in queue:
                    if entry[1] == ticket:
                        queue.remove(entry)
                        return
            return
        key, line = place
        if line is not SetupReason.GROWING:
            self.waking.discard(key)
        if good is None:
            return
        self.failed.pop(key, None)
        if not good:
            self.failed[key] = now  # the latest stand last
            while self.failed and now - next(iter(self.failed.values())) > FAILURE_MEMORY_MS:
                del self.failed[next(iter(self.failed))]

    def _suspects(self) -> int:
        return sum(line is SetupReason.SUSPECT for _, line in self.active.values())

    def _first(self, line: SetupReason) -> tuple[str, int] | None:
        """The first of a line that may go; a destination whose first set-up is out steps aside."""
        queue = self.queues[line]
        for _ in range(len(queue)):
            entry = queue.popleft()
            if line is SetupReason.GROWING or entry[0] not in self.waking:
                return entry
            queue.append(entry)
        return None
