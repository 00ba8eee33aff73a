"""Decodes and checks a chunk's entries (time and record), and encodes them for destinations. No I/O.

A chunk is stored as packed entries: consecutive msgpack arrays of time and record (Forward protocol
specification v1, "PackedForward Mode"). Messages of every mode are converted to this without unpacking a
record, and forward destinations get the entries unchanged.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

import msgspec
from msgpack import ExtType, OutOfData, Timestamp, Unpacker, packb

from brassweir.core.ports import Payload
from brassweir.forward.errors import ForwardError

PACKED = "application/vnd.fluent.entries+msgpack"
LINES = "application/x-ndjson"
MAX_DEPTH = 64  # nested maps and arrays in a record
EVENT_TIME = 0  # msgpack extension type


@dataclass(frozen=True, slots=True)
class EventTime:
    """Seconds since 1970 and nanoseconds (specification v1, "EventTime Ext Format")."""

    seconds: int
    nanos: int = 0

    def ext(self) -> ExtType:
        """Encode as a msgpack extension value."""
        return ExtType(EVENT_TIME, self.seconds.to_bytes(4, "big") + self.nanos.to_bytes(4, "big"))

    def text(self) -> str:
        """Format as RFC 3339 in UTC, with nine decimals."""
        whole_seconds = datetime.fromtimestamp(self.seconds, UTC)
        return f"{whole_seconds:%Y-%m-%dT%H:%M:%S}.{self.nanos:09d}Z"


@dataclass(frozen=True, slots=True)
class Event:
    """One entry."""

    time: EventTime
    record: dict[Any, Any]


def packed(value: Any) -> bytes:
    """Encode a value as msgpack."""
    out: bytes = packb(value)
    return out


def pack(events: list[Event], *, integer_times: bool = False) -> bytes:
    """Encode events as packed entries."""
    return b"".join(
        packed([event.time.seconds if integer_times else event.time.ext(), event.record]) for event in events
    )


def unpack(data: bytes, max_entries: int) -> Iterator[Event]:
    """Yield packed entries as events. Raises ForwardError, possibly after some were yielded."""
    total = count(data, max_entries)
    reader = Unpacker(
        read_size=4096,
        max_buffer_size=max(4096, len(data)),
        strict_map_key=False,
        unicode_errors="replace",
        ext_hook=_ext,
    )
    reader.feed(data)
    for number in range(total):
        try:
            entry = reader.unpack()
        except (ValueError, TypeError) as error:  # TypeError: a map or array as a key
            raise ForwardError(f"entry {number} is no msgpack: {error or type(error).__name__}") from None
        yield _to_event(entry, number)


def count(data: bytes, max_entries: int) -> int:
    """Count the complete msgpack values, without unpacking them. Raises ForwardError.

    Checked before unpacking, so that the sizes claimed by an incomplete value's headers allocate nothing.
    """
    stepper = Unpacker(read_size=4096, max_buffer_size=max(4096, len(data)))
    stepper.feed(data)
    entries = 0
    while (start := stepper.tell()) < len(data):
        try:
            stepper.skip()
        except OutOfData:
            raise ForwardError(f"entry {entries} is cut off at byte {start}") from None
        except ValueError as error:
            raise ForwardError(f"entry {entries} is no msgpack: {error or type(error).__name__}") from None
        entries += 1
        if entries > max_entries:
            raise ForwardError(f"more than {max_entries} entries")
    return entries


def _to_event(entry: Any, number: int) -> Event:
    if not isinstance(entry, list) or len(entry) != 2:
        raise ForwardError(f"entry {number} is no array of time and record")
    time_value, record = entry
    if isinstance(time_value, list) and len(time_value) == 2 and isinstance(time_value[1], dict):
        time_value = time_value[0]  # newer shippers send a pair of time and metadata
    if not isinstance(record, dict):
        raise ForwardError(f"entry {number} has no map as its record")
    _check_depth(record, number)
    return Event(_to_event_time(time_value, number), record)


def _to_event_time(time_value: Any, number: int) -> EventTime:
    if isinstance(time_value, ExtType) and time_value.code == EVENT_TIME and len(time_value.data) == 8:
        nanos = int.from_bytes(time_value.data[4:], "big")
        if nanos < 1_000_000_000:
            return EventTime(int.from_bytes(time_value.data[:4], "big"), nanos)
    elif isinstance(time_value, int) and not isinstance(time_value, bool) and 0 <= time_value < 1 << 32:
        return EventTime(time_value)
    elif isinstance(time_value, float) and math.isfinite(time_value) and 0.0 <= time_value < 1 << 32:
        whole_seconds = int(time_value)
        return EventTime(whole_seconds, min(999_999_999, int((time_value - whole_seconds) * 1e9)))
    raise ForwardError(f"entry {number} has no time: neither seconds nor EventTime")


def _check_depth(record: dict[Any, Any], number: int) -> None:
    level: list[Any] = [record]
    for _ in range(MAX_DEPTH):
        level = [
            inner
            for outer in level
            for inner in (outer.values() if isinstance(outer, dict) else outer)
            if isinstance(inner, dict | list)
        ]
        if not level:
            return
    raise ForwardError(f"entry {number} is nested deeper than {MAX_DEPTH}")


def gunzip(data: bytes, max_bytes: int) -> bytes:
    """Decompress all members of a gzip stream (RFC 1952, section 2.2). Raises ForwardError.

    Stops beyond ``max_bytes`` of output, as a guard against decompression bombs.
    """
    out: list[bytes] = []
    left = max_bytes
    while data:
        member = zlib.decompressobj(wbits=31)
        try:
            part = member.decompress(data, left + 1)
        except zlib.error as error:
            raise ForwardError(f"no gzip: {error}") from None
        if len(part) > left:
            raise ForwardError(f"more than {max_bytes} bytes when decompressed")
        if not member.eof:
            raise ForwardError("the gzip data is cut off")
        out.append(part)
        left -= len(part)
        data = member.unused_data
    return b"".join(out)


def _ext(code: int, data: bytes) -> Any:
    """Decode an extension type: EventTime is kept, any other becomes a map, which JSON can hold."""
    return ExtType(code, data) if code == EVENT_TIME and len(data) == 8 else {"ext": code, "data": data}


def _encode_other(value: Any) -> Any:
    if isinstance(value, Timestamp):
        return value.to_datetime().isoformat()
    raise ForwardError(f"a record holds {type(value).__name__}, which has no JSON")


_json = msgspec.json.Encoder(enc_hook=_encode_other)


def lines(tag: str, events: Iterator[Event]) -> tuple[bytes, int]:
    """Encode events as JSON lines of tag, time (RFC 3339) and record; returns them and their count.

    Bytes become base64, invalid UTF-8 gets replacement characters, and keys become text. Raises ForwardError.
    """
    out = []
    for event in events:
        line = {"tag": tag, "time": event.time.text(), "record": event.record}
        try:
            out.append(_json.encode(line))
        except (TypeError, ValueError, RecursionError):
            out.append(_json.encode({**line, "record": _with_text_keys(event.record)}))
    return b"\n".join(out) + b"\n", len(out)


def _with_text_keys(value: Any) -> Any:
    if isinstance(value, dict):
        return {
            key
            if isinstance(key, str)
            else key.decode("utf-8", "replace")
            if isinstance(key, bytes)
            else str(key): _with_text_keys(inner)
            for key, inner in value.items()
        }
    if isinstance(value, list):
        return [_with_text_keys(inner) for inner in value]
    if isinstance(value, int) and not -(1 << 63) <= value < 1 << 64:
        return str(value)
    return value


def of_payload(payload: Payload, tag: str, now: float) -> tuple[str, bytes, int]:
    """Return the tag, packed entries and their count for a payload of any type.

    Packed entries are used unchanged; any other payload becomes a single event with the time ``now`` (seconds
    since 1970). ``tag`` is used for entries without a tag and for every other payload. Raises ForwardError
    for invalid packed entries.
    """
    if payload.content_type == PACKED:
        return payload.subject or tag, payload.content, count(payload.content, 1 << 31)
    record: dict[str, Any] = {"content_type": payload.content_type, "subject": payload.subject}
    try:
        record["content"] = payload.content.decode("utf-8")
    except UnicodeDecodeError:
        record["content"] = payload.content
    whole_seconds = int(now)
    return tag, pack([Event(EventTime(whole_seconds, int((now - whole_seconds) * 1e9)), record)]), 1
