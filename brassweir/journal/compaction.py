"""Replaces a journal's segments by a snapshot while commits go on, without holding the event loop."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Protocol

from brassweir.journal import compact
from brassweir.journal.group import JournalStalled
from brassweir.journal.message import MessageState
from brassweir.journal.records import Record
from brassweir.journal.writer import Writer

# What is collected and written in one turn of the event loop, within about a millisecond.
SLICE_MESSAGES = 64
SLICE_BYTES = 64 * 1024


class IoRunner(Protocol):
    """Runs the journal's I/O, one call at a time and in order, and reports the result on the event loop."""

    def run(
        self,
        work: Callable[[], object],
        done: Callable[[object], None],
        failed: Callable[[BaseException], None],
    ) -> None:
        """Run ``work``; then, on the event loop, ``done`` with the result or ``failed`` with the error."""

    def later(self, callback: Callable[[], None]) -> None:
        """Run ``callback`` on the event loop after a pause, to retry a failed write."""


class Compaction:
    """The compactions of one journal, one at a time.

    A new segment is begun first, so that records written meanwhile follow the snapshot. The messages are then
    collected and written in slices, each in a turn of the event loop of its own. What changes about a message
    after its slice is in the new segment. ``failed`` is called with an error that ends the journal.
    """

    def __init__(
        self, writer: Writer, io: IoRunner, retention_ms: float, failed: Callable[[BaseException], None]
    ) -> None:
        self.writer, self.io, self.retention_ms, self.failed = writer, io, retention_ms, failed
        self.running = False
        self.count = 0  # completed
        self.retry_at: float | None = None  # after a compaction that could not be completed

    def start_if_due(self, now: float) -> None:
        """Start one if it is time for it; ``now`` is in wall ms."""
        if self.running or not self._check_due(now):
            return
        self.writer.state.forget_expired(now, self.retention_ms)
        if self.writer.should_compact():
            self.start(now)

    def _check_due(self, now: float) -> bool:
        if self.retry_at is None:
            return self.writer.room.check_due()
        stepped_back = now < self.retry_at - self.writer.limits.retry_compact_ms
        return now >= self.retry_at or stepped_back

    def start(self, now: float) -> None:
        """Start a compaction; none may be running."""
        self.running = True
        self.retry_at = None

        def segment_closed(number: object) -> None:
            assert isinstance(number, int)
            slices, expected = self._slices(now), self.writer.state.live_bytes
            self.io.run(
                lambda: self.writer.snapshots.begin(number, expected),
                lambda begun: go_on(begun, slices),
                self._fail,
            )

        def go_on(ok: object, slices: Iterator[list[Record]]) -> None:
            if not ok:
                self._give_up(now)
                return
            records = next(slices, None)
            if records is None:
                self.io.run(self.writer.snapshots.finish, finished, self._fail)
                return
            self.io.run(
                lambda: self.writer.snapshots.add(records), lambda added: go_on(added, slices), self._fail
            )

        def finished(ok: object) -> None:
            if ok:
                self.running = False
                self.count += 1
            else:
                self._give_up(now)

        def cannot_begin(error: BaseException) -> None:
            if isinstance(error, JournalStalled):
                self._give_up(now)
            else:
                self._fail(error)

        self.io.run(self.writer.close_segment, segment_closed, cannot_begin)

    def _give_up(self, now: float) -> None:
        self.running = False
        self.retry_at = now + self.writer.limits.retry_compact_ms

    def _fail(self, error: BaseException) -> None:
        self.running = False
        self.failed(error)

    def _slices(self, now: float) -> Iterator[list[Record]]:
        """Yield the records to keep, and forget the other messages.

        A message that is not committed yet is left out: it may still be refused, and if it is not, its
        records follow in the new segment.
        """
        state = self.writer.state
        records: list[Record] = []
        size = 0
        for position, ident in enumerate(list(state.by_id)):
            message = state.by_id.get(ident)
            if message is not None:
                size += self._collect(message, now, records)
            if size >= SLICE_BYTES or position % SLICE_MESSAGES == SLICE_MESSAGES - 1:
                yield records
                records, size = [], 0
        for position, endpoint in enumerate(state.history.endpoints()):
            records.extend(state.history.records(endpoint))
            if position % SLICE_MESSAGES == SLICE_MESSAGES - 1:
                yield records
                records = []
        records.extend(state.recoveries.records())
        yield records

    def _collect(self, message: MessageState, now: float, records: list[Record]) -> int:
        """Add what is to be kept of one message; return its bytes."""
        if message.id in self.writer.unwritten:
            return 0
        if not compact.is_live(message, now, self.retention_ms):
            self.writer.state.forget(message.id)
            return 0
        records.extend(message.kept_records())
        return message.kept_bytes
