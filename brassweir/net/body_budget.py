"""Limits the request bytes that a server buffers over all connections, by pausing some of them. No I/O."""

from __future__ import annotations

from typing import Protocol


class BodyReceiver(Protocol):
    """A connection that receives a body."""

    def resume_reading(self) -> None:
        """Resumes reading from the socket."""


class BodyBudget:
    """A budget of ``max_bytes``, exceeded at most by what each connection had received when it was paused."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.buffered_bytes = self.answering_bytes = 0  # in memory: all, and of requests being handled
        self.receiving: set[BodyReceiver] = set()  # within a body, and reading
        self.paused: dict[BodyReceiver, None] = {}  # within a body, and paused; oldest first

    def add(self, buffered_bytes: int, answering_bytes: int) -> None:
        """Adds a connection's change in bytes in memory, and in those of the request being handled."""
        self.buffered_bytes += buffered_bytes
        self.answering_bytes += answering_bytes

    def must_pause(self, connection: BodyReceiver) -> bool:
        """Registers a connection within a body; returns whether it has to pause reading.

        One connection may always read on, unless the requests being handled fill the budget by themselves.
        This prevents a deadlock of half-received bodies that wait for one another.
        """
        self.receiving.add(connection)
        exempt = len(self.receiving) == 1 and self.answering_bytes < self.max_bytes
        if self.buffered_bytes < self.max_bytes or exempt:
            return False
        self.receiving.discard(connection)
        self.paused[connection] = None
        return True

    def body_done(self, connection: BodyReceiver) -> None:
        """Removes a connection whose body is complete, handled or lost, and resumes others within budget."""
        self.receiving.discard(connection)
        self.paused.pop(connection, None)
        while self.paused and (self.buffered_bytes < self.max_bytes or not self.receiving):
            if self.buffered_bytes >= self.max_bytes and self.answering_bytes >= self.max_bytes:
                return
            oldest = next(iter(self.paused))
            del self.paused[oldest]
            self.receiving.add(oldest)
            oldest.resume_reading()
