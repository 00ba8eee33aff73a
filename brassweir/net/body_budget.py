"""How many bytes of request bodies a server holds over all its connections, and who waits meanwhile. Pure."""

from __future__ import annotations

from typing import Protocol


class Reader(Protocol):
    """A connection that receives a body."""

    def resume(self) -> None:
        """Read on."""


class BodyBudget:
    """At most ``most`` bytes, and what had come of each body when its connection was stopped."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.buffered = self.working = 0  # body bytes held: all, and those of requests being answered
        self.receiving: set[Reader] = set()  # in the middle of a body, and reading
        self.paused: dict[Reader, None] = {}  # the same, stopped: oldest first

    def must_pause(self, connection: Reader) -> bool:
        """Note that a connection is in the middle of a body; true if it is to stop reading for now.

        One may always go on unless requests being answered fill the budget by themselves: else bodies that
        are each half here could wait for one another.
        """
        self.receiving.add(connection)
        alone = len(self.receiving) == 1 and self.working < self.most
        if self.buffered < self.most or alone:
            return False
        self.receiving.discard(connection)
        self.paused[connection] = None
        return True

    def settle(self, connection: Reader) -> None:
        """A connection's body is whole, answered or gone: others may read on."""
        self.receiving.discard(connection)
        self.paused.pop(connection, None)
        while self.paused and (self.buffered < self.most or not self.receiving):
            if self.buffered >= self.most and self.working >= self.most:
                return
            oldest = next(iter(self.paused))
            del self.paused[oldest]
            self.receiving.add(oldest)
            oldest.resume()
