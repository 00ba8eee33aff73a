"""Encodes and decodes the bytes of a segment: a header, then framed records. Pure; docs/journal-format.md
describes the layout.

A frame is: mark (4 bytes), sequence number (8), length (4), CRC-32C of sequence number, length and payload
(4), payload. All numbers are little-endian. After damage, the reader searches for the next mark and accepts
the frame there if its checksum is right.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import google_crc32c
import msgspec

from brassweir.journal.records import VERSION, Record, Taken, decode, encode

MARK = b"\xb7JRN"
MAGIC = b"BRWSJRN\n"
_HEADER = struct.Struct("<8sHQQ")  # magic, version, segment, first sequence number
_FRAME_HEADER = struct.Struct("<4sQII")  # mark, sequence number, payload length, CRC-32C
HEADER_BYTES = _HEADER.size + 4  # with its CRC-32C
FRAME_HEADER_BYTES = _FRAME_HEADER.size
MAX_RECORD_BYTES = 256 * 1024 * 1024


class FormatError(ValueError):
    """A segment was written in a later format than this program can read."""


def encode_header(segment: int, first: int) -> bytes:
    """Encode the header of a segment, given its number and its first record's sequence number."""
    header = _HEADER.pack(MAGIC, VERSION, segment, first)
    return header + struct.pack("<I", google_crc32c.value(header))


def read_header(data: bytes) -> tuple[int, int] | None:
    """Return the segment's number and its first record's sequence number; None if the header is truncated or
    damaged.

    Raises FormatError if the segment has a later format than this program can read.
    """
    if len(data) < HEADER_BYTES or not data.startswith(MAGIC):
        return None
    _, version, segment, first = _HEADER.unpack_from(data)
    if version > VERSION:
        raise FormatError(f"written in format {version}; this program reads formats up to {VERSION}")
    if struct.unpack_from("<I", data, _HEADER.size)[0] != google_crc32c.value(data[: _HEADER.size]):
        return None
    return segment, first


def encode_frame(sequence: int, record: Record) -> bytes:
    """Encode one record as a frame."""
    payload = encode(record)
    checked = struct.pack("<QI", sequence, len(payload)) + payload
    return _FRAME_HEADER.pack(MARK, sequence, len(payload), google_crc32c.value(checked)) + payload


def frame_bytes(record: Record) -> int:
    """Return the size of a record's frame. A message's content is not copied for it."""
    if isinstance(record, Taken):
        empty = msgspec.structs.replace(record, content=b"")
        return FRAME_HEADER_BYTES + len(encode(empty)) + _binary_bytes(len(record.content))
    return FRAME_HEADER_BYTES + len(encode(record))


def _binary_bytes(length: int) -> int:
    """Return by how much ``length`` bytes lengthen an empty MessagePack binary."""
    if length < 1 << 8:
        return length
    longer_header = 1 if length < 1 << 16 else 3
    return length + longer_header


@dataclass(frozen=True, slots=True)
class FramedRecord:
    """A valid record, with the offsets at which its frame starts and ends in the segment."""

    sequence: int
    record: Record
    offset: int
    end: int


@dataclass(frozen=True, slots=True)
class Damage:
    """A range of bytes that holds no valid frame. ``tail`` is true if no valid frame follows it in the
    segment."""

    offset: int
    end: int
    why: str
    tail: bool


def read_frames(data: bytes, start: int = HEADER_BYTES) -> Iterator[FramedRecord | Damage]:
    """Yield all records of a segment in order, and every range of damage between them."""
    offset = start
    while offset < len(data):
        frame = _read_frame(data, offset)
        if isinstance(frame, FramedRecord):
            yield frame
            offset = frame.end
            continue
        following = _next_frame(data, offset + 1)
        end = following.offset if following is not None else len(data)
        yield Damage(offset, end, frame, following is None)
        offset = end


def _read_frame(data: bytes, offset: int) -> FramedRecord | str:
    """Decode the frame at ``offset``; returns the reason as text if there is no valid one."""
    if len(data) - offset < FRAME_HEADER_BYTES:
        return "truncated within a frame header"
    mark, sequence, length, crc = _FRAME_HEADER.unpack_from(data, offset)
    if mark != MARK:
        return "no record begins here"
    if length > MAX_RECORD_BYTES:
        return f"a record of {length} bytes is too long"
    end = offset + FRAME_HEADER_BYTES + length
    if end > len(data):
        return "truncated within a record"
    payload = data[offset + FRAME_HEADER_BYTES : end]
    if google_crc32c.value(struct.pack("<QI", sequence, length) + payload) != crc:
        return "checksum differs"
    try:
        return FramedRecord(sequence, decode(payload), offset, end)
    except ValueError as error:
        return str(error)


def _next_frame(data: bytes, offset: int) -> FramedRecord | None:
    """Return the first valid frame at or after ``offset``; None if there is none."""
    while (offset := data.find(MARK, offset)) >= 0:
        frame = _read_frame(data, offset)
        if isinstance(frame, FramedRecord):
            return frame
        offset += 1
    return None
