"""Limits how many connections are set up at once, and shares the set-ups fairly.

Three queues are served round-robin: destinations without a connection, destinations that want further ones,
and destinations whose last set-up failed. So neither many first connections nor one busy destination block
the others. Destinations whose set-up failed may be down, and then occupy a set-up until its time-out: they
get only a share.
"""

from __future__ import annotations

from collections import deque
from enum import Enum


class SetupReason(Enum):
    """The queue that a set-up waits in."""

    FIRST = 0  # the destination has no connection
    FURTHER = 1  # the destination wants more connections
    SUSPECT = 2  # its last set-up failed


MAX_SUSPECT_SHARE = 0.25  # share of max_active that suspects may occupy
FAILURE_MEMORY_MS = 30_000.0  # how long a failed set-up makes a destination a suspect


class SetupQueue:
    """Allows ``max_active`` set-ups at once, and only one for a destination without a connection."""

    def __init__(self, max_active: int) -> None:
        self.max_active = max_active
        self.queues: dict[SetupReason, deque[tuple[str, int]]] = {reason: deque() for reason in SetupReason}
        self.active: dict[int, tuple[str, SetupReason]] = {}
        self.first_setups: set[str] = set()  # destinations whose first set-up is active
        self.failed_at: dict[str, float] = {}
        self.last_ticket = 0  # ticket numbers
        self.next_reason = 0

    def enqueue(self, key: str, has_connection: bool, now: float) -> int:
        """Enter a queue, and return the ticket that :meth:`next_ticket` returns when the set-up may start."""
        failed_at = self.failed_at.get(key)
        if failed_at is not None and now - failed_at > FAILURE_MEMORY_MS:
            del self.failed_at[key]
            failed_at = None
        reason = (
            SetupReason.SUSPECT
            if failed_at is not None
            else SetupReason.FURTHER
            if has_connection
            else SetupReason.FIRST
        )
        self.last_ticket += 1
        self.queues[reason].append((key, self.last_ticket))
        return self.last_ticket

    def next_ticket(self) -> int | None:
        """Start the next set-up and return its ticket, or None if none may start now."""
        if len(self.active) >= self.max_active:
            return None
        reasons = list(SetupReason)
        for step in range(len(reasons)):
            reason = reasons[(self.next_reason + step) % len(reasons)]
            if reason is SetupReason.SUSPECT and self._active_suspects() >= max(
                1, int(self.max_active * MAX_SUSPECT_SHARE)
            ):
                continue
            entry = self._next_eligible(reason)
            if entry is not None:
                key, ticket = entry
                self.next_reason = (reasons.index(reason) + 1) % len(reasons)
                self.active[ticket] = (key, reason)
                if reason is not SetupReason.FURTHER:
                    self.first_setups.add(key)
                return ticket
        return None

    def done(self, ticket: int, succeeded: bool | None, now: float) -> None:
        """End a set-up, or remove a waiting one from its queue.

        ``succeeded`` is None if the end of the set-up says nothing about the destination.
        """
        setup = self.active.pop(ticket, None)
        if setup is None:
            for queue in self.queues.values():
                for entry in queue:
                    if entry[1] == ticket:
                        queue.remove(entry)
                        return
            return
        key, reason = setup
        if reason is not SetupReason.FURTHER:
            self.first_setups.discard(key)
        if succeeded is None:
            return
        self.failed_at.pop(key, None)
        if not succeeded:
            self.failed_at[key] = now  # inserted last: oldest failures come first
            while self.failed_at and now - next(iter(self.failed_at.values())) > FAILURE_MEMORY_MS:
                del self.failed_at[next(iter(self.failed_at))]

    def _active_suspects(self) -> int:
        return sum(reason is SetupReason.SUSPECT for _, reason in self.active.values())

    def _next_eligible(self, reason: SetupReason) -> tuple[str, int] | None:
        """Take the first entry that may start, and move entries to the end that wait for a first set-up."""
        queue = self.queues[reason]
        for _ in range(len(queue)):
            entry = queue.popleft()
            if reason is SetupReason.FURTHER or entry[0] not in self.first_setups:
                return entry
            queue.append(entry)
        return None
