"""The decoder gives the same result however the bytes are split, and bounds what it buffers."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.lab.standins.relay_client import Client
from brassweir.resp import codec

PARTS = st.lists(st.lists(st.binary(max_size=60), min_size=1, max_size=6), min_size=1, max_size=5)


def read(pieces: list[bytes]) -> tuple[list[list[bytes]], str, int]:
    """Returns the commands, the error, and the most bytes buffered after any piece."""
    decoder, commands, error, max_buffered = codec.Decoder(), [], "", 0
    for piece in pieces:
        decoder.feed(piece)
        try:
            while (args := decoder.next()) is not None:
                commands.append(args)
        except codec.Malformed as malformed:
            error = str(malformed)
        max_buffered = max(max_buffered, len(decoder.buffer) + sum(map(len, decoder.args)))
    return commands, error, max_buffered


def split(data: bytes, places: list[int]) -> list[bytes]:
    cuts = sorted({0, len(data), *(place % (len(data) + 1) for place in places)})
    return [data[a:b] for a, b in zip(cuts, cuts[1:], strict=False)]


@settings(max_examples=200, derandomize=True, deadline=None)
@given(PARTS, st.lists(st.integers(0, 10_000), max_size=20))
def test_any_split_gives_the_same_commands(commands: list[list[bytes]], places: list[int]) -> None:
    data = b"".join(Client.command(*parts) for parts in commands)
    assert read(split(data, places))[:2] == (commands, "")


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.binary(max_size=300) | st.text("*$0123456789-\r\n", max_size=60).map(str.encode),
    st.lists(st.integers(0, 300), max_size=6),
)
def test_any_bytes_give_commands_an_error_or_a_wait(data: bytes, places: list[int]) -> None:
    unsplit = read([data])
    assert read(split(data, places))[:2] == unsplit[:2]


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*99999\r\n",
        b"*1\r\n$-5\r\n",
        b"*1\r\n$60000000\r\n",
        b"*1\r\n$99999999999999999999\r\n",
        b"*x\r\n",
        b"*1\r\n:5\r\n",
        b"*1\r\n$3\r\nabcd\r\n",
        b"*1\r\n$3\r\nabcde",
        b"*" + b"1" * 100,
        b"*2\r\n$65000\r\n" + b"x" * 65000 + b"\r\n$5000\r\n",
        b"*1 \r\n",
        b"*1\n$4\nPING\n" + b" " * 70,
    ],
)
def test_invalid_command_is_rejected_before_it_is_buffered(data: bytes) -> None:
    commands, error, _ = read([data])
    assert commands == [] and error
    decoder = codec.Decoder()
    decoder.feed(data)
    with pytest.raises(codec.Malformed):
        decoder.next()
    decoder.feed(b"x" * 100_000)
    assert decoder.next() is None and not decoder.buffer, "nothing more is buffered"


def test_buffered_bytes_stay_within_the_limit() -> None:
    for length in (codec.MAX_COMMAND_BYTES, codec.MAX_COMMAND_BYTES + 1, 60_000_000):
        pieces = [b"*1\r\n$%d\r\n" % length, *[b"x" * 4096] * 40]
        assert read(pieces)[2] <= codec.MAX_COMMAND_BYTES + 4096 + codec.MAX_LENGTH_LINE_BYTES


def test_replies() -> None:
    assert codec.busy(0.2) == b"-BUSY\r\n" and codec.busy(480.4) == b"-BUSY 480\r\n"
    assert codec.error("no\u00e9") == b"-ERR no?\r\n"
