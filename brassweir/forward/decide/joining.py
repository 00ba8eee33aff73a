"""Which attempts share a call: those to one endpoint that the module released together, up to the kind's
batch.

The module says what may go and how many of a kind may go as one; what it releases in one turn for one
endpoint is written on one connection, each chunk under its own id, and each keeps its own ack and its own
ending.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Joining:
    """Attempts waiting for the end of the turn, by endpoint."""

    batch: int
    waiting: dict[str, list[int]] = field(default_factory=dict)

    def add(self, endpoint: str, attempt: int) -> list[int] | None:
        """Take one; a call that is full, if this fills it."""
        line = self.waiting.setdefault(endpoint, [])
        line.append(attempt)
        return self.waiting.pop(endpoint) if len(line) >= self.batch else None

    def rest(self) -> list[tuple[str, list[int]]]:
        """The turn is over: every call that was not filled."""
        left, self.waiting = self.waiting, {}
        return list(left.items())
