"""Sessions: authentication, and malformed input."""

from __future__ import annotations

import json

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from msgpack import packb

from brassweir.forward import events, handshake, message
from brassweir.forward.errors import ForwardError
from brassweir.forward.session import Admitted, Denied, ReceivedMessage, Session
from tests.forward.transcripts import (
    ENTRIES,
    FORWARD,
    HELO,
    LIMIT,
    MESSAGE_ACK,
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


def make_session() -> Session:
    return Session(Gate(), "hub", b"nonce", b"salt", LIMIT)


def authenticate(
    session: Session, name: str = "edge", key: bytes = b"new", user: str = "ann", pw: bytes = b"pw"
) -> object:
    helo = handshake.read_helo(session.hello())
    session.feed(handshake.ping(helo, name, b"s", key, user, pw).encode())
    return next(session.events())


def test_sources_that_prove_a_key_are_admitted() -> None:
    for key in (b"new", b"old"):
        session = make_session()
        verdict = authenticate(session, key=key)
        assert isinstance(verdict, Admitted) and verdict.source == "edge"
        assert handshake.read_pong(verdict.reply).proves(b"s", b"nonce", key)
        session.feed(MESSAGE_ACK + b"\xc0")
        received = list(session.events())
        assert [type(event) for event in received] == [ReceivedMessage, ReceivedMessage]
        assert isinstance(received[1], ReceivedMessage) and received[1].message is None


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
def test_denied_sources_learn_no_names_or_digests(kwargs: dict[str, object]) -> None:
    session = make_session()
    verdict = authenticate(session, **kwargs)  # type: ignore[arg-type]
    assert isinstance(verdict, Denied)
    pong = handshake.read_pong(verdict.reply)
    assert not pong.accepted and pong.digest == "" and "edge" not in pong.reason
    assert not session.source


def test_chunks_before_the_handshake_are_rejected() -> None:
    session = make_session()
    session.feed(MESSAGE_ACK)
    assert isinstance(next(session.events()), Denied)
    other = make_session()
    other.feed(b"\xc6\x00\xff\xff\xff" + b"x" * 5000)  # a header that claims 16 MB
    with pytest.raises(ForwardError, match="4096"):
        list(other.events())


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


def decode_all(data: bytes) -> None:
    """Pass bytes from a source through all decoders. Raises ForwardError and nothing else."""
    session = make_session()
    assert isinstance(authenticate(session), Admitted)
    session.feed(data)
    for event in session.events():
        if isinstance(event, ReceivedMessage) and event.message is not None:
            entries = event.message.entries(LIMIT)
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
def test_fuzzed_input_raises_only_forward_error(data: bytes) -> None:
    try:
        decode_all(data)
    except ForwardError:
        pass


@given(
    st.binary(max_size=120),
    st.integers(0, 200),
    st.sampled_from([MESSAGE_ACK, FORWARD, PACKED, compressed([ENTRIES]), HELO]),
)
@settings(max_examples=400, deadline=None)
def test_damaged_transcripts_raise_only_forward_error(noise: bytes, at: int, transcript: bytes) -> None:
    at %= len(transcript)
    for data in (
        transcript[:at] + noise + transcript[at:],
        transcript[:at] + noise + transcript[at + len(noise) :],
    ):
        for decode in (
            decode_all,
            message.read,
            message.read_ack,
            handshake.read_helo,
            handshake.read_ping,
            handshake.read_pong,
        ):
            try:
                decode(data)
            except ForwardError:
                pass
