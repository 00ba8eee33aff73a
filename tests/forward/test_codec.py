"""The codec against byte transcripts written from the specification, and against malformed and oversized input."""

from __future__ import annotations

import gzip
import hashlib
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgpack import ExtType, packb, unpackb

from brassweir.core.ports import Payload
from brassweir.forward import events, handshake, message
from brassweir.forward.errors import ForwardError
from brassweir.forward.events import Event, EventTime
from brassweir.forward.frames import Frames
from brassweir.forward.message import Mode
from tests.forward.transcripts import (
    ENTRIES,
    FORWARD,
    HELO,
    LIMIT,
    MESSAGE,
    MESSAGE_ACK,
    PACKED,
    PACKED_OLD,
    compressed,
)


def test_transcripts_are_decoded() -> None:
    plain = message.read(MESSAGE)
    assert (plain.mode, plain.tag, plain.chunk, plain.size) == (Mode.MESSAGE, "my.ap", "", None)
    assert list(events.unpack(plain.entries(LIMIT), 9)) == [Event(EventTime(0x55ECDFE5), {"key": "val"})]
    acked = message.read(MESSAGE_ACK)
    assert acked.chunk == "iD1"
    assert list(events.unpack(acked.entries(LIMIT), 9)) == [Event(EventTime(0x55ECDFE5, 42), {"key": "val"})]
    listed = message.read(FORWARD)
    assert (listed.mode, listed.chunk, listed.size) == (Mode.FORWARD, "iD2", 2)
    assert list(events.unpack(listed.entries(LIMIT), 9)) == [
        Event(EventTime(0x55ECDFE5), {"key": 1}),
        Event(EventTime(0x55ECDFE6, 1_000_000), {"key": 2}),
    ]
    for frame, mode, chunk in (
        (PACKED, Mode.PACKED, "iD3"),
        (PACKED_OLD, Mode.PACKED, ""),
        (compressed([ENTRIES]), Mode.COMPRESSED, "iD4"),
        (compressed([ENTRIES[:12], ENTRIES[12:]]), Mode.COMPRESSED, "iD4"),
    ):
        decoded = message.read(frame)
        assert (decoded.mode, decoded.chunk) == (mode, chunk)
        assert decoded.entries(LIMIT) == ENTRIES
    assert handshake.read_helo(HELO) == handshake.Helo(b"\x01\x02", b"", True)
    assert message.ack("iD1") == bytes.fromhex("81a361636ba3694431")
    assert message.read_ack(message.ack("iD1")) == "iD1"


def test_digests_follow_the_specification() -> None:
    salt, nonce = b"\x00\x11", b"\xfe\xff"
    assert (
        handshake.digest(salt, "edge-1", nonce, b"secret")
        == hashlib.sha512(b"\x00\x11edge-1\xfe\xffsecret").hexdigest()
    )
    assert handshake.password_digest(b"\xaa", "ann", b"pw") == hashlib.sha512(b"\xaaannpw").hexdigest()
    helo = handshake.Helo(nonce, b"\xaa")
    ping = handshake.read_ping(handshake.ping(helo, "edge-1", salt, b"secret", "ann", b"pw").encode())
    assert (
        ping.proves(nonce, b"secret")
        and not ping.proves(nonce, b"Secret")
        and not ping.proves(b"", b"secret")
    )
    pong = handshake.read_pong(handshake.pong(ping, "hub", nonce, b"secret").encode())
    assert pong.accepted and pong.proves(salt, nonce, b"secret") and not pong.proves(salt, nonce, b"other")
    assert pong.digest != ping.digest, "a server cannot prove the key by echoing"


@pytest.mark.parametrize("mode", list(Mode))
@pytest.mark.parametrize("integer_times", [False, True])
def test_messages_round_trip(mode: Mode, integer_times: bool) -> None:
    entries = [
        Event(
            EventTime(1_700_000_000 + i, 0 if integer_times else i),
            {"n": i, "deep": {"a": [1, None, b"\xff"]}},
        )
        for i in range(1 if mode is Mode.MESSAGE else 50)
    ]
    decoded = message.read(message.build(mode, "a.b", entries, "c1", integer_times=integer_times))
    assert (decoded.mode, decoded.tag, decoded.chunk) == (mode, "a.b", "c1")
    assert list(events.unpack(decoded.entries(LIMIT), 100)) == entries


