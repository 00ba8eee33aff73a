"""Snapshots in pieces: a receiver asks for them, a feeder sends them at its pace. Pure.

Equal places of snapshots mean equal bytes on all copies, so a fetch that was begun at one feeder goes on at
another one that offers the same.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import google_crc32c
import msgspec

from brassweir.agreed import timing
from brassweir.agreed.feeding import Feeding
from brassweir.agreed.messages import AskChunk, Chunk
from brassweir.agreed.pacing import Piece
from brassweir.agreed.records import Snapshot


@dataclass
class Fetch:
    """A snapshot on its way here."""

    sender: str
    index: int
    size: int
    at: float  # when to look for pieces that did not come
    moved: float  # when the last piece came
    parts: dict[int, bytes] = field(default_factory=dict)
    asked: dict[int, float] = field(default_factory=dict)  # pieces under way, and when they were asked for
    next: int = 0  # the first piece never asked for
    answer: float = 0.0  # ms a piece takes to come, smoothed

    def move(self, sender: str) -> None:
        """Go on at another feeder with the same snapshot."""
        self.sender, self.next, self.answer = sender, 0, 0.0
        self.asked.clear()

    def due(self, now: float) -> list[int]:
        """Pieces to ask for now: those that did not come in time, then the next ones."""
        patience = max(timing.CHUNK_AGAIN, 3.0 * self.answer)
        due = [at for at, asked in self.asked.items() if now - asked >= patience]
        while self.next < self.size and len(self.asked) < timing.CHUNKS:
            if self.next not in self.parts:
                due.append(self.next)
                self.asked[self.next] = now
            self.next += timing.CHUNK
        for at in due:
            self.asked[at] = now
        return due

    def take(self, message: Chunk, now: float) -> bool:
        """A piece. True if it was the last one."""
        asked = self.asked.pop(message.at, None)
        if asked is not None:
            gain = 0.25 if self.parts else 1.0
            self.answer += ((now - asked) - self.answer) * gain
        self.parts[message.at] = message.data
        self.moved = now
        return len(self.parts) * timing.CHUNK >= self.size


class Fetching(Feeding):
    """Sending and receiving snapshots."""

    fetch: Fetch | None = None

    # The feeder's side

    def on_ask_chunk(self, sender: str, message: AskChunk) -> None:
        """Send a piece when its turn comes, or tell of a newer snapshot by silence."""
        if message.index in self.sending:
            self.pacing.ask(Piece(sender, message.index, message.at))

    def tend_chunks(self) -> None:
        """Send pieces as far as the budget goes, and forget snapshots that nobody asks for."""
        while (piece := self.pacing.next(self.now)) is not None:
            sending = self.sending.get(piece.index)
            if sending is not None:
                sending.used = self.now
                data = sending.data[piece.at : piece.at + timing.CHUNK]
                self.post(piece.name, Chunk(piece.index, piece.at, len(sending.data), data))
        if any(self.now - sending.used > timing.SENDING_KEPT for sending in self.sending.values()):
            self.sending = {
                index: sending
                for index, sending in self.sending.items()
                if self.now - sending.used <= timing.SENDING_KEPT
            }

    # The receiver's side

    def fetch_from(self, sender: str, index: int, size: int) -> None:
        """Fetch what is offered, unless another fetch gets on."""
        f = self.fetch
        if f is not None and (f.index, f.size) == (index, size):
            if f.sender != sender:
                f.move(sender)
        elif f is None or self.now - f.moved > timing.FETCH_STILL:
            self.fetch = Fetch(sender, index, size, self.now, self.now)
        self.tend_fetch()

    def tend_fetch(self) -> None:
        """Ask for pieces that are missing."""
        f = self.fetch
        if f is None or self.now < f.at:
            return
        f.at = self.now + timing.CHUNK_LOOK
        self.ask_chunks(f)

    def ask_chunks(self, f: Fetch) -> None:
        """Ask for what is due."""
        for at in f.due(self.now):
            self.post(f.sender, AskChunk(f.index, at))

    def take_chunk(self, sender: str, message: Chunk) -> bool:
        """A piece. True if it belongs to what is fetched."""
        f = self.fetch
        if f is None or (message.index, message.size) != (f.index, f.size):
            return False
        if message.at % timing.CHUNK or len(message.data) != min(timing.CHUNK, f.size - message.at):
            return False
        if not f.take(message, self.now):
            self.ask_chunks(f)
            return True
        self.fetch = None
        self.unpack_snapshot(b"".join(f.parts[at] for at in sorted(f.parts)))
        return True

    def unpack_snapshot(self, data: bytes) -> None:
        """All pieces together: the snapshot and its checksum."""
        if google_crc32c.value(data[:-4]).to_bytes(4, "little") != data[-4:]:
            self.count("snapshot damaged")
            return
        try:
            self.install(msgspec.msgpack.decode(data[:-4], type=Snapshot))
        except msgspec.MsgspecError:
            self.count("snapshot unreadable")
