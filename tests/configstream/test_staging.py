"""Pieces on their way: bounded, dropped by places of the log, and whatever bytes come alike on every copy."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.agreed import commands as agreed
from brassweir.configstream import commands, delta, staging
from brassweir.configstream.commands import Abandon, Change, Commit, Stage
from brassweir.configstream.delta import Delta
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.configstream.staging import Staging
from brassweir.configstream.validation import Confirmation
from tests.configstream.samples import catalog, entries, level_2


def test_what_was_added_to_least_recently_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(staging, "MAX_TRANSFERS", 2)
    there = Staging()
    for index, name in enumerate("abac", 1):
        assert there.add(index, Stage(name, index, b"x")) == ""
    assert list(there.transfers) == ["a", "c"] and there.size == 3
    monkeypatch.setattr(staging, "MAX_STAGED_BYTES", 4)
    there.add(5, Stage("a", 5, b"xx"))
    assert list(there.transfers) == ["a"] and there.size == 4
    there.add(5 + staging.STALE_AFTER_ENTRIES, Stage("d", 0, b"x"))
    assert list(there.transfers) == ["d"], "no room for both"
    there.add(6 + 2 * staging.STALE_AFTER_ENTRIES, Stage("e", 0, b"x"))
    assert list(there.transfers) == ["e"] and there.size == 1, "d was not added to for long"
    assert Staging(there.snapshot()).snapshot() == there.snapshot()


names = st.sampled_from(["t", "u", "v"])
versions = st.integers(0, 8)
digests = st.sampled_from(["0" * 32, catalog(3).digest(), catalog(4).digest()])
packed = st.sampled_from([delta.pack(Delta(tuple(entries(count)))) for count in (3, 4)])
bodies = packed | st.binary(min_size=1, max_size=20)
confirmations = st.builds(Confirmation, st.integers(0, 3), st.integers(0, 3))
known: st.SearchStrategy[commands.AnyCommand] = st.one_of(
    st.builds(Stage, names, st.integers(0, 2), bodies),
    st.builds(Commit, names, versions, st.integers(1, 2), digests, names, confirmations),
    st.builds(Change, versions, bodies, digests, names, confirmations),
    st.builds(Abandon, names),
)
noise = st.binary(max_size=30).map(lambda body: msgspec.msgpack.encode((2, msgspec.Raw(body or b"\xc0"))))
logs = st.lists(known.map(commands.encode) | noise | st.binary(max_size=30), max_size=15)


@given(logs, st.integers(0, 15))
@settings(max_examples=150, deadline=None)
def test_the_same_log_makes_the_same_state_whenever_a_copy_began(log: list[bytes], cut: int) -> None:
    whole, later = level_2(ConfiguredMachine()), level_2(ConfiguredMachine())
    for number, data in enumerate(log):
        index = whole.state.index + 1
        if number == cut:
            later = ConfiguredMachine()
            later.restore(whole.snapshot())
        result = whole.apply(index, data)
        assert later.apply(index, data) == result and later.digest() == whole.digest()
        assert agreed.decode_result(result).version <= index
    assert later.snapshot() == whole.snapshot()
    assert whole.configuration.staging.size == sum(
        one.size for one in whole.configuration.staging.transfers.values()
    )
