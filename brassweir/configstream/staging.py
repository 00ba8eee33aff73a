"""Pieces of versions on their way, bounded in number and bytes. Pure.

What is dropped rests on places of the log alone, so all copies drop alike: first what was not added to for
long, then what was added to least recently.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from brassweir.configstream.catalog import Catalog
from brassweir.configstream.commands import MAX_CHUNK_BYTES, MAX_CHUNKS, Stage
from brassweir.configstream.preparation import Preparation
from brassweir.configstream.validation import Confirmation

MAX_TRANSFERS = 4
MAX_STAGED_BYTES = 6 << 20  # bytes of all pieces: above the largest single transfer, MOST_PARTS of MOST_PIECE
CHUNKS_PREPARED_PER_STAGE = (
    2  # pieces prepared at each that comes: more than one, as those of a snapshot wait
)
STALE_AFTER_ENTRIES = 20_000  # places of the log after which a transfer that was not added to is dropped

assert MAX_STAGED_BYTES >= MAX_CHUNKS * MAX_CHUNK_BYTES


class TransferSnapshot(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A transfer in a snapshot; its pieces by their numbers."""

    name: str
    last_index: int
    chunks: tuple[tuple[int, bytes], ...]


@dataclass
class Transfer:
    """The pieces of one version, and the place of the log that touched them last."""

    last_index: int
    chunks: dict[int, bytes]
    preparation: Preparation | None = None  # no part of what is agreed

    @property
    def size(self) -> int:
        """Bytes."""
        return sum(map(len, self.chunks.values()))


class Staging:
    """All transfers that are under way."""

    def __init__(self, kept: Iterable[TransferSnapshot] = ()) -> None:
        self.transfers = {one.name: Transfer(one.last_index, dict(one.chunks)) for one in kept}
        self.size = sum(one.size for one in self.transfers.values())

    def add(self, index: int, given: Stage) -> str:
        """Keep a piece; returns why not, or nothing. One that is there already is kept once."""
        self._drop_stale(index)
        transfer = self.transfers.get(given.transfer)
        if transfer is None:
            transfer = self.transfers[given.transfer] = Transfer(index, {})
        transfer.last_index = index
        known = transfer.chunks.get(given.part)
        if known is not None:
            return "" if known == given.body else f"another piece {given.part} of this transfer is there"
        transfer.chunks[given.part] = given.body
        self.size += len(given.body)
        self._evict_oldest()
        return ""

    def missing(self, name: str, parts: int) -> list[int]:
        """The first few pieces that are not there."""
        transfer = self.transfers.get(name)
        pieces = transfer.chunks if transfer is not None else {}
        return [part for part in range(parts) if part not in pieces][:5]

    def join(self, name: str, parts: int) -> bytes:
        """All pieces of a transfer of which none is missing."""
        pieces = self.transfers[name].chunks
        return b"".join(pieces[part] for part in range(parts))

    def prepare(self, name: str, begin: Callable[[], Preparation | None]) -> None:
        """Put a few of its pieces into what the transfer leads to; it may have been dropped at once."""
        transfer = self.transfers.get(name)
        if transfer is None:
            return
        if transfer.preparation is None:
            transfer.preparation = begin()
        if (preparation := transfer.preparation) is not None:
            waiting = [part for part in transfer.chunks if part not in preparation.spans]
            for part in waiting[-CHUNKS_PREPARED_PER_STAGE:]:
                preparation.add(part, transfer.chunks[part])

    def finish(self, name: str, catalog: Catalog, parts: int, confirmation: Confirmation) -> Catalog | None:
        """What a transfer was prepared to lead to; None if it was not. Raises CheckError."""
        transfer = self.transfers.get(name)
        if transfer is None or transfer.preparation is None:
            return None
        return transfer.preparation.finish(catalog, parts, confirmation)

    def drop(self, name: str) -> None:
        """Forget a transfer, if it is known."""
        transfer = self.transfers.pop(name, None)
        if transfer is not None:
            self.size -= transfer.size

    def clear(self) -> None:
        """Forget all: a new version came, and all of these were made from an older one."""
        self.transfers.clear()
        self.size = 0

    def snapshot(self) -> tuple[TransferSnapshot, ...]:
        """All of it in its one order."""
        return tuple(
            TransferSnapshot(name, one.last_index, tuple(sorted(one.chunks.items())))
            for name, one in sorted(self.transfers.items())
        )

    def digest(self) -> str:
        """What copies compare."""
        return hashlib.sha256(msgspec.msgpack.encode(self.snapshot())).hexdigest()

    def _drop_stale(self, index: int) -> None:
        for name in [
            name for name, one in self.transfers.items() if one.last_index + STALE_AFTER_ENTRIES < index
        ]:
            self.drop(name)

    def _evict_oldest(self) -> None:
        """Drop what was touched least recently; the one just touched is the last, and fits by itself."""
        while len(self.transfers) > MAX_TRANSFERS or self.size > MAX_STAGED_BYTES:
            self.drop(min(self.transfers, key=lambda name: self.transfers[name].last_index))
