"""Envelopes: what is opened, what is dropped and why; and who is in a copies file."""

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


def wire(own: str, generation: int = 7, *keys: bytes) -> EnvelopeCodec:
    return EnvelopeCodec(own, generation, Keys(keys or (OLD_KEY,)))


def reason(to: EnvelopeCodec, datagram: bytes, once: tuple[str, ...] = KINDS) -> str:
    try:
        to.open(datagram, KNOWN, KINDS, once)
    except Dropped as dropped:
        return dropped.reason
    return "taken"


def sealed(data: bytes, version: int = VERSION, key: bytes = OLD_KEY) -> bytes:
    head = bytes([version])
    return head + Keys([key]).seal(head + data) + data


def test_an_envelope_comes_back_whole() -> None:
    got = wire("b").open(wire("a").seal("b", "log", b"x" * MAX_BODY_BYTES), KNOWN, KINDS, KINDS)
    assert got == Envelope("log", "a", "b", 7, 1, b"x" * MAX_BODY_BYTES)
    with pytest.raises(Dropped, match="large"):
        wire("a").seal("b", "log", b"x" * (MAX_BODY_BYTES + 1))


def test_reasons() -> None:
    own, good = wire("b"), wire("a").seal("b", "live", b"1")
    later = msgspec.msgpack.encode(["live", "a", "b", 7, 2, b"", "a field of tomorrow", 5])
    assert reason(own, sealed(later)) == "taken"  # a later version's field at the end
    assert reason(own, bytes([VERSION + 1]) + good[1:]) == "version"
    assert reason(own, sealed(later, version=0)) == "version"
    assert reason(own, b"x" * (MAX_BODY_BYTES + 1_000)) == "large"
    assert reason(own, good[:DIGEST_BYTES]) == "short" and reason(own, b"") == "short"
    assert reason(own, sealed(b"\xc1")) == "form"
    assert reason(own, sealed(msgspec.msgpack.encode(["live", "a", "b", -1, 2, b""]))) == "form"
    assert reason(own, wire("d").seal("b", "live", b"")) == "stranger"
    assert reason(own, wire("b").seal("b", "live", b"")) == "stranger"
    assert reason(own, wire("a").seal("c", "live", b"")) == "misdirected"
    assert (
        reason(own, sealed(msgspec.msgpack.encode(["log", "a", "b", 7, 3, b"x" * (MAX_BODY_BYTES + 1)])))
        == "large"
    )
    assert reason(own, wire("c").seal("b", "news", b"")) == "kind"
    assert reason(own, wire("a", 7, NEW_KEY).seal("b", "live", b"")) == "seal"


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=200), st.integers(0, 79), st.integers(1, 255))
def test_nothing_but_dropped_is_raised_and_no_flipped_bit_passes(noise: bytes, at: int, flip: int) -> None:
    own, good = wire("b"), bytearray(wire("a").seal("b", "live", b"y" * 60))
    good[at] ^= flip
    assert reason(own, bytes(good)) in ("seal", "version")
    assert reason(own, noise) != "taken" and reason(own, sealed(noise)) != "taken"


def test_doubled_late_and_older_lives() -> None:
    own, sender = wire("b"), wire("a", 7)
    first, second = sender.seal("b", "live", b""), sender.seal("b", "live", b"")
    assert [reason(own, one) for one in (second, first, first, second)] == [
        "taken",
        "taken",
        "doubled",
        "doubled",
    ]
    assert reason(own, second, once=()) == "taken"  # a kind that does not ask for it
    newer = wire("a", 8)
    assert reason(own, newer.seal("b", "live", b"")) == "taken"
    assert reason(own, sender.seal("b", "live", b"")) == "old_life"
    sender.begin_generation(9)
    assert reason(own, sender.seal("b", "live", b"")) == "taken"
    for _ in range(WIDTH):
        last = sender.seal("b", "live", b"")
    early = sealed(msgspec.msgpack.encode(Envelope("live", "a", "b", 9, 1, b"")))
    assert reason(own, last) == "taken" and reason(own, early) == "late"
    own.forget_unlisted(("c",))
    assert own.windows == {}


def test_a_window_agrees_with_a_set() -> None:
    rng, window, seen, top = random.Random(3), ReplayWindow(1), set[int](), 0
    for _ in range(5_000):
        number = max(
            1, top + rng.randint(-WIDTH - 50, 60) if rng.random() < 0.98 else top + rng.randint(1, 3_000)
        )
        want = SEEN if number in seen else NEW
        if top - number >= WIDTH:
            want = OLD
        assert window.take(number) == want
        if want != OLD:
            seen.add(number)
        top = max(top, number)


def test_keys_change_in_service() -> None:
    old, both, new = wire("a", 7, OLD_KEY), wire("b", 7, NEW_KEY, OLD_KEY), wire("c", 7, NEW_KEY)
    assert reason(both, old.seal("b", "live", b"")) == "taken"
    assert reason(both, new.seal("b", "live", b"")) == "taken"
    assert reason(new, both.seal("c", "live", b"")) == "taken"
    assert reason(old, both.seal("a", "live", b"")) == "seal"  # give all the new one as the second first
    assert read_key(b" " + OLD_KEY + b"\n", "peers.key") == OLD_KEY
    assert reason(wire("b", 7, b"k" * 90), wire("a", 7, b"k" * 90).seal("b", "live", b"")) == "taken"
    with pytest.raises(KeyFault, match="peers.key: a key of 5 bytes"):
        read_key(b"short\n", "peers.key")
    with pytest.raises(KeyFault, match="keys: none"):
        Keys([])


def copy(name: str, port: int, site: str = "s1", host: str = "127.0.0.1") -> Copy:
    return Copy(name, site, "r1", f"{host}:{port}")


def test_a_fleet_and_its_changes() -> None:
    old = Fleet("a", [copy("a", 1), copy("b", 2, "s2"), copy("c", 3)])
    new = Fleet("a", [copy("a", 1), copy("b", 5, "s2"), copy("d", 4, host="[::1]")])
    assert [one.name for one in old.others] == ["b", "c"] and old.outside("b") and not old.outside("c")
    assert {site: len(there) for site, there in old.by_site.items()} == {"s1": 2, "s2": 1}
    change = new.changed(old)
    assert [*change.added, *change.removed, *change.moved] == ["d", "c", "b"] and not new.changed(new)
    assert new.by_name["d"].host_port() == ("::1", 4)


@pytest.mark.parametrize(
    ("copies", "words"),
    [
        ([copy("b", 1)], "no entry of the own name 'a'"),
        ([copy("a", 1), copy("a", 2)], "a: name stands twice"),
        ([copy("a", 1), copy("b", 1)], "b: address is that of a too"),
        ([copy("a", 1, site="")], "'a': site"),
        ([copy("a", 1), copy("b\n", 2)], "name"),
        ([copy("a", 1), copy("b", 70_000)], "b: address: .* is no host:port"),
        ([copy("a", 1), copy("b", 2, host="")], "b: address"),
    ],
)
def test_a_file_that_makes_no_sense_is_refused_by_field(copies: list[Copy], words: str) -> None:
    with pytest.raises(CopiesError, match=words):
        Fleet("a", copies)
