"""Snapshots in pieces: a receiver asks for them, a feeder sends them at its pace. Pure.

Equal places of snapshots mean equal bytes on all copies, so a fetch that was begun at one feeder goes on at
another one that offers the same.
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
    """A snapshot on its way here."""

    sender: str
    index: int
    size: int
    check_at: float  # when to look for pieces that did not come
    progressed_at: float  # when the last piece came
    chunks: dict[int, bytes] = field(default_factory=dict)
    requested: dict[int, float] = field(default_factory=dict)
    next_offset: int = 0  # the first piece never asked for
    response_ms: float = 0.0  # ms a piece takes to come, smoothed

    def switch_sender(self, sender: str) -> None:
        """Go on at another feeder with the same snapshot."""
        self.sender, self.next_offset, self.response_ms = sender, 0, 0.0
        self.requested.clear()

    def take_due(self, now: float) -> list[int]:
        """Pieces to ask for now: those that did not come in time, then the next ones."""
        patience = max(timing.CHUNK_RETRY_MS, 3.0 * self.response_ms)
        due = [at for at, asked in self.requested.items() if now - asked >= patience]
        while self.next_offset < self.size and len(self.requested) < timing.CHUNK_WINDOW:
            if self.next_offset not in self.chunks:
                due.append(self.next_offset)
                self.requested[self.next_offset] = now
            self.next_offset += timing.CHUNK_BYTES
        for at in due:
            self.requested[at] = now
        return due

    def add_chunk(self, message: SnapshotChunk, now: float) -> bool:
        """A piece. True if it was the last one."""
        asked = self.requested.pop(message.offset, None)
        if asked is not None:
            gain = 0.25 if self.chunks else 1.0
            self.response_ms += ((now - asked) - self.response_ms) * gain
        self.chunks[message.offset] = message.data
        self.progressed_at = now
        return len(self.chunks) * timing.CHUNK_BYTES >= self.size


class SnapshotTransfer(LearnerFeed):
    """Sending and receiving snapshots."""

    fetch: SnapshotFetch | None = None

    # The feeder's side

    def on_chunk_request(self, sender: str, message: ChunkRequest) -> None:
        """Send a piece when its turn comes, or tell of a newer snapshot by silence."""
        if message.index in self.outgoing_snapshots:
            self.pacing.enqueue(QueuedChunk(sender, message.index, message.offset))

    def send_chunks(self) -> None:
        """Send pieces as far as the budget goes, and forget snapshots that nobody asks for."""
        while (piece := self.pacing.next(self.now)) is not None:
            sending = self.outgoing_snapshots.get(piece.index)
            if sending is not None:
                sending.used_at = self.now
                data = sending.data[piece.offset : piece.offset + timing.CHUNK_BYTES]
                self.send(piece.name, SnapshotChunk(piece.index, piece.offset, len(sending.data), data))
        if any(
            self.now - sending.used_at > timing.OUTGOING_SNAPSHOT_TTL_MS
            for sending in self.outgoing_snapshots.values()
        ):
            self.outgoing_snapshots = {
                index: sending
                for index, sending in self.outgoing_snapshots.items()
                if self.now - sending.used_at <= timing.OUTGOING_SNAPSHOT_TTL_MS
            }

    # The receiver's side

    def fetch_from(self, sender: str, index: int, size: int) -> None:
        """Fetch what is offered, unless another fetch gets on."""
        f = self.fetch
        if f is not None and (f.index, f.size) == (index, size):
            if f.sender != sender:
                f.switch_sender(sender)
        elif f is None or self.now - f.progressed_at > timing.FETCH_STALLED_MS:
            self.fetch = SnapshotFetch(sender, index, size, self.now, self.now)
        self.tick_fetch()

    def tick_fetch(self) -> None:
        """Ask for pieces that are missing."""
        f = self.fetch
        if f is None or self.now < f.check_at:
            return
        f.check_at = self.now + timing.CHUNK_CHECK_MS
        self.request_chunks(f)

    def request_chunks(self, f: SnapshotFetch) -> None:
        """Ask for what is due."""
        for at in f.take_due(self.now):
            self.send(f.sender, ChunkRequest(f.index, at))

    def accept_chunk(self, sender: str, message: SnapshotChunk) -> bool:
        """A piece. True if it belongs to what is fetched."""
        f = self.fetch
        if f is None or (message.index, message.size) != (f.index, f.size):
            return False
        if message.offset % timing.CHUNK_BYTES or len(message.data) != min(
            timing.CHUNK_BYTES, f.size - message.offset
        ):
            return False
        if not f.add_chunk(message, self.now):
            self.request_chunks(f)
            return True
        self.fetch = None
        self.unpack_snapshot(b"".join(f.chunks[at] for at in sorted(f.chunks)))
        return True

    def unpack_snapshot(self, data: bytes) -> None:
        """All pieces together: the snapshot and its checksum."""
        if google_crc32c.value(data[:-4]).to_bytes(4, "little") != data[-4:]:
            self.count_dropped("snapshot damaged")
            return
        try:
            self.install_snapshot(msgspec.msgpack.decode(data[:-4], type=Snapshot))
        except msgspec.MsgspecError:
            self.count_dropped("snapshot unreadable")
