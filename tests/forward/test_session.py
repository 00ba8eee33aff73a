"""Sessions: who is admitted, who is denied, and bytes that nobody meant."""

from __future__ import annotations

import json

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from msgpack import packb

from brassweir.forward import events, handshake, message
from brassweir.forward.errors import ForwardError
from brassweir.forward.session import Admitted, Came, Denied, Session
from tests.forward.transcripts import (
    ENTRIES,
    FORWARD,
    HELO,
    MESSAGE_ACK,
    MOST,
    PACKED,
    compressed,
)


class Gate:
    def keys(self, source: str) -> tuple[bytes, ...]:
        return {"edge": (b"new", b"old")}.get(source, ())

    def password(self, source: str, username: str) -> bytes | None:
        return b"pw" if (source, username) == ("edge", "ann") else None

    def needs_user(self) -> bool:
        return True


def session() -> Session:
    return Session(Gate(), "hub", b"nonce", b"salt", MOST)


def greet(
    one: Session, name: str = "edge", key: bytes = b"new", user: str = "ann", pw: bytes = b"pw"
) -> object:
    helo = handshake.read_helo(one.hello())
    one.feed(handshake.ping(helo, name, b"s", key, user, pw).encode())
    return next(one.events())


def test_sessions_admit_who_proves_the_key() -> None:
    for key in (b"new", b"old"):
        one = session()
        verdict = greet(one, key=key)
        assert isinstance(verdict, Admitted) and verdict.source == "edge"
        assert handshake.read_pong(verdict.say).proves(b"s", b"nonce", key)
        one.feed(MESSAGE_ACK + b"\xc0")
        came = list(one.events())
        assert [type(event) for event in came] == [Came, Came]
        assert isinstance(came[1], Came) and came[1].message is None


@pytest.mark.parametrize(
    "kwargs",
    [
        {"name": "nobody"},
        {"name": ""},
        {"key": b"wrong"},
        {"key": b""},
        {"user": "eve"},
        {"pw": b"guess"},
        {"user": ""},
    ],
)
def test_sessions_deny_the_rest_and_say_no_more_than_needed(kwargs: dict[str, object]) -> None:
    one = session()
    verdict = greet(one, **kwargs)  # type: ignore[arg-type]
    assert isinstance(verdict, Denied)
    pong = handshake.read_pong(verdict.say)
    assert not pong.good and pong.digest == "" and "edge" not in pong.reason
    assert not one.source


def test_a_chunk_before_the_handshake_is_not_looked_at() -> None:
    one = session()
    one.feed(MESSAGE_ACK)
    assert isinstance(next(one.events()), Denied)
    two = session()
    two.feed(b"\xc6\x00\xff\xff\xff" + b"x" * 5000)  # sixteen megabytes announced
    with pytest.raises(ForwardError, match="4096"):
        list(two.events())


values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(1 << 63), (1 << 64) - 1)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=4) | st.integers(0, 9) | st.binary(max_size=3), inner, max_size=4)
    ),
    max_leaves=12,
)


def read_all(data: bytes) -> None:
    """Everything that bytes from a source go through. Raises ForwardError at most."""
    one = session()
    assert isinstance(greet(one), Admitted)
    one.feed(data)
    for event in one.events():
        if isinstance(event, Came) and event.message is not None:
            entries = event.message.entries(MOST)
            content, _ = events.lines(event.message.tag, events.unpack(entries, 1000))
            for line in content.splitlines():
                if line:
                    json.loads(line)


@given(
    st.binary(max_size=200)
    | values.map(packb)
    | st.lists(values, min_size=1, max_size=5).map(packb)
    | st.tuples(st.text(max_size=4), st.lists(st.tuples(st.integers(0, 1 << 31), values), max_size=3)).map(
        packb
    )
    | st.lists(
        st.tuples(st.integers(0, 1 << 31), st.dictionaries(st.text(max_size=3), values, max_size=3)).map(
            packb
        )
    ).map(lambda parts: packb(["t", b"".join(parts), {"chunk": "c"}]))
)
@example(PACKED[:-3])
@example(b"\x93\xa1t\x90\xc1")
@settings(max_examples=600, deadline=None)
def test_fuzzing_raises_nothing_but_its_own_error(data: bytes) -> None:
    try:
        read_all(data)
    except ForwardError:
        pass


@given(
    st.binary(max_size=120),
    st.integers(0, 200),
    st.sampled_from([MESSAGE_ACK, FORWARD, PACKED, compressed([ENTRIES]), HELO]),
)
@settings(max_examples=400, deadline=None)
def test_damaged_transcripts_raise_nothing_else(noise: bytes, at: int, good: bytes) -> None:
    at %= len(good)
    for data in (good[:at] + noise + good[at:], good[:at] + noise + good[at + len(noise) :]):
        for read in (
            read_all,
            message.read,
            message.read_ack,
            handshake.read_helo,
            handshake.read_ping,
            handshake.read_pong,
        ):
            try:
                read(data)
            except ForwardError:
                pass
