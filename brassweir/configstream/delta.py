"""Deltas between two versions: computing, merging, packing and bounded unpacking. Pure."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Annotated

import msgspec

from brassweir.configstream.buckets import BucketError, decompress_first
from brassweir.configstream.catalog import EMPTY, Catalog
from brassweir.configstream.entries import Entry, EntryError, decoding_error, printable

MAX_ENTRIES = 100_000  # changed, and as many removed; counted before any is decoded
MAX_STREAMS = 1_024  # concatenated packed deltas
MAX_UNPACKED_BYTES = 40 << 20  # above a full catalog's entries and the names that it removes
COMPRESSION_LEVEL = 6  # of 9; high, as a delta is packed once and sent to every copy


class DeltaError(ValueError):
    """An invalid delta: the field at fault, and the endpoint if it concerns one."""

    def __init__(self, why: str, field: str = "body", endpoint: str = "") -> None:
        super().__init__(why)
        self.field, self.endpoint = field, endpoint


_Bounded = msgspec.Meta(max_length=MAX_ENTRIES)


class Delta(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Entries that are new or changed, and names of removed ones. False if empty."""

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
    """Encode and compress a delta as commands carry it."""
    return zlib.compress(_encoder.encode(delta), COMPRESSION_LEVEL)


def unpack(data: bytes) -> Delta:
    """Decode one or more concatenated packed deltas into one.

    Raises DeltaError, or EntryError for an entry that cannot be decoded.
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
    """Running totals over the packed deltas of one change; enforces their limits."""

    def __init__(self) -> None:
        self.streams = self.length = self.changed = self.removed = 0

    def add(self, length: int, delta: Delta) -> None:
        """Add a delta of ``length`` bytes uncompressed. Raises DeltaError beyond a limit."""
        self.streams += 1
        self.length += length
        self.changed += len(delta.changed)
        self.removed += len(delta.removed)
        if self.streams > MAX_STREAMS or max(self.changed, self.removed) > MAX_ENTRIES:
            raise DeltaError("more than a delta may hold")


def unpack_first(data: bytes, totals: DeltaTotals) -> tuple[Delta, bytes]:
    """Decode the first packed delta, count it, and return it and what follows. Raises as ``unpack``."""
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
    """Return why bytes do not decode to a delta; in own words, as a library's may differ between copies."""
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
    """Return the delta from ``old`` to ``new``. Raises DeltaError if a name occurs twice in ``new``."""
    remaining: dict[str, Entry] = {}
    for entry in new:
        if entry.name in remaining:
            raise DeltaError(f"endpoint {printable(entry.name)} stands more than once", "name", entry.name)
        remaining[entry.name] = entry
    removed = []
    for entry in old.entries():
        after = remaining.get(entry.name)
        if after is None:
            removed.append(entry.name)
        elif after == entry:
            del remaining[entry.name]
    return Delta(tuple(remaining.values()), tuple(sorted(removed)))


def diff_catalogs(old: Catalog, new: Catalog) -> Delta:
    """Return the delta from ``old`` to ``new``; reads only the buckets that differ."""
    changed: list[Entry] = []
    removed: list[str] = []
    for before, after in old.differing_buckets(new):
        unmatched = {entry.name: entry for entry in before}
        changed += [entry for entry in after if unmatched.pop(entry.name, None) != entry]
        removed += unmatched
    return Delta(tuple(changed), tuple(removed))


def merge(deltas: Iterable[Delta]) -> Delta:
    """Merge successive deltas into one; the last change of a name counts."""
    last: dict[str, Entry | None] = {}
    for delta in deltas:
        last.update(dict.fromkeys(delta.removed))
        last.update((entry.name, entry) for entry in delta.changed)
    return Delta(
        tuple(entry for entry in last.values() if entry is not None),
        tuple(name for name, entry in last.items() if entry is None),
    )


def full_delta(catalog: Catalog) -> Delta:
    """Return the delta from the empty catalog."""
    return diff_catalogs(EMPTY, catalog)
