"""The form in which an endpoint list or a change of it is saved: one column for each field of the entries.

Values of one field are alike, so that columns compress to two thirds of what entries take. Files of earlier
versions, which hold entries, are read as well.
"""

from __future__ import annotations

import zlib

import msgspec

from brassweir.relay.endpoint_list import Change, ListError, Target, parse_change, validate

COMPRESSION_LEVEL = 1  # higher levels save a twentieth and take several times as long


class ListColumns(msgspec.Struct):
    """A :class:`Change`, by columns of the same length; see :class:`Target`."""

    rev: int
    all: bool
    uid: list[str]
    endpoint: list[str]
    pod_group: list[int]
    state: list[str]
    az: list[str]
    model: list[str]
    capacity_hint: list[float]


FIELDS = Target.__struct_fields__
_decoder = msgspec.json.Decoder(ListColumns)


def encode(change: Change) -> bytes:
    """Return a change in its saved form."""
    columns = {name: [getattr(target, name) for target in change.targets] for name in FIELDS}
    return zlib.compress(
        msgspec.json.encode(ListColumns(change.rev, change.all, **columns)), COMPRESSION_LEVEL
    )


def decode(data: bytes) -> Change:
    """Read the saved form of a change, in columns or entries. Raises ListError."""
    try:
        content = zlib.decompress(data)
    except zlib.error as error:
        raise ListError(f"saved list: {error}") from None
    try:
        columns = _decoder.decode(content)
    except msgspec.DecodeError:
        return parse_change(content)
    values = [getattr(columns, name) for name in FIELDS]
    try:
        targets = [Target(*fields) for fields in zip(*values, strict=True)]
    except ValueError:
        raise ListError("saved list: columns of different lengths") from None
    return validate(Change(columns.rev, columns.all, targets))
