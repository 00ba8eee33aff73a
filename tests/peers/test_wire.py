"""Envelopes: which datagrams are accepted or dropped, and why; and lists of copies."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.peers.copies import CopiesError, Copy, Fleet
from brassweir.peers.envelope import (
    DIGEST_BYTES,
    MAX_BODY_BYTES,
    VERSION,
    Dropped,
    Envelope,
    EnvelopeCodec,
    KeyFault,
    Keys,
    read_key,
)
from brassweir.peers.replay_window import NEW, OLD, SEEN, WIDTH, ReplayWindow

OLD_KEY, NEW_KEY = b"the key of last year", b"the key of this year"
KNOWN, KINDS = ("a", "b", "c"), ("live", "log")


def codec(own: str, generation: int = 7, *keys: bytes) -> EnvelopeCodec:
    return EnvelopeCodec(own, generation, Keys(keys or (OLD_KEY,)))


def result(to: EnvelopeCodec, datagram: bytes, once: tuple[str, ...] = KINDS) -> str:
    try:
        to.open(datagram, KNOWN, KINDS, once)
    except Dropped as dropped:
        return dropped.reason
    return "taken"


def datagram_of(data: bytes, version: int = VERSION, key: bytes = OLD_KEY) -> bytes:
    head = bytes([version])
    return head + Keys([key]).seal(head + data) + data


def test_an_envelope_is_opened_as_it_was_sealed() -> None:
    got = codec("b").open(codec("a").seal("b", "log", b"x" * MAX_BODY_BYTES), KNOWN, KINDS, KINDS)
    assert got == Envelope("log", "a", "b", 7, 1, b"x" * MAX_BODY_BYTES)
    with pytest.raises(Dropped, match="large"):
        codec("a").seal("b", "log", b"x" * (MAX_BODY_BYTES + 1))


def test_reasons_to_drop_a_datagram() -> None:
    own, good = codec("b"), codec("a").seal("b", "live", b"1")
    later = msgspec.msgpack.encode(["live", "a", "b", 7, 2, b"", "a field of tomorrow", 5])
    assert result(own, datagram_of(later)) == "taken"  # a field that a later version adds
    assert result(own, bytes([VERSION + 1]) + good[1:]) == "version"
    assert result(own, datagram_of(later, version=0)) == "version"
    assert result(own, b"x" * (MAX_BODY_BYTES + 1_000)) == "large"
    assert result(own, good[:DIGEST_BYTES]) == "short" and result(own, b"") == "short"
    assert result(own, datagram_of(b"\xc1")) == "form"
    assert result(own, datagram_of(msgspec.msgpack.encode(["live", "a", "b", -1, 2, b""]))) == "form"
    assert result(own, codec("d").seal("b", "live", b"")) == "stranger"
    assert result(own, codec("b").seal("b", "live", b"")) == "stranger"
    assert result(own, codec("a").seal("c", "live", b"")) == "misdirected"
    assert (
        result(own, datagram_of(msgspec.msgpack.encode(["log", "a", "b", 7, 3, b"x" * (MAX_BODY_BYTES + 1)])))
        == "large"
    )
    assert result(own, codec("c").seal("b", "news", b"")) == "kind"
    assert result(own, codec("a", 7, NEW_KEY).seal("b", "live", b"")) == "seal"


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=200), st.integers(0, 79), st.integers(1, 255))
def test_noise_raises_only_dropped_and_no_altered_bit_passes(noise: bytes, at: int, flip: int) -> None:
    own, good = codec("b"), bytearray(codec("a").seal("b", "live", b"y" * 60))
    good[at] ^= flip
    assert result(own, bytes(good)) in ("seal", "version")
    assert result(own, noise) != "taken" and result(own, datagram_of(noise)) != "taken"


def test_repeated_late_and_old_generations_are_dropped() -> None:
    own, sender = codec("b"), codec("a", 7)
    first, second = sender.seal("b", "live", b""), sender.seal("b", "live", b"")
    assert [result(own, one) for one in (second, first, first, second)] == [
        "taken",
        "taken",
        "doubled",
        "doubled",
    ]
    assert result(own, second, once=()) == "taken"  # a kind without replay protection
    newer = codec("a", 8)
    assert result(own, newer.seal("b", "live", b"")) == "taken"
    assert result(own, sender.seal("b", "live", b"")) == "old_life"
    sender.begin_generation(9)
    assert result(own, sender.seal("b", "live", b"")) == "taken"
    for _ in range(WIDTH):
        last = sender.seal("b", "live", b"")
    early = datagram_of(msgspec.msgpack.encode(Envelope("live", "a", "b", 9, 1, b"")))
    assert result(own, last) == "taken" and result(own, early) == "late"
    own.forget_unlisted(("c",))
    assert own.windows == {}


def test_a_replay_window_agrees_with_a_set() -> None:
    rng, window, seen, top = random.Random(3), ReplayWindow(1), set[int](), 0
    for _ in range(5_000):
        number = max(
            1, top + rng.randint(-WIDTH - 50, 60) if rng.random() < 0.98 else top + rng.randint(1, 3_000)
        )
        expected = SEEN if number in seen else NEW
        if top - number >= WIDTH:
            expected = OLD
        assert window.record(number) == expected
        if expected != OLD:
            seen.add(number)
        top = max(top, number)


def test_keys_are_replaced_without_interruption() -> None:
    old, both, new = codec("a", 7, OLD_KEY), codec("b", 7, NEW_KEY, OLD_KEY), codec("c", 7, NEW_KEY)
    assert result(both, old.seal("b", "live", b"")) == "taken"
    assert result(both, new.seal("b", "live", b"")) == "taken"
    assert result(new, both.seal("c", "live", b"")) == "taken"
    assert (
        result(old, both.seal("a", "live", b"")) == "seal"
    )  # so all copies first need the new key as their second
    assert read_key(b" " + OLD_KEY + b"\n", "peers.key") == OLD_KEY
    assert result(codec("b", 7, b"k" * 90), codec("a", 7, b"k" * 90).seal("b", "live", b"")) == "taken"
    with pytest.raises(KeyFault, match="peers.key: a key of 5 bytes"):
        read_key(b"short\n", "peers.key")
    with pytest.raises(KeyFault, match="keys: none"):
        Keys([])


def copy(name: str, port: int, site: str = "s1", host: str = "127.0.0.1") -> Copy:
    return Copy(name, site, "r1", f"{host}:{port}")


def test_a_list_of_copies_and_its_changes() -> None:
    old = Fleet("a", [copy("a", 1), copy("b", 2, "s2"), copy("c", 3)])
    new = Fleet("a", [copy("a", 1), copy("b", 5, "s2"), copy("d", 4, host="[::1]")])
    assert (
        [one.name for one in old.others] == ["b", "c"]
        and old.at_other_site("b")
        and not old.at_other_site("c")
    )
    assert {site: len(there) for site, there in old.by_site.items()} == {"s1": 2, "s2": 1}
    change = new.changes_from(old)
    assert [*change.added, *change.removed, *change.moved] == ["d", "c", "b"] and not new.changes_from(new)
    assert new.by_name["d"].host_port() == ("::1", 4)


@pytest.mark.parametrize(
    ("copies", "text"),
    [
        ([copy("b", 1)], "no entry for this copy's name 'a'"),
        ([copy("a", 1), copy("a", 2)], "a: name is listed twice"),
        ([copy("a", 1), copy("b", 1)], "b: address is also that of a"),
        ([copy("a", 1, site="")], "'a': site"),
        ([copy("a", 1), copy("b\n", 2)], "name"),
        ([copy("a", 1), copy("b", 70_000)], "b: address: .* is not host:port"),
        ([copy("a", 1), copy("b", 2, host="")], "b: address"),
    ],
)
def test_an_invalid_list_is_rejected_with_its_field(copies: list[Copy], text: str) -> None:
    with pytest.raises(CopiesError, match=text):
        Fleet("a", copies)
