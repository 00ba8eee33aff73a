"""Schedules reads: which connections may read from their sockets, so that memory use is bounded and fair.

There are three bounds:

- Bytes: a source may read while it holds fewer bytes than are still free (a dynamic threshold, Choudhury and
  Hahne 1998, with factor one). One greedy source fills at most half the capacity; k greedy sources share
  k / (k + 1) of it equally, so some always remains for a new source.
- Chunks: each source has a window of unanswered chunks, which grows by one per window delivered and halves
  after a refusal or a late delivery (additive increase, multiplicative decrease, Chiu and Jain 1989).
- Time: after a refusal a source is not read from until the requested wait is over.

A resumed connection reserves one read slice, so that several resumed together do not count on the same free
bytes. A connection that never waited reserves nothing, so the capacity may be exceeded by one slice per
connection. To avoid a deadlock of partial chunks that wait for each other's bytes, the oldest partial chunk
may always be read on, unless chunks in processing alone fill the capacity or its source is throttled by its
window or a wait. No I/O, no clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import islice

INITIAL_WINDOW_CHUNKS = 4.0
MAX_WINDOW_CHUNKS = 64.0
WINDOW_DECREASE_FACTOR = 0.5
# Refusals within about a round trip have one cause, so they shrink the window once.
MIN_DECREASE_INTERVAL_MS = 200.0
MAX_CHECKS_PER_EVENT = 16  # bounds the work per event
RECHECK_MS = 20.0  # until the remaining waiting connections are checked
READ_SLICE_BYTES = 16_384  # the most that one read returns
RESERVATION_TIMEOUT_MS = 200.0  # an unused reservation expires after this


@dataclass(slots=True)
class SourceState:
    """The state of one source, over all its connections."""

    held_bytes: int = 0  # of partial and unanswered chunks
    unanswered_chunks: int = 0
    window: float = INITIAL_WINDOW_CHUNKS
    paused_until: float = 0.0  # ms
    decreased_at: float = -1e18  # ms; when the window was last decreased
    connections: int = 0


@dataclass(slots=True)
class ReaderState:
    """The state of one connection."""

    source: str
    partial_bytes: int = 0
    processing_bytes: int = 0
    waiting: bool = False
    closed: bool = False


@dataclass(slots=True)
class ReadScheduler:
    """The state of all sources and connections. ``capacity`` is in bytes, times in ms."""

    capacity: int
    sources: dict[str, SourceState] = field(default_factory=dict)
    readers: dict[int, ReaderState] = field(default_factory=dict)
    held_bytes: int = 0
    processing_bytes: int = 0
    partial_readers: OrderedDict[int, None] = field(default_factory=OrderedDict)  # ids, oldest first
    queue: OrderedDict[int, None] = field(default_factory=OrderedDict)  # ids that wait for bytes or window
    paused: list[tuple[float, int]] = field(default_factory=list)  # (ms, id): waits after a refusal
    reservations: OrderedDict[int, float] = field(default_factory=OrderedDict)  # id: ms; one slice each
    read_slice: int = READ_SLICE_BYTES
    last_id: int = 0

    # ---- events

    def add_reader(self, source: str) -> int:
        """Register a connection of a source; returns its reader id."""
        self.last_id += 1
        self.readers[self.last_id] = ReaderState(source)
        self.sources.setdefault(source, SourceState()).connections += 1
        return self.last_id

    def remove_reader(self, reader_id: int) -> None:
        """Unregister a closed connection. Its unanswered chunks still count."""
        reader = self.readers.get(reader_id)
        if reader is None:
            return
        self._adjust_bytes(reader, -reader.partial_bytes, 0)
        self.partial_readers.pop(reader_id, None)
        self.queue.pop(reader_id, None)
        self.reservations.pop(reader_id, None)
        reader.waiting, reader.closed = False, True
        self.sources[reader.source].connections -= 1
        if not reader.processing_bytes:
            del self.readers[reader_id]

    def update_partial(self, reader_id: int, partial_bytes: int) -> None:
        """Set the bytes buffered of an incomplete chunk; 0 between chunks."""
        reader = self.readers[reader_id]
        self.reservations.pop(reader_id, None)
        self._adjust_bytes(reader, partial_bytes - reader.partial_bytes, 0)
        if partial_bytes:
            self.partial_readers.setdefault(reader_id)
        else:
            self.partial_readers.pop(reader_id, None)

    def chunk_received(self, reader_id: int, size: int) -> None:
        """Count a complete chunk of ``size`` bytes as in processing."""
        reader = self.readers[reader_id]
        self._adjust_bytes(reader, 0, size)
        self.sources[reader.source].unanswered_chunks += 1

    def chunk_grew(self, reader_id: int, more: int) -> None:
        """Add bytes to a chunk in processing, whose decoded form is larger."""
        self._adjust_bytes(self.readers[reader_id], 0, more)

    def chunk_finished(self, reader_id: int, size: int) -> None:
        """Release an answered chunk; ``size`` includes what :meth:`chunk_grew` added."""
        reader = self.readers[reader_id]
        self._adjust_bytes(reader, 0, -size)
        self.sources[reader.source].unanswered_chunks -= 1
        if reader.closed and not reader.processing_bytes:
            del self.readers[reader_id]

    def delivered(self, name: str, age: float, aim: float, now: float) -> None:
        """Adjust the window after a delivery: ``age`` is its duration, ``aim`` its class's target (ms).

        A late delivery shows overload before refusals do, so it decreases the window, but not again within
        ``age``.
        """
        source = self.sources.get(name)
        if source is None:
            return
        if age <= aim:
            source.window = min(MAX_WINDOW_CHUNKS, source.window + 1.0 / source.window)
        elif now - source.decreased_at >= max(MIN_DECREASE_INTERVAL_MS, age):
            self._decrease_window(source, now)

    def refused(self, name: str, wait: float, now: float) -> None:
        """Pause a source for ``wait`` (ms) after a refusal, and decrease its window."""
        source = self.sources.get(name)
        if source is None:
            return
        source.paused_until = max(source.paused_until, now + wait)
        if now - source.decreased_at >= MIN_DECREASE_INTERVAL_MS:
            self._decrease_window(source, now)

    @staticmethod
    def _decrease_window(source: SourceState, now: float) -> None:
        source.decreased_at = now
        source.window = max(1.0, source.window * WINDOW_DECREASE_FACTOR)

    # ---- decisions

    def may_read(self, reader_id: int, now: float) -> bool:
        """Whether a connection may read now. If not, it waits until :meth:`next` returns its id."""
        reader = self.readers[reader_id]
        if self._can_read(reader_id, reader, now):
            return True
        if not reader.waiting:
            reader.waiting = True
            self._enqueue(reader_id, reader, now)
        return False

    def next(self, now: float) -> tuple[list[int], float | None]:
        """Return the ids that may resume, and when to call again (ms); None: only after the next event."""
        resumed: list[int] = []
        while self.reservations and next(iter(self.reservations.values())) <= now - RESERVATION_TIMEOUT_MS:
            self.reservations.popitem(last=False)
        oldest = self._oldest_unthrottled(now)
        if oldest is not None:
            reader = self.readers[oldest]
            if reader.waiting and self._can_read(oldest, reader, now):
                self._grant(oldest, resumed, now)
        while self.paused and self.paused[0][0] <= now:
            _, reader_id = heappop(self.paused)
            if reader_id in self.readers and self.readers[reader_id].waiting:
                self.queue.setdefault(reader_id)
        checked = 0
        for _ in range(len(self.queue)):
            if checked >= MAX_CHECKS_PER_EVENT:
                return resumed, now + RECHECK_MS
            reader_id, _ = self.queue.popitem(last=False)
            reader = self.readers[reader_id]
            if self._can_read(reader_id, reader, now):
                self._grant(reader_id, resumed, now)
            else:
                checked += 1
                self._enqueue(reader_id, reader, now)
        return resumed, max(now, self.paused[0][0]) if self.paused else None

    def _can_read(self, reader_id: int, reader: ReaderState, now: float) -> bool:
        source = self.sources[reader.source]
        # Applies within a chunk too: a source that sends without a gap is within one after every read.
        if self._is_throttled(source, now):
            return False
        if (
            reader.partial_bytes
            and self.processing_bytes < self.capacity
            and self._oldest_unthrottled(now) == reader_id
        ):
            return True
        return source.held_bytes < self.capacity - self.held_bytes - len(self.reservations) * self.read_slice

    @staticmethod
    def _is_throttled(source: SourceState, now: float) -> bool:
        """Whether a full window or a wait stops a source, however many bytes are free."""
        return now < source.paused_until or source.unanswered_chunks >= int(source.window)

    def _oldest_unthrottled(self, now: float) -> int | None:
        """Return the reader of the oldest partial chunk that only free bytes could stop, or None."""
        for reader_id in islice(self.partial_readers, MAX_CHECKS_PER_EVENT):
            if not self._is_throttled(self.sources[self.readers[reader_id].source], now):
                return reader_id
        return None

    def _enqueue(self, reader_id: int, reader: ReaderState, now: float) -> None:
        paused_until = self.sources[reader.source].paused_until
        if now < paused_until:
            self.queue.pop(reader_id, None)
            heappush(self.paused, (paused_until, reader_id))
        else:
            self.queue[reader_id] = None

    def _grant(self, reader_id: int, resumed: list[int], now: float) -> None:
        self.readers[reader_id].waiting = False
        self.reservations[reader_id] = now
        self.queue.pop(reader_id, None)
        resumed.append(reader_id)

    # ---- accounting

    def _adjust_bytes(self, reader: ReaderState, partial_bytes: int, processing_bytes: int) -> None:
        reader.partial_bytes += partial_bytes
        reader.processing_bytes += processing_bytes
        self.sources[reader.source].held_bytes += partial_bytes + processing_bytes
        self.held_bytes += partial_bytes + processing_bytes
        self.processing_bytes += processing_bytes
