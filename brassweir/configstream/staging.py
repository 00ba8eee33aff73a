"""Staged transfers, bounded in number and bytes. Pure.

Eviction depends on log indexes alone, so all copies evict the same transfers: first stale ones, then the one
least recently added to.
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
MAX_STAGED_BYTES = 6 << 20  # of all chunks; the largest single transfer fits
CHUNKS_PREPARED_PER_STAGE = 2  # more than one, to catch up with chunks from a snapshot
STALE_AFTER_ENTRIES = 20_000  # log entries without an addition after which a transfer is dropped

assert MAX_STAGED_BYTES >= MAX_CHUNKS * MAX_CHUNK_BYTES


class TransferSnapshot(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A transfer as a snapshot stores it, its chunks with their numbers."""

    name: str
    last_index: int
    chunks: tuple[tuple[int, bytes], ...]


@dataclass
class Transfer:
    """The staged chunks of one version, and the log index of the last Stage command."""

    last_index: int
    chunks: dict[int, bytes]
    preparation: Preparation | None = None  # not replicated state

    @property
    def size(self) -> int:
        """Bytes of all its chunks."""
        return sum(map(len, self.chunks.values()))


class Staging:
    """All staged transfers. ``size`` is the bytes of their chunks."""

    def __init__(self, stored: Iterable[TransferSnapshot] = ()) -> None:
        self.transfers = {
            transfer.name: Transfer(transfer.last_index, dict(transfer.chunks)) for transfer in stored
        }
        self.size = sum(transfer.size for transfer in self.transfers.values())

    def add(self, index: int, command: Stage) -> str:
        """Store a chunk. Return why it was rejected, or "" if it was stored or is there already."""
        self._drop_stale(index)
        transfer = self.transfers.get(command.transfer)
        if transfer is None:
            transfer = self.transfers[command.transfer] = Transfer(index, {})
        transfer.last_index = index
        staged = transfer.chunks.get(command.part)
        if staged is not None:
            return "" if staged == command.body else f"another piece {command.part} of this transfer is there"
        transfer.chunks[command.part] = command.body
        self.size += len(command.body)
        self._evict_oldest()
        return ""

    def missing(self, name: str, parts: int) -> list[int]:
        """Return the numbers of up to five missing chunks."""
        transfer = self.transfers.get(name)
        chunks = transfer.chunks if transfer is not None else {}
        return [part for part in range(parts) if part not in chunks][:5]

    def join(self, name: str, parts: int) -> bytes:
        """Concatenate the chunks of a transfer of which none is missing."""
        chunks = self.transfers[name].chunks
        return b"".join(chunks[part] for part in range(parts))

    def prepare(self, name: str, begin: Callable[[], Preparation | None]) -> None:
        """Apply a few of a transfer's chunks to its preparation, if the transfer is still staged."""
        transfer = self.transfers.get(name)
        if transfer is None:
            return
        if transfer.preparation is None:
            transfer.preparation = begin()
        if (preparation := transfer.preparation) is not None:
            pending = [part for part in transfer.chunks if part not in preparation.spans]
            for part in pending[-CHUNKS_PREPARED_PER_STAGE:]:
                preparation.add(part, transfer.chunks[part])

    def finish(self, name: str, catalog: Catalog, parts: int, confirmation: Confirmation) -> Catalog | None:
        """Return the catalog that a transfer was prepared for; None if it was not. Raises InvalidChange."""
        transfer = self.transfers.get(name)
        if transfer is None or transfer.preparation is None:
            return None
        return transfer.preparation.finish(catalog, parts, confirmation)

    def drop(self, name: str) -> None:
        """Drop a transfer, if it is staged."""
        transfer = self.transfers.pop(name, None)
        if transfer is not None:
            self.size -= transfer.size

    def clear(self) -> None:
        """Drop all transfers, as they were made from a version that is no longer current."""
        self.transfers.clear()
        self.size = 0

    def snapshot(self) -> tuple[TransferSnapshot, ...]:
        """Return all transfers as a snapshot stores them, sorted by name and number."""
        return tuple(
            TransferSnapshot(name, transfer.last_index, tuple(sorted(transfer.chunks.items())))
            for name, transfer in sorted(self.transfers.items())
        )

    def digest(self) -> str:
        """Digest of the staged transfers, for comparing copies."""
        return hashlib.sha256(msgspec.msgpack.encode(self.snapshot())).hexdigest()

    def _drop_stale(self, index: int) -> None:
        for name in [
            name
            for name, transfer in self.transfers.items()
            if transfer.last_index + STALE_AFTER_ENTRIES < index
        ]:
            self.drop(name)

    def _evict_oldest(self) -> None:
        """Evict the least recently added to, until the limits hold; the newest fits by itself."""
        while len(self.transfers) > MAX_TRANSFERS or self.size > MAX_STAGED_BYTES:
            self.drop(min(self.transfers, key=lambda name: self.transfers[name].last_index))
