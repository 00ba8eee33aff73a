"""Batches attempts to the same endpoint into calls.

Attempts that are started in the same event loop iteration for one endpoint share a call, up to the kind's
batch size. Their chunks are written on one connection, each with its own id, ack and outcome.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class CallBatcher:
    """Attempts that wait for the end of the event loop iteration. ``batch`` is the maximum in a call."""

    batch: int
    waiting: dict[str, list[int]] = field(default_factory=dict)

    def add(self, endpoint: str, attempt: int) -> list[int] | None:
        """Add an attempt; returns the batch if it is now full, else None."""
        batch = self.waiting.setdefault(endpoint, [])
        batch.append(attempt)
        return self.waiting.pop(endpoint) if len(batch) >= self.batch else None

    def flush(self) -> list[tuple[str, list[int]]]:
        """Remove and return all batches that are not full, with their endpoints."""
        remaining, self.waiting = self.waiting, {}
        return list(remaining.items())