def split_up(data: bytes, cuts: list[int], most: int = LIMIT) -> list[bytes]:
    frames, out, start = Frames(most), [], 0
    for cut in [*sorted(cut % (len(data) + 1) for cut in cuts), len(data)]:
        frames.feed(data[start:cut])
        start = cut
        while (frame := frames.next()) is not None:
            out.append(frame)
    return out


@given(st.lists(st.integers(0, 10_000), max_size=12))
@settings(max_examples=150, deadline=None)
def test_any_split_gives_the_same_frames(cuts: list[int]) -> None:
    whole = [HELO, MESSAGE, b"\xc0", MESSAGE_ACK, FORWARD, PACKED, compressed([ENTRIES]), b"\xc0"]
    assert split_up(b"".join(whole), cuts) == whole


def test_byte_by_byte_and_large() -> None:
    big = message.build(Mode.FORWARD, "a", [Event(EventTime(1), {"n": i}) for i in range(3000)], "c")
    data = MESSAGE + big + MESSAGE
    assert split_up(data, list(range(0, len(data), 7))) == [MESSAGE, big, MESSAGE]


def test_an_idle_stream_buffers_nothing() -> None:
    frames = Frames(10 * LIMIT)
    big = packb("x" * 3_000_000)
    frames.feed(big)
    assert frames.next() == big and frames.partial == 0
    assert frames.stepper is None, "the stepper's buffer never shrinks, so it must be released"


def test_claimed_sizes_allocate_nothing_and_values_are_bounded() -> None:
    frames = Frames(1000)
    frames.feed(b"\xdd\xff\xff\xff\xff" + b"\xc0" * 900)  # an array header that claims 4,294,967,295 elements
    assert frames.next() is None
    frames.feed(b"\xc0" * 200)
    with pytest.raises(ForwardError, match="more than 1000 bytes"):
        frames.next()
    frames = Frames(1000)
    frames.feed(packb("x" * 2000))
    with pytest.raises(ForwardError, match="more than 1000 bytes"):
        frames.next()
    deep = Frames(LIMIT)
    deep.feed(b"\x91" * 5000)
    with pytest.raises(ForwardError, match="nested"):
        deep.next()
    bad = Frames(LIMIT)
    bad.feed(b"\xc1")
    with pytest.raises(ForwardError, match="no msgpack"):
        bad.next()


@pytest.mark.parametrize(
    ("frame", "expected"),
    [
        (packb("x"), "no message"),
        (packb([]), "at least a tag"),
        (packb(["t"]), "at least a tag"),
        (packb([1, 2, {}]), "the tag is no string"),
        (packb(["t" * 2000, 1, {}]), "longer than"),
        (packb(["t", 1]), "without a record"),
        (packb(["t", 1, {}, {}, 1]), "no message"),
        (packb(["t", b"", 7]), "options are no map"),
        (packb(["t", b"", {"chunk": 7}]), "chunk is no string"),
        (packb(["t", b"", {"compressed": "lzma"}]), "unknown compression"),
        (packb(["t", [[1, {}]], {"compressed": "gzip"}]), "only packed"),
        (b"\x93\xa1\xff\x01\x80", "no UTF-8"),
    ],
)
def test_bad_messages(frame: bytes, expected: str) -> None:
    with pytest.raises(ForwardError, match=expected):
        message.read(frame)


