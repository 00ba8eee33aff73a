"""The modes in which events are carried, and acks (specification v1, "Message Modes"). No I/O."""

from __future__ import annotations

import gzip
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from msgpack import OutOfData, Unpacker, unpackb

from brassweir.forward import events
from brassweir.forward.errors import ForwardError
from brassweir.forward.events import Event, packed

TAG = 1024  # bytes of a tag
CHUNK = 256  # bytes of a chunk's id
NIL = b"\xc0"  # a heartbeat over the connection


class Mode(Enum):
    """How the entries came."""

    MESSAGE = "message"
    FORWARD = "forward"
    PACKED = "packed"
    COMPRESSED = "compressed"


@dataclass(frozen=True, slots=True)
class Message:
    """One message of any mode. ``data`` is its packed entries, still compressed if the mode says so.

    ``chunk`` is the id that its source wants acknowledged, empty if it does not ask; ``size`` the number of
    entries that the source counted, if it told.
    """

    mode: Mode
    tag: str
    data: bytes = field(repr=False)
    chunk: str = ""
    size: int | None = None

    def entries(self, most: int) -> bytes:
        """The packed entries, at most so many bytes. Raises ForwardError."""
        if self.mode is Mode.COMPRESSED:
            return events.gunzip(self.data, most)
        if len(self.data) > most:
            raise ForwardError(f"more than {most} bytes of entries")
        return self.data


def read(frame: bytes) -> Message:
    """Read one whole msgpack value as a message, without unpacking its entries. Raises ForwardError."""
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
    tag = _text(reader.unpack(), "the tag", TAG)
    start = reader.tell()
    kind = frame[start]
    if kind >> 4 == 0x9 or kind in (0xDC, 0xDD):
        mode, most = Mode.FORWARD, 3
        count = reader.read_array_header()
        start = reader.tell()
        for _ in range(count):
            reader.skip()
        data = frame[start : reader.tell()]
    elif kind >> 5 == 0x5 or kind in (0xC4, 0xC5, 0xC6, 0xD9, 0xDA, 0xDB):
        mode, most = Mode.PACKED, 3
        data = reader.unpack()
    else:
        mode, most = Mode.MESSAGE, 4
        if length < 3:
            raise ForwardError("a time without a record")
        reader.skip()
        reader.skip()
        data = b"\x92" + frame[start : reader.tell()]
    if length > most:
        raise ForwardError(f"an array of {length} is no message")
    given = reader.unpack() if length == most else None
    chunk, size, compressed = _options(given)
    if compressed:
        if mode is not Mode.PACKED:
            raise ForwardError("only packed entries may be compressed")
        mode = Mode.COMPRESSED
    return Message(mode, tag, data, chunk, size)


def _options(given: Any) -> tuple[str, int | None, bool]:
    if given is None:
        return "", None, False
    if not isinstance(given, dict):
        raise ForwardError("the options are no map")
    chunk = _text(given.get(b"chunk", b""), "the option chunk", CHUNK)
    size = given.get(b"size")
    if not isinstance(size, int) or isinstance(size, bool):
        size = None  # it is only a hint
    compressed = given.get(b"compressed", b"text")
    if compressed not in (b"text", b"gzip", None):
        raise ForwardError(f"unknown compression {str(compressed)[:40]}")
    return chunk, size, compressed == b"gzip"


def _text(value: Any, what: str, most: int) -> str:
    if not isinstance(value, bytes):
        raise ForwardError(f"{what} is no string")
    if len(value) > most:
        raise ForwardError(f"{what} is longer than {most} bytes")
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError:
        raise ForwardError(f"{what} is no UTF-8") from None


def build(
    mode: Mode,
    tag: str,
    entries: list[Event],
    chunk: str = "",
    *,
    size: int | None = None,
    integer_times: bool = False,
) -> bytes:
    """A message of any mode. ``size`` is what is told as the count; one MESSAGE carries one entry."""
    options: dict[str, Any] = {}
    if chunk:
        options["chunk"] = chunk
    if mode is Mode.MESSAGE:
        (one,) = entries
        when: Any = one.time.seconds if integer_times else one.time.ext()
        return packed([tag, when, one.record, *([options] if options else [])])
    options["size"] = len(entries) if size is None else size
    if mode is Mode.FORWARD:
        listed = [[one.time.seconds if integer_times else one.time.ext(), one.record] for one in entries]
        return packed([tag, listed, options])
    return packed_message(
        tag,
        events.pack(entries, integer_times=integer_times),
        chunk,
        options["size"],
        compress=mode is Mode.COMPRESSED,
    )


def packed_message(tag: str, entries: bytes, chunk: str, size: int, *, compress: bool = False) -> bytes:
    """A message of packed entries."""
    options: dict[str, Any] = {"chunk": chunk} if chunk else {}
    options["size"] = size
    if compress:
        entries, options["compressed"] = gzip.compress(entries, mtime=0), "gzip"
    return packed([tag, entries, options])


def ack(chunk: str) -> bytes:
    """The answer to a chunk."""
    return packed({"ack": chunk})


def read_ack(frame: bytes) -> str:
    """The id that an answer names. Raises ForwardError."""
    try:
        given = unpackb(frame, raw=True, strict_map_key=False)
    except (ValueError, TypeError, RecursionError) as error:
        raise ForwardError(f"no ack: {error or type(error).__name__}") from None
    if not isinstance(given, dict):
        raise ForwardError("an ack is a map")
    return _text(given.get(b"ack"), "ack", CHUNK)
