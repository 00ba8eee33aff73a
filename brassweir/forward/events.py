"""Entries of a chunk: times and records, checked, and the forms that they leave in. No I/O.

A chunk is held as its packed entries: msgpack arrays of two, one after another, as PackedForward has them
(Forward protocol specification v1, "PackedForward Mode"). Every mode is brought to this without unpacking a
record, and forward destinations are sent it as it came.
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
DEEPEST = 64  # maps and arrays in one another, within a record
EVENT_TIME = 0  # the extension type of EventTime


@dataclass(frozen=True, slots=True)
class EventTime:
    """Seconds since 1970 and nanoseconds (specification v1, "EventTime Ext Format")."""

    seconds: int
    nanos: int = 0

    def ext(self) -> ExtType:
        """As it goes over the wire."""
        return ExtType(EVENT_TIME, self.seconds.to_bytes(4, "big") + self.nanos.to_bytes(4, "big"))

    def text(self) -> str:
        """RFC 3339, in UTC, with all nine digits."""
        whole = datetime.fromtimestamp(self.seconds, UTC)
        return f"{whole:%Y-%m-%dT%H:%M:%S}.{self.nanos:09d}Z"


@dataclass(frozen=True, slots=True)
class Event:
    """One entry."""

    time: EventTime
    record: dict[Any, Any]


def packed(value: Any) -> bytes:
    """A value as msgpack."""
    out: bytes = packb(value)
    return out


def pack(events: list[Event], *, integer_times: bool = False) -> bytes:
    """Packed entries."""
    return b"".join(
        packed([event.time.seconds if integer_times else event.time.ext(), event.record]) for event in events
    )


def unpack(data: bytes, most: int) -> Iterator[Event]:
    """Read packed entries one by one, at most so many. Raises ForwardError, perhaps after some were given."""
    total = count(data, most)
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
        yield _event(entry, number)


def count(data: bytes, most: int) -> int:
    """How many whole values there are, at a twentieth of what unpacking costs. Raises ForwardError.

    Only what is whole is unpacked afterwards: a header's claim reserves nothing.
    """
    stepper = Unpacker(read_size=4096, max_buffer_size=max(4096, len(data)))
    stepper.feed(data)
    found = 0
    while (before := stepper.tell()) < len(data):
        try:
            stepper.skip()
        except OutOfData:
            raise ForwardError(f"entry {found} is cut off at byte {before}") from None
        except ValueError as error:
            raise ForwardError(f"entry {found} is no msgpack: {error or type(error).__name__}") from None
        found += 1
        if found > most:
            raise ForwardError(f"more than {most} entries")
    return found


def _event(entry: Any, number: int) -> Event:
    if not isinstance(entry, list) or len(entry) != 2:
        raise ForwardError(f"entry {number} is no array of time and record")
    when, record = entry
    if isinstance(when, list) and len(when) == 2 and isinstance(when[1], dict):
        when = when[0]  # time and metadata, as newer shippers pair them
    if not isinstance(record, dict):
        raise ForwardError(f"entry {number} has no map as its record")
    _shallow(record, number)
    return Event(_time(when, number), record)


def _time(when: Any, number: int) -> EventTime:
    if isinstance(when, ExtType) and when.code == EVENT_TIME and len(when.data) == 8:
        nanos = int.from_bytes(when.data[4:], "big")
        if nanos < 1_000_000_000:
            return EventTime(int.from_bytes(when.data[:4], "big"), nanos)
    elif isinstance(when, int) and not isinstance(when, bool) and 0 <= when < 1 << 32:
        return EventTime(when)
    elif isinstance(when, float) and math.isfinite(when) and 0.0 <= when < 1 << 32:
        whole = int(when)
        return EventTime(whole, min(999_999_999, int((when - whole) * 1e9)))
    raise ForwardError(f"entry {number} has no time: neither seconds nor EventTime")


def _shallow(record: dict[Any, Any], number: int) -> None:
    level: list[Any] = [record]
    for _ in range(DEEPEST):
        level = [
            inner
            for outer in level
            for inner in (outer.values() if isinstance(outer, dict) else outer)
            if isinstance(inner, dict | list)
        ]
        if not level:
            return
    raise ForwardError(f"entry {number} is nested deeper than {DEEPEST}")


def gunzip(data: bytes, most: int) -> bytes:
    """All members of a gzip stream, one after another (RFC 1952, section 2.2). Raises ForwardError.

    Nothing beyond ``most`` bytes is ever produced, whatever the data claims to hold.
    """
    out: list[bytes] = []
    room = most
    while data:
        member = zlib.decompressobj(wbits=31)
        try:
            part = member.decompress(data, room + 1)
        except zlib.error as error:
            raise ForwardError(f"no gzip: {error}") from None
        if len(part) > room:
            raise ForwardError(f"more than {most} bytes when decompressed")
        if not member.eof:
            raise ForwardError("the gzip data is cut off")
        out.append(part)
        room -= len(part)
        data = member.unused_data
    return b"".join(out)


def _ext(code: int, data: bytes) -> Any:
    """Extension types within records: a map, which every form can hold; EventTime stands only beside one."""
    return ExtType(code, data) if code == EVENT_TIME and len(data) == 8 else {"ext": code, "data": data}


def _other(value: Any) -> Any:
    if isinstance(value, Timestamp):
        return value.to_datetime().isoformat()
    raise ForwardError(f"a record holds {type(value).__name__}, which has no JSON")


_json = msgspec.json.Encoder(enc_hook=_other)


def lines(tag: str, events: Iterator[Event]) -> tuple[bytes, int]:
    """One JSON object a line: tag, time (RFC 3339) and record; and how many. Raises ForwardError.

    Bytes become base64, text that is no UTF-8 gets replacement marks, and keys become text.
    """
    out = []
    for event in events:
        line = {"tag": tag, "time": event.time.text(), "record": event.record}
        try:
            out.append(_json.encode(line))
        except (TypeError, ValueError, RecursionError):
            out.append(_json.encode({**line, "record": _keyed(event.record)}))
    return b"\n".join(out) + b"\n", len(out)


def _keyed(value: Any) -> Any:
    if isinstance(value, dict):
        return {
            key
            if isinstance(key, str)
            else key.decode("utf-8", "replace")
            if isinstance(key, bytes)
            else str(key): _keyed(inner)
            for key, inner in value.items()
        }
    if isinstance(value, list):
        return [_keyed(inner) for inner in value]
    if isinstance(value, int) and not -(1 << 63) <= value < 1 << 64:
        return str(value)
    return value


def of_payload(payload: Payload, tag: str, when: float) -> tuple[str, bytes, int]:
    """Tag, packed entries and their count that carry a document of any type; ``when`` is the time in seconds.

    Entries go on as they are; anything else becomes the one record of one event.
    """
    if payload.content_type == PACKED:
        return payload.subject or tag, payload.content, count(payload.content, 1 << 31)
    record: dict[str, Any] = {"content_type": payload.content_type, "subject": payload.subject}
    try:
        record["content"] = payload.content.decode("utf-8")
    except UnicodeDecodeError:
        record["content"] = payload.content
    whole = int(when)
    return tag, pack([Event(EventTime(whole, int((when - whole) * 1e9)), record)]), 1