@pytest.mark.parametrize(
    ("entries", "expected"),
    [
        (packb(7), "entry 0 is no array"),
        (packb([1, {}, 2]), "entry 0 is no array"),
        (packb([1, {}]) + packb([1, [2]]), "entry 1 has no map"),
        (packb([1, "text"]), "entry 0 has no map"),
        (packb(["now", {}]), "no time"),
        (packb([-5, {}]), "no time"),
        (packb([True, {}]), "no time"),
        (packb([ExtType(0, b"\0" * 7), {}]), "no time"),
        (packb([ExtType(1, b"\0" * 8), {}]), "no time"),
        (packb([ExtType(0, b"\0\0\0\1\xff\xff\xff\xff"), {}]), "no time"),
        (packb([1, {}]) + b"\x92\x01", "entry 1 is cut off"),
        (b"\xc1", "no msgpack"),
        (packb([1, {}]) * 101, "more than 100 entries"),
        (b"\x92\x01\x81\x90\x01", "no msgpack"),  # an array as a key
        (b"\x92\x01\x81\xa1a" + b"\x91" * 80 + b"\x01", "nested deeper"),
        (b"\x92\x01\xdf\xff\xff\xff\xff", "cut off"),
    ],
)
def test_bad_entries(entries: bytes, expected: str) -> None:
    with pytest.raises(ForwardError, match=expected):
        list(events.unpack(entries, 100))


def test_gzip_bombs_and_truncated_members() -> None:
    bomb = gzip.compress(b"\0" * 50_000_000)
    assert len(bomb) < 100_000
    with pytest.raises(ForwardError, match="when decompressed"):
        events.gunzip(bomb, LIMIT)
    with pytest.raises(ForwardError, match="when decompressed"):
        events.gunzip(gzip.compress(b"a" * 600_000) * 2, LIMIT)  # the second member exceeds the limit
    for damaged in (bomb[:-4], b"\x1f\x8b", b"nothing", gzip.compress(b"x") + b"tail"):
        with pytest.raises(ForwardError):
            events.gunzip(damaged, 100_000_000)
    assert events.gunzip(gzip.compress(b"a" * LIMIT), LIMIT) == b"a" * LIMIT
    assert events.gunzip(b"", LIMIT) == b""


def test_json_lines_convert_what_json_cannot_hold() -> None:
    record = {
        "text": "ä",
        "raw": b"\xff\x00",
        7: "number",
        "none": None,
        "big": 1 << 63,
        "nan": float("nan"),
        "ext": ExtType(9, b"z"),
    }
    data = packb([ExtType(0, (1_700_000_000).to_bytes(4, "big") + (5).to_bytes(4, "big")), record])
    content, count = events.lines("t.x", events.unpack(data + packb([1, {"m": 1}]), 9))
    first, second = (json.loads(line) for line in content.splitlines())
    assert count == 2 and second == {
        "tag": "t.x",
        "time": "1970-01-01T00:00:01.000000000Z",
        "record": {"m": 1},
    }
    assert first["time"] == "2023-11-14T22:13:20.000000005Z"
    assert first["record"] == {
        "text": "ä",
        "raw": "/wA=",
        "7": "number",
        "none": None,
        "big": 1 << 63,
        "nan": None,
        "ext": {"ext": 9, "data": "eg=="},
    }
    bad = b"\x92\x01\x81\xa1a\xa2\xff\xfe"  # text that is no UTF-8
    assert json.loads(events.lines("t", events.unpack(bad, 9))[0])["record"] == {"a": "\ufffd\ufffd"}


def test_payloads_become_one_event_and_entries_are_unchanged() -> None:
    tag, packed, count = events.of_payload(Payload(events.PACKED, ENTRIES, "my.tag"), "default", 5.0)
    assert (tag, packed, count) == ("my.tag", ENTRIES, 2)
    tag, packed, count = events.of_payload(Payload("application/json", b'{"a":1}', "s"), "default", 5.5)
    (decoded,) = events.unpack(packed, 9)
    assert (tag, count) == ("default", 1) and decoded.time == EventTime(5, 500_000_000)
    assert decoded.record == {"content_type": "application/json", "subject": "s", "content": '{"a":1}'}
    _, packed, _ = events.of_payload(Payload("application/pdf", b"\xff\xfe", ""), "d", 1.0)
    assert unpackb(packed, strict_map_key=False)[1]["content"] == b"\xff\xfe"
