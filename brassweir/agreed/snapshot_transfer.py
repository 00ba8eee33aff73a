"""Snapshots in chunks: a receiver requests them, a feeder sends them within a byte budget. Pure.

Snapshots at the same index have the same bytes on all copies, so a transfer can continue from another feeder
that offers the same one.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import google_crc32c
import msgspec

from brassweir.agreed import timing
from brassweir.agreed.learner_feed import LearnerFeed
from brassweir.agreed.messages import ChunkRequest, SnapshotChunk
from brassweir.agreed.records import Snapshot
from brassweir.agreed.snapshot_pacing import QueuedChunk


@dataclass
class SnapshotFetch:
    """A snapshot that is being received. Times are monotonic ms."""

    sender: str
    index: int
    size: int
    check_at: float  # when to look for overdue chunks
    progressed_at: float  # when the last chunk came
    chunks: dict[int, bytes] = field(default_factory=dict)  # by offset
    requested: dict[int, float] = field(default_factory=dict)  # when, for offsets in flight
    next_offset: int = 0  # first offset never requested
    response_ms: float = 0.0  # exponential moving average of a chunk's response time

    def switch_sender(self, sender: str) -> None:
        """Continue with the same snapshot from another feeder."""
        self.sender, self.next_offset, self.response_ms = sender, 0, 0.0
        self.requested.clear()

    def take_due(self, now: float) -> list[int]:
        """Offsets to request now: those that are overdue, then new ones up to the window."""
        timeout_ms = max(timing.CHUNK_RETRY_MS, 3.0 * self.response_ms)
        due = [offset for offset, requested_at in self.requested.items() if now - requested_at >= timeout_ms]
        while self.next_offset < self.size and len(self.requested) < timing.CHUNK_WINDOW:
            if self.next_offset not in self.chunks:
                due.append(self.next_offset)
                self.requested[self.next_offset] = now
            self.next_offset += timing.CHUNK_BYTES
        for offset in due:
            self.requested[offset] = now
        return due

    def add_chunk(self, message: SnapshotChunk, now: float) -> bool:
        """Store a chunk. Returns whether it was the last one."""
        requested_at = self.requested.pop(message.offset, None)
        if requested_at is not None:
            gain = 0.25 if self.chunks else 1.0
            self.response_ms += ((now - requested_at) - self.response_ms) * gain
        self.chunks[message.offset] = message.data
        self.progressed_at = now
        return len(self.chunks) * timing.CHUNK_BYTES >= self.size


class SnapshotTransfer(LearnerFeed):
    """Sends and receives snapshots."""

    fetch: SnapshotFetch | None = None

    # The feeder's side

    def on_chunk_request(self, sender: str, message: ChunkRequest) -> None:
        """Queue a chunk. No answer if the snapshot is gone: the next pull is offered a newer one."""
        if message.index in self.outgoing_snapshots:
            self.pacing.enqueue(QueuedChunk(sender, message.index, message.offset))

    def send_chunks(self) -> None:
        """Send queued chunks as far as the budget goes, and drop snapshots that nobody requests."""
        while (chunk := self.pacing.next(self.now)) is not None:
            outgoing = self.outgoing_snapshots.get(chunk.index)
            if outgoing is not None:
                outgoing.used_at = self.now
                data = outgoing.data[chunk.offset : chunk.offset + timing.CHUNK_BYTES]
                self.send(chunk.name, SnapshotChunk(chunk.index, chunk.offset, len(outgoing.data), data))
        if any(
            self.now - outgoing.used_at > timing.OUTGOING_SNAPSHOT_TTL_MS
            for outgoing in self.outgoing_snapshots.values()
        ):
            self.outgoing_snapshots = {
                index: outgoing
                for index, outgoing in self.outgoing_snapshots.items()
                if self.now - outgoing.used_at <= timing.OUTGOING_SNAPSHOT_TTL_MS
            }

    # The receiver's side

    def fetch_from(self, sender: str, index: int, size: int) -> None:
        """Fetch the offered snapshot, unless another fetch makes progress."""
        fetch = self.fetch
        if fetch is not None and (fetch.index, fetch.size) == (index, size):
            if fetch.sender != sender:
                fetch.switch_sender(sender)
        elif fetch is None or self.now - fetch.progressed_at > timing.FETCH_STALLED_MS:
            self.fetch = SnapshotFetch(sender, index, size, self.now, self.now)
        self.tick_fetch()

    def tick_fetch(self) -> None:
        """Request chunks when due."""
        fetch = self.fetch
        if fetch is None or self.now < fetch.check_at:
            return
        fetch.check_at = self.now + timing.CHUNK_CHECK_MS
        self.request_chunks(fetch)

    def request_chunks(self, fetch: SnapshotFetch) -> None:
        """Request overdue and new chunks."""
        for offset in fetch.take_due(self.now):
            self.send(fetch.sender, ChunkRequest(fetch.index, offset))

    def accept_chunk(self, sender: str, message: SnapshotChunk) -> bool:
        """Store a received chunk. Returns whether it belongs to the snapshot that is being fetched."""
        fetch = self.fetch
        if fetch is None or (message.index, message.size) != (fetch.index, fetch.size):
            return False
        if message.offset % timing.CHUNK_BYTES or len(message.data) != min(
            timing.CHUNK_BYTES, fetch.size - message.offset
        ):
            return False
        if not fetch.add_chunk(message, self.now):
            self.request_chunks(fetch)
            return True
        self.fetch = None
        self.unpack_snapshot(b"".join(fetch.chunks[offset] for offset in sorted(fetch.chunks)))
        return True

    def unpack_snapshot(self, data: bytes) -> None:
        """Verify the checksum of the received bytes and install the snapshot."""
        if google_crc32c.value(data[:-4]).to_bytes(4, "little") != data[-4:]:
            self.count_dropped("snapshot damaged")
            return
        try:
            self.install_snapshot(msgspec.msgpack.decode(data[:-4], type=Snapshot))
        except msgspec.MsgspecError:
            self.count_dropped("snapshot unreadable")
