"""The difference between two versions, and its bounded bytes. Pure."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Annotated

import msgspec

from brassweir.configstream.buckets import BucketError, inflate
from brassweir.configstream.catalog import EMPTY, Catalog
from brassweir.configstream.entries import Entry, EntryError, locate, shown

MOST_ENTRIES = 100_000  # changed, and as many removed: counted before any of them is read
MOST_UNPACKED = 40 << 20  # bytes: above a whole catalog's (checking.MOST_LENGTH) and the names it removes
COMPRESSION = 6  # of 9: packed once, sent to every copy


class DeltaError(ValueError):
    """What is no delta: which field of it is wrong, and the endpoint if it is one's."""

    def __init__(self, why: str, field: str = "body", endpoint: str = "") -> None:
        super().__init__(why)
        self.field, self.endpoint = field, endpoint


_Bounded = msgspec.Meta(max_length=MOST_ENTRIES)


class Delta(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Entries that are new or other than before, and names of those that are there no more."""

    changed: Annotated[tuple[Entry, ...], _Bounded] = ()
    removed: Annotated[tuple[str, ...], _Bounded] = ()

    def __bool__(self) -> bool:
        return bool(self.changed or self.removed)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Delta)
_loose = msgspec.msgpack.Decoder(
    tuple[Annotated[list[msgspec.Raw], _Bounded], Annotated[list[str], _Bounded]]
)
_entry = msgspec.msgpack.Decoder(Entry)


def pack(delta: Delta) -> bytes:
    """A delta as commands carry it."""
    return zlib.compress(_encoder.encode(delta), COMPRESSION)


def unpack(data: bytes) -> Delta:
    """Read what ``pack`` made. Raises DeltaError, or EntryError for an entry that cannot be read."""
    try:
        plain = inflate(data, MOST_UNPACKED)
    except BucketError as error:
        raise DeltaError(str(error)) from None
    try:
        return _decoder.decode(plain)
    except (msgspec.DecodeError, RecursionError):
        raise _misread(plain) from None


def _misread(plain: bytes) -> DeltaError | EntryError:
    """Why bytes are no delta, in words of our own: a library's may differ between copies."""
    try:
        changed, _ = _loose.decode(plain)
        for raw in changed:
            try:
                _entry.decode(raw)
            except msgspec.DecodeError:
                return locate(bytes(raw))
    except (msgspec.DecodeError, RecursionError):
        pass
    return DeltaError("no delta")


def difference(old: Catalog, new: Iterable[Entry]) -> Delta:
    """What makes ``new`` of ``old``. Raises DeltaError if a name stands twice in ``new``."""
    fresh: dict[str, Entry] = {}
    for entry in new:
        if entry.name in fresh:
            raise DeltaError(f"endpoint {shown(entry.name)} stands more than once", "name", entry.name)
        fresh[entry.name] = entry
    removed = []
    for entry in old.entries():
        after = fresh.get(entry.name)
        if after is None:
            removed.append(entry.name)
        elif after == entry:
            del fresh[entry.name]
    return Delta(tuple(fresh.values()), tuple(sorted(removed)))


def between(old: Catalog, new: Catalog) -> Delta:
    """What makes one catalog of another, at the cost of the buckets in which they differ."""
    changed: list[Entry] = []
    removed: list[str] = []
    for before, after in old.differing(new):
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


def whole(catalog: Catalog) -> Delta:
    """All of a catalog, as a change of nothing."""
    return between(EMPTY, catalog)
