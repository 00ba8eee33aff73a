"""Bytes of a segment: a header, then framed records. Pure; the layout is docs/journal-format.md.

A frame is: mark (4 bytes), sequence number (8), length (4), CRC-32C of number, length and payload (4),
payload. All numbers little-endian. The mark lets a reader find the next record behind damage; the CRC says
that it is one.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import google_crc32c

from brassweir.journal.records import VERSION, Record, decode, encode

MARK = b"\xb7JRN"
MAGIC = b"BRWSJRN\n"
_HEAD = struct.Struct("<8sHQQ")  # magic, version, segment, first sequence number
_FRAME = struct.Struct("<4sQII")
HEADER_BYTES = _HEAD.size + 4
FRAME_HEADER_BYTES = _FRAME.size
MAX_RECORD_BYTES = 256 * 1024 * 1024  # bytes of one record


class FormatError(ValueError):
    """A segment is none of ours, or of a later format than this program knows."""


def encode_header(segment: int, first: int) -> bytes:
    """The header of a segment."""
    head = _HEAD.pack(MAGIC, VERSION, segment, first)
    return head + struct.pack("<I", google_crc32c.value(head))


def read_header(data: bytes) -> tuple[int, int] | None:
    """Segment and first sequence number; None if it is cut or damaged. Raises FormatError."""
    if len(data) < HEADER_BYTES or not data.startswith(MAGIC):
        return None
    _, version, segment, first = _HEAD.unpack_from(data)
    if version > VERSION:
        raise FormatError(f"written in format {version}; this program knows up to {VERSION}")
    if struct.unpack_from("<I", data, _HEAD.size)[0] != google_crc32c.value(data[: _HEAD.size]):
        return None
    return segment, first


def encode_frame(sequence: int, record: Record) -> bytes:
    """One framed record."""
    payload = encode(record)
    checked = struct.pack("<QI", sequence, len(payload)) + payload
    return _FRAME.pack(MARK, sequence, len(payload), google_crc32c.value(checked)) + payload


@dataclass(frozen=True, slots=True)
class FramedRecord:
    """A record that holds, and where."""

    sequence: int
    record: Record
    offset: int
    end: int


@dataclass(frozen=True, slots=True)
class Damage:
    """Bytes that are no record. ``tail`` says that nothing good follows in the segment."""

    offset: int
    end: int
    why: str
    tail: bool


def read_frames(data: bytes, start: int = HEADER_BYTES) -> Iterator[FramedRecord | Damage]:
    """All records of a segment in order, and every stretch of damage between them."""
    at = start
    while at < len(data):
        found = _one(data, at)
        if isinstance(found, FramedRecord):
            yield found
            at = found.end
            continue
        after = _next(data, at + 1)
        end = after.offset if after is not None else len(data)
        yield Damage(at, end, found, after is None)
        at = end


def _one(data: bytes, at: int) -> FramedRecord | str:
    if len(data) - at < FRAME_HEADER_BYTES:
        return "cut within a frame"
    mark, sequence, length, crc = _FRAME.unpack_from(data, at)
    if mark != MARK:
        return "no record begins here"
    if length > MAX_RECORD_BYTES:
        return f"a record of {length} bytes"
    end = at + FRAME_HEADER_BYTES + length
    if end > len(data):
        return "cut within a record"
    payload = data[at + FRAME_HEADER_BYTES : end]
    if google_crc32c.value(struct.pack("<QI", sequence, length) + payload) != crc:
        return "checksum differs"
    try:
        return FramedRecord(sequence, decode(payload), at, end)
    except ValueError as error:
        return str(error)


def _next(data: bytes, at: int) -> FramedRecord | None:
    """The next record that holds, from ``at`` on."""
    while (at := data.find(MARK, at)) >= 0:
        found = _one(data, at)
        if isinstance(found, FramedRecord):
            return found
        at += 1
    return None
