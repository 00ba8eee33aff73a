"""Encodes and decodes messages of all modes, and acks (specification v1, "Message Modes"). No I/O."""

from __future__ import annotations

import gzip
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from msgpack import OutOfData, Unpacker, unpackb

from brassweir.forward import events
from brassweir.forward.errors import ForwardError
from brassweir.forward.events import Event, packed

MAX_TAG_BYTES = 1024
MAX_CHUNK_ID_BYTES = 256  # bytes of a chunk id
NIL = b"\xc0"  # a heartbeat over TCP


class Mode(Enum):
    """The mode in which entries were sent."""

    MESSAGE = "message"
    FORWARD = "forward"
    PACKED = "packed"
    COMPRESSED = "compressed"


@dataclass(frozen=True, slots=True)
class Message:
    """One message of any mode. ``data`` holds its packed entries, compressed in the mode COMPRESSED.

    ``chunk`` is the id to acknowledge, empty if the source wants no ack. ``size`` is the source's count of
    entries, None if it gave none.
    """

    mode: Mode
    tag: str
    data: bytes = field(repr=False)
    chunk: str = ""
    size: int | None = None

    def entries(self, max_bytes: int) -> bytes:
        """Return the packed entries, decompressed. Raises ForwardError beyond ``max_bytes``."""
        if self.mode is Mode.COMPRESSED:
            return events.gunzip(self.data, max_bytes)
        if len(self.data) > max_bytes:
            raise ForwardError(f"more than {max_bytes} bytes of entries")
        return self.data


def read(frame: bytes) -> Message:
    """Decode one complete msgpack value as a message, without unpacking its entries. Raises ForwardError."""
    try:
        return _read(frame)
    except ForwardError:
        raise
    except (ValueError, TypeError, OutOfData, RecursionError) as error:
        raise ForwardError(f"no message: {error or type(error).__name__}") from None


def _read(frame: bytes) -> Message:
    reader = Unpacker(read_size=4096, max_buffer_size=max(4096, len(frame)), raw=True, strict_map_key=False)
    reader.feed(frame)
    length = reader.read_array_header()
    if length < 2:
        raise ForwardError("a message has at least a tag and entries")
    tag = _text(reader.unpack(), "the tag", MAX_TAG_BYTES)
    start = reader.tell()
    kind = frame[start]
    if kind >> 4 == 0x9 or kind in (0xDC, 0xDD):
        mode, max_parts = Mode.FORWARD, 3
        count = reader.read_array_header()
        start = reader.tell()
        for _ in range(count):
            reader.skip()
        data = frame[start : reader.tell()]
    elif kind >> 5 == 0x5 or kind in (0xC4, 0xC5, 0xC6, 0xD9, 0xDA, 0xDB):
        mode, max_parts = Mode.PACKED, 3
        data = reader.unpack()
    else:
        mode, max_parts = Mode.MESSAGE, 4
        if length < 3:
            raise ForwardError("a time without a record")
        reader.skip()
        reader.skip()
        data = b"\x92" + frame[start : reader.tell()]
    if length > max_parts:
        raise ForwardError(f"an array of {length} is no message")
    options = reader.unpack() if length == max_parts else None
    chunk, size, compressed = _options(options)
    if compressed:
        if mode is not Mode.PACKED:
            raise ForwardError("only packed entries may be compressed")
        mode = Mode.COMPRESSED
    return Message(mode, tag, data, chunk, size)


def _options(options: Any) -> tuple[str, int | None, bool]:
    if options is None:
        return "", None, False
    if not isinstance(options, dict):
        raise ForwardError("the options are no map")
    chunk = _text(options.get(b"chunk", b""), "the option chunk", MAX_CHUNK_ID_BYTES)
    size = options.get(b"size")
    if not isinstance(size, int) or isinstance(size, bool):
        size = None  # only a hint, so a bad one is ignored
    compressed = options.get(b"compressed", b"text")
    if compressed not in (b"text", b"gzip", None):
        raise ForwardError(f"unknown compression {str(compressed)[:40]}")
    return chunk, size, compressed == b"gzip"


def _text(value: Any, field_name: str, max_bytes: int) -> str:
    if not isinstance(value, bytes):
        raise ForwardError(f"{field_name} is no string")
    if len(value) > max_bytes:
        raise ForwardError(f"{field_name} is longer than {max_bytes} bytes")
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError:
        raise ForwardError(f"{field_name} is no UTF-8") from None


def build(
    mode: Mode,
    tag: str,
    entries: list[Event],
    chunk: str = "",
    *,
    size: int | None = None,
    integer_times: bool = False,
) -> bytes:
    """Encode a message of any mode. ``size`` overrides the count sent; MESSAGE carries exactly one entry."""
    options: dict[str, Any] = {}
    if chunk:
        options["chunk"] = chunk
    if mode is Mode.MESSAGE:
        (entry,) = entries
        entry_time: Any = entry.time.seconds if integer_times else entry.time.ext()
        return packed([tag, entry_time, entry.record, *([options] if options else [])])
    options["size"] = len(entries) if size is None else size
    if mode is Mode.FORWARD:
        entry_pairs = [
            [entry.time.seconds if integer_times else entry.time.ext(), entry.record] for entry in entries
        ]
        return packed([tag, entry_pairs, options])
    return packed_message(
        tag,
        events.pack(entries, integer_times=integer_times),
        chunk,
        options["size"],
        compress=mode is Mode.COMPRESSED,
    )


def packed_message(tag: str, entries: bytes, chunk: str, size: int, *, compress: bool = False) -> bytes:
    """Encode a message of packed entries; ``size`` is their count."""
    options: dict[str, Any] = {"chunk": chunk} if chunk else {}
    options["size"] = size
    if compress:
        entries, options["compressed"] = gzip.compress(entries, mtime=0), "gzip"
    return packed([tag, entries, options])


def ack(chunk: str) -> bytes:
    """Encode the ack of a chunk."""
    return packed({"ack": chunk})


def read_ack(frame: bytes) -> str:
    """Return the chunk id in an ack. Raises ForwardError."""
    try:
        reply = unpackb(frame, raw=True, strict_map_key=False)
    except (ValueError, TypeError, RecursionError) as error:
        raise ForwardError(f"no ack: {error or type(error).__name__}") from None
    if not isinstance(reply, dict):
        raise ForwardError("an ack is a map")
    return _text(reply.get(b"ack"), "ack", MAX_CHUNK_ID_BYTES)
