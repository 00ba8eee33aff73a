"""Entries and their validation, catalogs, deltas between them, and size limits."""

from __future__ import annotations

import zlib
from collections import Counter

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.configstream import buckets, delta, validation
from brassweir.configstream.catalog import EMPTY, Catalog, CatalogError
from brassweir.configstream.delta import Delta, DeltaError
from brassweir.configstream.entries import Entry, EntryError, printable, validate
from brassweir.configstream.validation import Confirmation, InvalidChange, apply_delta, apply_packed_delta
from tests.configstream.samples import catalog, entries, entry

GOOD = Entry("e", "http://h:80/x?y=z", "d", kind="webhook", zone="z1", rate=2.0)
BAD = [
    ("name", {"name": "two words"}),
    ("name", {"name": ""}),
    ("url", {"url": "https://user@h/"}),
    ("url", {"url": "http://h:65536/"}),
    ("url", {"url": "http://h/" + "x" * 2_000}),
    ("url", {"url": "forward://h:1/path"}),
    ("url", {"url": "http://h/a b"}),
    ("destination", {"destination": ""}),
    ("destination", {"partner": "p"}),
    ("partner", {"destination": "", "partner": " p"}),
    ("kind", {"kind": "k\n"}),
    ("zone", {"zone": "z" * 121}),
    ("state", {"state": "well"}),
    ("rate", {"rate": float("nan")}),
    ("rate", {"rate": -0.5}),
]


@pytest.mark.parametrize(("field", "change"), BAD)
def test_an_invalid_entry_is_reported_with_its_field(field: str, change: dict[str, str]) -> None:
    bad = msgspec.structs.replace(GOOD, **change)
    with pytest.raises(EntryError) as caught:
        validate(bad)
    assert caught.value.field == field
    assert str(caught.value).startswith(f"endpoint {printable(bad.name)}: {field}: ")
    with pytest.raises(InvalidChange) as refused:
        apply_packed_delta(EMPTY, delta.pack(Delta((bad,))))
    assert refused.value.field == "entry" and refused.value.reason == str(caught.value)


@pytest.mark.parametrize("url", ["http://[::1]:80/x", "https://h", "forward://h:9", "http://a.b-c_d:/?q"])
def test_valid_urls_are_accepted(url: str) -> None:
    validate(msgspec.structs.replace(GOOD, url=url))


@pytest.mark.parametrize(
    ("row", "words"),
    [
        (["e", 5, "d"], "endpoint e: url: not of its type"),
        (["e"], "endpoint e: url: missing"),
        ([*msgspec.structs.astuple(GOOD), 1], "endpoint e: rate: more fields than an entry has"),
        ([*msgspec.structs.astuple(GOOD)[:-1], "1"], "endpoint e: rate: not of its type"),
        ({"name": "e"}, "endpoint ?: name: not an entry's list of fields"),
    ],
)
def test_an_undecodable_entry_is_reported_with_its_field(row: object, words: str) -> None:
    data = zlib.compress(msgspec.msgpack.encode([[msgspec.structs.astuple(GOOD), row], []]))
    with pytest.raises(EntryError, match=f"^{words.replace('?', '[?]')}$"):
        delta.unpack(data)


def test_decompressed_and_total_sizes_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(delta, "MAX_UNPACKED_BYTES", 10_000)
    for bomb in (b"\0" * 10_001, b"\0" * 5_000_000):
        with pytest.raises(DeltaError, match="more than 10000 bytes when decompressed"):
            delta.unpack(zlib.compress(bomb))
    monkeypatch.undo()
    crowd = msgspec.msgpack.encode([[["e", "u"]] * (delta.MAX_ENTRIES + 1), []])
    with pytest.raises(DeltaError, match="^no delta$"):
        delta.unpack(zlib.compress(crowd))
    monkeypatch.setattr(validation, "MAX_ENTRIES_BYTES", 5_000)
    with pytest.raises(InvalidChange, match="bytes of endpoints; 5000 are the most"):
        apply_delta(EMPTY, Delta(tuple(entries(100))))
    monkeypatch.setattr(validation, "MAX_ENTRIES", 99)
    with pytest.raises(InvalidChange, match="100 endpoints; 99 are the most"):
        apply_delta(EMPTY, Delta(tuple(entries(100))))


