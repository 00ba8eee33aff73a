"""Encodes and decodes the bytes of a segment: a header, then framed records. Pure; docs/journal-format.md
describes the layout.

A frame is: mark (4 bytes), sequence number (8), length (4), CRC-32C (4), payload. All numbers are
little-endian. After damage, the reader searches for the next mark and accepts the frame there if its checksum
is right.

A payload holds bytes that clients chose, which may look like frames. So the checksum of a frame covers the
random key of its segment and its own offset: what is a frame in one place is none in any other. Segments up
to format 2 have no key. In them a frame behind a truncated one counts only if it has the next number, and
frames follow it without a gap up to the end.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, replace

import google_crc32c
import msgspec

from brassweir.journal.records import VERSION, Record, Taken, decode, encode

MARK = b"\xb7JRN"
MAGIC = b"BRWSJRN\n"
KEY_BYTES = 16
UNKEYED_VERSION = 2  # the last format without a key
_HEADER = struct.Struct("<8sHQQ")  # magic, version, segment, first sequence number
_FRAME_HEADER = struct.Struct("<4sQII")  # mark, sequence number, payload length, CRC-32C
_CHECKSUM = struct.Struct("<I")
_OFFSET = struct.Struct("<Q")
_NUMBER_AND_LENGTH = struct.Struct("<QI")
HEADER_BYTES = _HEADER.size + _CHECKSUM.size  # without a key
KEYED_HEADER_BYTES = 2 * (HEADER_BYTES + KEY_BYTES)  # it is written twice: without the key all would be lost
FRAME_HEADER_BYTES = _FRAME_HEADER.size
MAX_RECORD_BYTES = 256 * 1024 * 1024
TRUNCATED_RECORD = "truncated within a record"


class FormatError(ValueError):
    """A segment was written in a later format than this program can read."""


@dataclass(frozen=True, slots=True)
class SegmentHeader:
    """The header of a segment: its number, its first record's sequence number, and its key.

    ``key`` is empty up to format 2. ``size`` is where the frames begin; ``damaged`` tells that only one of
    two copies is intact.
    """

    segment: int
    first: int
    key: bytes = b""
    size: int = HEADER_BYTES
    damaged: bool = False


def encode_header(segment: int, first: int, key: bytes = b"") -> bytes:
    """Encode the header of a segment, given its number, its first record's sequence number and its key.

    Without a key it is a segment of format 2.
    """
    header = _HEADER.pack(MAGIC, VERSION if key else UNKEYED_VERSION, segment, first) + key
    checked = header + _CHECKSUM.pack(google_crc32c.value(header))
    return 2 * checked if key else checked


def header_bytes(data: bytes) -> int:
    """Return the size of the header of a segment, as far as its beginning tells."""
    if len(data) < _HEADER.size:
        return KEYED_HEADER_BYTES
    return KEYED_HEADER_BYTES if _HEADER.unpack_from(data)[1] > UNKEYED_VERSION else HEADER_BYTES


def read_header(data: bytes) -> SegmentHeader | None:
    """Return the header of a segment; None if it is truncated or damaged.

    Raises FormatError if the segment has a later format than this program can read.
    """
    if len(data) >= HEADER_BYTES and data.startswith(MAGIC):
        _check_version(data)
    header = _read_header_copy(data, 0)
    if header is None:
        header = _read_header_copy(data, KEYED_HEADER_BYTES // 2)
        return None if header is None else replace(header, damaged=True)
    damaged = header.size <= len(data) and data[: header.size // 2] != data[header.size // 2 : header.size]
    return replace(header, damaged=damaged) if header.key else header


def _check_version(data: bytes) -> None:
    version = _HEADER.unpack_from(data)[1]
    if version > VERSION:
        raise FormatError(f"written in format {version}; this program reads formats up to {VERSION}")


def _read_header_copy(data: bytes, offset: int) -> SegmentHeader | None:
    if len(data) - offset < HEADER_BYTES or not data.startswith(MAGIC, offset):
        return None
    _, version, segment, first = _HEADER.unpack_from(data, offset)
    if version > VERSION:
        return None
    end = offset + _HEADER.size + (KEY_BYTES if version > UNKEYED_VERSION else 0)
    header = data[offset:end]
    if data[end : end + _CHECKSUM.size] != _CHECKSUM.pack(google_crc32c.value(header)):
        return None
    key = header[_HEADER.size :]
    return SegmentHeader(segment, first, key, KEYED_HEADER_BYTES if key else HEADER_BYTES)


def encode_frame(sequence: int, record: Record, key: bytes = b"", offset: int = 0) -> bytes:
    """Encode one record as a frame that lies at an offset of the segment with the key."""
    payload = encode(record)
    checksum = _frame_checksum(sequence, payload, key, offset)
    return _FRAME_HEADER.pack(MARK, sequence, len(payload), checksum) + payload


def encode_frames(sequence: int, records: list[Record], key: bytes, offset: int) -> bytes:
    """Encode records with ascending sequence numbers as frames that lie at an offset of a segment."""
    frames = []
    for number, record in enumerate(records, sequence):
        frames.append(encode_frame(number, record, key, offset))
        offset += len(frames[-1])
    return b"".join(frames)


def _frame_checksum(sequence: int, payload: bytes, key: bytes, offset: int) -> int:
    place = key + _OFFSET.pack(offset) if key else b""
    start = google_crc32c.value(place + _NUMBER_AND_LENGTH.pack(sequence, len(payload)))
    return int(google_crc32c.extend(start, payload))


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


def read_frames(data: bytes, start: int | None = None) -> Iterator[FramedRecord | Damage]:
    """Yield all records of a segment in order, and every range of damage between them.

    The frames begin at ``start``, by default behind the header.
    """
    header = read_header(data)
    key = b"" if header is None else header.key
    offset = start if start is not None else HEADER_BYTES if header is None else header.size
    while offset < len(data):
        frame = _read_frame(data, offset, key)
        if isinstance(frame, FramedRecord):
            yield frame
            offset = frame.end
            continue
        due = None
        if not key and frame == TRUNCATED_RECORD:
            due = _FRAME_HEADER.unpack_from(data, offset)[1] + 1
        following = _next_frame(data, offset + 1, key, due)
        end = following.offset if following is not None else len(data)
        yield Damage(offset, end, frame, following is None)
        offset = end


def _read_frame(data: bytes, offset: int, key: bytes) -> FramedRecord | str:
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
        return TRUNCATED_RECORD
    payload = data[offset + FRAME_HEADER_BYTES : end]
    if _frame_checksum(sequence, payload, key, offset) != crc:
        return "checksum differs"
    try:
        return FramedRecord(sequence, decode(payload), offset, end)
    except ValueError as error:
        return str(error)


def _next_frame(data: bytes, offset: int, key: bytes, due: int | None) -> FramedRecord | None:
    """Return the first valid frame at or after ``offset``; None if there is none.

    With ``due`` it counts only if it has that sequence number, and frames follow it without a gap up to the
    end.
    """
    while (offset := data.find(MARK, offset)) >= 0:
        frame = _read_frame(data, offset, key)
        if isinstance(frame, FramedRecord) and (
            due is None or (frame.sequence == due and _reaches_end(data, frame))
        ):
            return frame
        offset += 1
    return None


def _reaches_end(data: bytes, frame: FramedRecord) -> bool:
    """Return whether frames without a key follow one, in sequence and without a gap, up to the end."""
    while frame.end < len(data):
        following = _read_frame(data, frame.end, b"")
        if not isinstance(following, FramedRecord) or following.sequence != frame.sequence + 1:
            return False
        frame = following
    return True
