"""The difference between two versions, and its bounded bytes. Pure."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Annotated

import msgspec

from brassweir.configstream.buckets import BucketError, decompress_first
from brassweir.configstream.catalog import EMPTY, Catalog
from brassweir.configstream.entries import Entry, EntryError, decoding_error, printable

MAX_ENTRIES = 100_000  # changed, and as many removed: counted before any of them is read
MAX_STREAMS = 1_024  # packed deltas one after the other
MAX_UNPACKED_BYTES = (
    40 << 20
)  # bytes: above a whole catalog's (checking.MOST_LENGTH) and the names it removes
COMPRESSION_LEVEL = 6  # of 9: packed once, sent to every copy


class DeltaError(ValueError):
    """What is no delta: which field of it is wrong, and the endpoint if it is one's."""

    def __init__(self, why: str, field: str = "body", endpoint: str = "") -> None:
        super().__init__(why)
        self.field, self.endpoint = field, endpoint


_Bounded = msgspec.Meta(max_length=MAX_ENTRIES)


class Delta(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Entries that are new or other than before, and names of those that are there no more."""

    changed: Annotated[tuple[Entry, ...], _Bounded] = ()
    removed: Annotated[tuple[str, ...], _Bounded] = ()

    def __bool__(self) -> bool:
        return bool(self.changed or self.removed)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Delta)
_raw_decoder = msgspec.msgpack.Decoder(
    tuple[Annotated[list[msgspec.Raw], _Bounded], Annotated[list[str], _Bounded]]
)
_entry_decoder = msgspec.msgpack.Decoder(Entry)


def pack(delta: Delta) -> bytes:
    """A delta as commands carry it."""
    return zlib.compress(_encoder.encode(delta), COMPRESSION_LEVEL)


def unpack(data: bytes) -> Delta:
    """Read what ``pack`` made, also several of it one after the other.

    Raises DeltaError, or EntryError for an entry that cannot be read.
    """
    changed: list[Entry] = []
    removed: list[str] = []
    totals = DeltaTotals()
    while True:
        delta, data = unpack_first(data, totals)
        changed += delta.changed
        removed += delta.removed
        if not data:
            return Delta(tuple(changed), tuple(removed))


class DeltaTotals:
    """What packed deltas that belong together add up to: bounded."""

    def __init__(self) -> None:
        self.streams = self.length = self.changed = self.removed = 0

    def add(self, length: int, delta: Delta) -> None:
        """Count one more. Raises DeltaError."""
        self.streams += 1
        self.length += length
        self.changed += len(delta.changed)
        self.removed += len(delta.removed)
        if self.streams > MAX_STREAMS or max(self.changed, self.removed) > MAX_ENTRIES:
            raise DeltaError("more than a delta may hold")


def unpack_first(data: bytes, totals: DeltaTotals) -> tuple[Delta, bytes]:
    """Read the first delta, count it, and return what follows it. Raises as ``unpack``."""
    try:
        plain, rest = decompress_first(data, MAX_UNPACKED_BYTES - totals.length)
    except BucketError as error:
        raise DeltaError(str(error)) from None
    try:
        delta = _decoder.decode(plain)
    except (msgspec.DecodeError, RecursionError):
        raise _decoding_error(plain) from None
    totals.add(len(plain), delta)
    return delta, rest


def _decoding_error(plain: bytes) -> DeltaError | EntryError:
    """Why bytes are no delta, in words of our own: a library's may differ between copies."""
    try:
        changed, _ = _raw_decoder.decode(plain)
        for raw in changed:
            try:
                _entry_decoder.decode(raw)
            except msgspec.DecodeError:
                return decoding_error(bytes(raw))
    except (msgspec.DecodeError, RecursionError):
        pass
    return DeltaError("no delta")


def diff_entries(old: Catalog, new: Iterable[Entry]) -> Delta:
    """What makes ``new`` of ``old``. Raises DeltaError if a name stands twice in ``new``."""
    fresh: dict[str, Entry] = {}
    for entry in new:
        if entry.name in fresh:
            raise DeltaError(f"endpoint {printable(entry.name)} stands more than once", "name", entry.name)
        fresh[entry.name] = entry
    removed = []
    for entry in old.entries():
        after = fresh.get(entry.name)
        if after is None:
            removed.append(entry.name)
        elif after == entry:
            del fresh[entry.name]
    return Delta(tuple(fresh.values()), tuple(sorted(removed)))


def diff_catalogs(old: Catalog, new: Catalog) -> Delta:
    """What makes one catalog of another, at the cost of the buckets in which they differ."""
    changed: list[Entry] = []
    removed: list[str] = []
    for before, after in old.differing_buckets(new):
        known = {entry.name: entry for entry in before}
        changed += [entry for entry in after if known.pop(entry.name, None) != entry]
        removed += known
    return Delta(tuple(changed), tuple(removed))


def merge(deltas: Iterable[Delta]) -> Delta:
    """Deltas one after the other as one."""
    last: dict[str, Entry | None] = {}
    for delta in deltas:
        last.update(dict.fromkeys(delta.removed))
        last.update((entry.name, entry) for entry in delta.changed)
    return Delta(
        tuple(entry for entry in last.values() if entry is not None),
        tuple(name for name, entry in last.items() if entry is None),
    )


def full_delta(catalog: Catalog) -> Delta:
    """All of a catalog, as a change of nothing."""
    return diff_catalogs(EMPTY, catalog)