def test_an_endpoint_that_is_gone_counts_as_removed() -> None:
    current = apply_delta(EMPTY, Delta((*entries(40), entry(40, owner="d1"), entry(41, state="gone"))))
    assert current.size == 42 and current.owner_counts["d1"] == 2 and "d41" not in current.owner_counts
    assert apply_delta(current, Delta((entry(1, state="gone"),))).owner_counts["d1"] == 1
    assert apply_delta(current, Delta((), ("e41",))).size == 41, (
        "an entry that was gone does not count as removed"
    )
    for lost in (Delta((entry(2, state="gone"),)), Delta((entry(2, owner="d3"),))):
        with pytest.raises(InvalidChange, match="1 would be left with no endpoint, and 0 are confirmed: d2"):
            apply_delta(current, lost)
    with pytest.raises(InvalidChange, match="5 of 42 endpoints would be removed at once"):
        apply_delta(current, Delta(tuple(entry(n, state="gone") for n in range(5)), ()), Confirmation(4, 5))
    assert len(apply_delta(current, Delta((entry(2, owner="d3"),)), Confirmation(0, 1)).owner_counts) == 39


def test_unchanged_buckets_are_shared_and_damaged_ones_rejected() -> None:
    current = catalog(2_000)
    after = apply_delta(current, Delta((entry(7, 1.0),)))
    assert sum(one is not other for one, other in zip(current._entries, after._entries, strict=True)) == 1
    assert current._owners == after._owners and len(list(current.differing_buckets(after))) == 1
    data = after.pack()
    assert Catalog.unpack(data).digest() == after.digest() != current.digest()
    packed = after._entries[buckets.bucket_index("e7")].packed
    for bad in (b"", data[:-1], data.replace(packed, packed[::-1])):
        with pytest.raises(CatalogError):
            Catalog.unpack(bad)


def test_the_digest_does_not_depend_on_compression(monkeypatch: pytest.MonkeyPatch) -> None:
    first = catalog(50)
    monkeypatch.setattr(buckets, "COMPRESSION_LEVEL", 9)
    second = catalog(50)
    assert first.pack() != second.pack() and first.digest() == second.digest()


def test_a_duplicate_name_in_a_list_is_rejected() -> None:
    with pytest.raises(DeltaError, match="endpoint e1 stands more than once"):
        delta.diff_entries(EMPTY, [entry(1), entry(2), entry(1)])


@pytest.mark.parametrize("field", [name for name in Entry.__struct_fields__ if name != "name"])
def test_a_change_of_one_field_is_a_delta_and_outlives_the_snapshot(field: str) -> None:
    """Guards against a field that takes no part in what is saved and sent as a difference."""
    before = EMPTY.apply([GOOD, entry(1)], ()).catalog
    values = {"url": "http://other:81/", "state": "draining", "rate": 3.0}
    changed = msgspec.structs.replace(GOOD, **{field: values.get(field, "other")})
    computed = delta.diff_entries(before, [changed, entry(1)])
    assert computed == Delta((changed,), ())
    after = before.apply(computed.changed, computed.removed).catalog
    assert set(Catalog.unpack(after.pack()).entries()) == {changed, entry(1)}
    assert after.digest() != before.digest() and delta.diff_catalogs(before, after) == computed


lists = st.dictionaries(
    st.integers(0, 12),
    st.tuples(st.integers(0, 2), st.sampled_from(["ready", "gone"]), st.sampled_from(["", "d0", "d1"])),
).map(lambda drawn: [entry(number, rate, state, owner) for number, (rate, state, owner) in drawn.items()])


@given(st.lists(lists, max_size=3))
@settings(max_examples=100, deadline=None)
def test_deltas_lead_from_any_list_to_any_other(drawn: list[list[Entry]]) -> None:
    current, deltas = EMPTY, []
    for wanted in drawn:
        computed = delta.diff_entries(current, wanted)
        after = current.apply(computed.changed, computed.removed).catalog
        rebuilt = EMPTY.apply(wanted, ()).catalog
        assert (
            after.digest() == rebuilt.digest()
            and after.size == len(wanted)
            and after.pack() == rebuilt.pack()
        )
        assert dict(after.owner_counts) == Counter(one.owner for one in wanted if one.usable)
        assert not delta.diff_entries(after, wanted) and set(after.entries()) == set(wanted)
        between = delta.diff_catalogs(current, after)
        assert set(between.changed) == set(computed.changed) and set(between.removed) == set(computed.removed)
        assert delta.unpack(delta.pack(computed)) == computed
        current = after
        deltas.append(computed)
    merged = delta.merge(deltas)
    assert {one.name for one in merged.changed} >= {one.name for one in current.entries()}
    assert EMPTY.apply(merged.changed, ()).catalog.digest() == current.digest()


@given(st.binary(max_size=200))
@settings(max_examples=200, deadline=None)
def test_arbitrary_bytes_are_rejected_with_an_error(noise: bytes) -> None:
    for body in (
        noise,
        zlib.compress(noise),
        zlib.compress(b"\x92\x91" + noise),
        zlib.compress(b"\x92\x91\x98" + noise),
    ):
        try:
            apply_packed_delta(EMPTY, body)
        except InvalidChange as error:
            assert error.field in {"body", "entry", "name", "size"}
