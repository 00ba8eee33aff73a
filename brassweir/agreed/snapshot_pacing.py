"""Paces snapshot chunks by a byte budget per interval, over all receivers. Pure.

Entries that are fed are charged to the same budget but never delayed by it: chunks get what is left, and in
any case one chunk per interval. Receivers are served in turn.
"""

from __future__ import annotations

from dataclasses import dataclass

from brassweir.agreed import timing


@dataclass(frozen=True, slots=True)
class QueuedChunk:
    """A chunk of a snapshot that a copy requested."""

    name: str
    index: int
    offset: int


class SnapshotPacer:
    """Chunks requested and not sent, and the bytes spent in this interval."""

    def __init__(self) -> None:
        self.queued: dict[str, list[QueuedChunk]] = {}
        self._interval_start = -1e18
        self._spent_bytes = 0  # bytes
        self._chunk_sent = False  # a piece

    def enqueue(self, piece: QueuedChunk) -> None:
        """Queue a chunk. Ignores duplicates, and chunks beyond the limits per copy and of copies."""
        if piece.name not in self.queued and len(self.queued) >= timing.MAX_FETCHING_COPIES:
            return
        waiting = self.queued.setdefault(piece.name, [])
        if len(waiting) < timing.CHUNK_WINDOW and piece not in waiting:
            waiting.append(piece)

    def charge(self, now: float, size: int) -> None:
        """Charge bytes that were sent without delay."""
        self._start_interval(now)
        self._spent_bytes += size

    def next(self, now: float) -> QueuedChunk | None:
        """The next chunk that may be sent now, or None."""
        self._start_interval(now)
        if not self.queued or self._chunk_sent and self._spent_bytes >= timing.CHUNK_BUDGET_BYTES:
            return None
        name = next(iter(self.queued))
        waiting = self.queued.pop(name)
        piece = waiting.pop(0)
        if waiting:
            self.queued[name] = waiting  # to the end of the round
        self._chunk_sent = True
        self._spent_bytes += timing.CHUNK_BYTES
        return piece

    def next_time(self) -> float:
        """When queued chunks may be sent."""
        return self._interval_start + timing.CHUNK_INTERVAL_MS if self.queued else float("inf")

    def _start_interval(self, now: float) -> None:
        """Start an interval if the last one is over."""
        if now - self._interval_start >= timing.CHUNK_INTERVAL_MS:
            self._interval_start, self._spent_bytes, self._chunk_sent = now, 0, False
