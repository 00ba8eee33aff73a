"""Staged transfers: bounded, evicted by log index, and the same on every copy for any log."""

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


def test_the_transfer_least_recently_added_to_is_evicted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(staging, "MAX_TRANSFERS", 2)
    staged = Staging()
    for index, name in enumerate("abac", 1):
        assert staged.add(index, Stage(name, index, b"x")) == ""
    assert list(staged.transfers) == ["a", "c"] and staged.size == 3
    monkeypatch.setattr(staging, "MAX_STAGED_BYTES", 4)
    staged.add(5, Stage("a", 5, b"xx"))
    assert list(staged.transfers) == ["a"] and staged.size == 4
    staged.add(5 + staging.STALE_AFTER_ENTRIES, Stage("d", 0, b"x"))
    assert list(staged.transfers) == ["d"], "the limit allows only one of them"
    staged.add(6 + 2 * staging.STALE_AFTER_ENTRIES, Stage("e", 0, b"x"))
    assert list(staged.transfers) == ["e"] and staged.size == 1, "d is stale"
    assert Staging(staged.snapshot()).snapshot() == staged.snapshot()


names = st.sampled_from(["t", "u", "v"])
versions = st.integers(0, 8)
digests = st.sampled_from(["0" * 32, catalog(3).digest(), catalog(4).digest()])
packed = st.sampled_from([delta.pack(Delta(tuple(entries(count)))) for count in (3, 4)])
bodies = packed | st.binary(min_size=1, max_size=20)
confirmations = st.builds(Confirmation, st.integers(0, 3), st.integers(0, 3))
any_command: st.SearchStrategy[commands.AnyCommand] = st.one_of(
    st.builds(Stage, names, st.integers(0, 2), bodies),
    st.builds(Commit, names, versions, st.integers(1, 2), digests, names, confirmations),
    st.builds(Change, versions, bodies, digests, names, confirmations),
    st.builds(Abandon, names),
)
noise = st.binary(max_size=30).map(lambda body: msgspec.msgpack.encode((2, msgspec.Raw(body or b"\xc0"))))
logs = st.lists(any_command.map(commands.encode) | noise | st.binary(max_size=30), max_size=15)


@given(logs, st.integers(0, 15))
@settings(max_examples=150, deadline=None)
def test_a_copy_restored_at_any_index_reaches_the_same_state(log: list[bytes], cut: int) -> None:
    complete, restored = level_2(ConfiguredMachine()), level_2(ConfiguredMachine())
    for number, data in enumerate(log):
        index = complete.state.index + 1
        if number == cut:
            restored = ConfiguredMachine()
            restored.restore(complete.snapshot())
        result = complete.apply(index, data)
        assert restored.apply(index, data) == result and restored.digest() == complete.digest()
        assert agreed.decode_result(result).version <= index
    assert restored.snapshot() == complete.snapshot()
    assert complete.configuration.staging.size == sum(
        transfer.size for transfer in complete.configuration.staging.transfers.values()
    )
