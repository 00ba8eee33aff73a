"""How fast a feeder sends pieces of snapshots: a budget of bytes an interval, over all that ask. Pure.

Entries that are fed count against the same budget and are never held back by it: pieces get what is left, and
one piece an interval in any case. Those that ask are served in turn.
"""

from __future__ import annotations

from dataclasses import dataclass

from brassweir.agreed import timing


@dataclass(frozen=True, slots=True)
class QueuedChunk:
    """A piece of a snapshot that a copy asked for."""

    name: str
    index: int
    offset: int


class SnapshotPacer:
    """Pieces asked for and not sent, and what was sent in this interval."""

    def __init__(self) -> None:
        self.queued: dict[str, list[QueuedChunk]] = {}
        self._begun = -1e18
        self._spent = 0  # bytes
        self._sent = False  # a piece

    def enqueue(self, piece: QueuedChunk) -> None:
        """Take one on. One that waits already, or too many of one copy, are passed over."""
        if piece.name not in self.queued and len(self.queued) >= timing.MAX_FETCHING_COPIES:
            return
        waiting = self.queued.setdefault(piece.name, [])
        if len(waiting) < timing.CHUNK_WINDOW and piece not in waiting:
            waiting.append(piece)

    def charge(self, now: float, size: int) -> None:
        """Bytes were sent that are not held back."""
        self._begin(now)
        self._spent += size

    def next(self, now: float) -> QueuedChunk | None:
        """The next piece that may be sent now."""
        self._begin(now)
        if not self.queued or self._sent and self._spent >= timing.CHUNK_BUDGET_BYTES:
            return None
        name = next(iter(self.queued))
        waiting = self.queued.pop(name)
        piece = waiting.pop(0)
        if waiting:
            self.queued[name] = waiting  # now the last one in turn
        self._sent = True
        self._spent += timing.CHUNK_BYTES
        return piece

    def next_time(self) -> float:
        """When pieces that wait may go."""
        return self._begun + timing.CHUNK_INTERVAL_MS if self.queued else float("inf")

    def _begin(self, now: float) -> None:
        """Begin an interval if the last one is over."""
        if now - self._begun >= timing.CHUNK_INTERVAL_MS:
            self._begun, self._spent, self._sent = now, 0, False
