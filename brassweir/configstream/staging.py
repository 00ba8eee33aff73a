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
from brassweir.configstream.checking import Confirmation
from brassweir.configstream.commands import MOST_PARTS, MOST_PIECE, Stage
from brassweir.configstream.preparation import Preparation

MOST_TRANSFERS = 4
MOST_STAGED = 6 << 20  # bytes of all pieces: above the largest single transfer, MOST_PARTS of MOST_PIECE
PREPARED = 2  # pieces prepared at each that comes: more than one, as those of a snapshot wait
STALE = 20_000  # places of the log after which a transfer that was not added to is dropped

assert MOST_STAGED >= MOST_PARTS * MOST_PIECE


class KeptTransfer(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A transfer in a snapshot; its pieces by their numbers."""

    name: str
    touched: int
    pieces: tuple[tuple[int, bytes], ...]


@dataclass
class Transfer:
    """The pieces of one version, and the place of the log that touched them last."""

    touched: int
    pieces: dict[int, bytes]
    preparation: Preparation | None = None  # no part of what is agreed

    @property
    def size(self) -> int:
        """Bytes."""
        return sum(map(len, self.pieces.values()))


class Staging:
    """All transfers that are under way."""

    def __init__(self, kept: Iterable[KeptTransfer] = ()) -> None:
        self.transfers = {one.name: Transfer(one.touched, dict(one.pieces)) for one in kept}
        self.size = sum(one.size for one in self.transfers.values())

    def add(self, index: int, given: Stage) -> str:
        """Keep a piece; returns why not, or nothing. One that is there already is kept once."""
        self._drop_stale(index)
        transfer = self.transfers.get(given.transfer)
        if transfer is None:
            transfer = self.transfers[given.transfer] = Transfer(index, {})
        transfer.touched = index
        known = transfer.pieces.get(given.part)
        if known is not None:
            return "" if known == given.body else f"another piece {given.part} of this transfer is there"
        transfer.pieces[given.part] = given.body
        self.size += len(given.body)
        self._make_room()
        return ""

    def missing(self, name: str, parts: int) -> list[int]:
        """The first few pieces that are not there."""
        transfer = self.transfers.get(name)
        pieces = transfer.pieces if transfer is not None else {}
        return [part for part in range(parts) if part not in pieces][:5]

    def join(self, name: str, parts: int) -> bytes:
        """All pieces of a transfer of which none is missing."""
        pieces = self.transfers[name].pieces
        return b"".join(pieces[part] for part in range(parts))

    def prepare(self, name: str, begin: Callable[[], Preparation | None]) -> None:
        """Put a few of its pieces into what the transfer leads to; it may have been dropped at once."""
        transfer = self.transfers.get(name)
        if transfer is None:
            return
        if transfer.preparation is None:
            transfer.preparation = begin()
        if (preparation := transfer.preparation) is not None:
            waiting = [part for part in transfer.pieces if part not in preparation.spans]
            for part in waiting[-PREPARED:]:
                preparation.add(part, transfer.pieces[part])

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

    def kept(self) -> tuple[KeptTransfer, ...]:
        """All of it in its one order."""
        return tuple(
            KeptTransfer(name, one.touched, tuple(sorted(one.pieces.items())))
            for name, one in sorted(self.transfers.items())
        )

    def digest(self) -> str:
        """What copies compare."""
        return hashlib.sha256(msgspec.msgpack.encode(self.kept())).hexdigest()

    def _drop_stale(self, index: int) -> None:
        for name in [name for name, one in self.transfers.items() if one.touched + STALE < index]:
            self.drop(name)

    def _make_room(self) -> None:
        """Drop what was touched least recently; the one just touched is the last, and fits by itself."""
        while len(self.transfers) > MOST_TRANSFERS or self.size > MOST_STAGED:
            self.drop(min(self.transfers, key=lambda name: self.transfers[name].touched))
