"""Versions of the machine side by side: results never differ, and one log yields the same bytes."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.agreed import commands
from brassweir.agreed.commands import (
    AnyCommand,
    Command,
    CommandError,
    Format,
    Join,
    Judge,
    Leave,
    Pin,
    Place,
    Publish,
    Result,
    encode,
)
from brassweir.agreed.machine import Machine, UnsupportedLevel
from brassweir.agreed.machine_state import StateError
from brassweir.regions import planning
from tests.agreed.machines import FIRST, do
from tests.regions.samples import ASSUMED, LEASE


class Drop(Command, frozen=True, tag="drop"):
    """A command that only the next version knows."""

    site: str


class Newer(Machine):
    """The next version: level 2 adds a command."""

    level = 2

    def _decode(self, level: int, body: bytes) -> Any:
        if level < 2:
            return super()._decode(level, body)
        try:
            return msgspec.msgpack.decode(body, type=Drop | AnyCommand)
        except msgspec.DecodeError:
            raise CommandError("no command of its level") from None

    def _carry_out(self, index: int, command: Any) -> Result:
        if isinstance(command, Drop):
            self.state.sites.pop(command.site, None)
            return Result(True, index)
        return super()._carry_out(index, command)


def side_by_side(versions: list[Machine], log: list[bytes]) -> list[bytes]:
    """Commands after which results or digests differ between versions that can go on."""
    differing = []
    for index, data in enumerate(log, 1):
        results = {version.apply(index, data) for version in versions if not version.unsupported}
        if len({version.digest() for version in versions if not version.unsupported}) > 1 or len(results) > 1:
            differing.append(data)
    return differing


ROLLING = [
    encode(Judge("s", "lost", 1.0, "a", 0)),
    encode(Join("a", "s", "r", 1)),
    encode(Drop("s"), 2),
    encode(Format(2)),
    encode(Join("a", "s", "r", 2)),
    encode(Drop("s"), 2),
    encode(Format(2)),
    encode(Join("old", "s", "r", 1)),
    encode(Drop("s"), 2),
]


def test_versions_side_by_side_never_differ() -> None:
    old, new = Machine(), Newer()
    assert not side_by_side([old, new], ROLLING[:6])
    assert old.state.level == new.state.level == 1 and "s" in new.state.sites, "level 2 was refused by both"
    assert not side_by_side([old, new], [b""] * 6 + ROLLING[6:])
    assert new.state.level == 2 and "s" not in new.state.sites and "old" not in new.state.copies
    assert "this version knows 1" in old.unsupported, (
        "no member by its own word: it stops instead of guessing"
    )
    with pytest.raises(UnsupportedLevel):
        old.snapshot()
    with pytest.raises(StateError, match="level 2 is agreed"):
        Machine().restore(new.snapshot())
    restored = Newer()
    restored.restore(new.snapshot())
    assert restored.digest() == new.digest() and restored.snapshot() == new.snapshot()


def test_without_the_level_s_rule_versions_differ(monkeypatch: pytest.MonkeyPatch) -> None:
    class Eager(Newer):
        def _result(self, index: int, command: bytes) -> Result:
            self.state.index = index
            try:
                return self._carry_out(index, self._decode(*commands.split(command)))
            except CommandError as error:
                return Result(False, 0, "command", str(error))

    assert side_by_side([Machine(), Eager()], ROLLING)


def test_a_format_needs_every_member() -> None:
    newer = Newer()
    assert do(newer, Format(2)).why.endswith("none is known")
    do(newer, Join("a", "s", "r", 2))
    do(newer, Join("b", "s", "r", 1))
    assert do(newer, Format(2)).why == "not all members read level 2: b"
    do(newer, Leave("b"))
    assert do(newer, Format(2)).ok and do(newer, Join("b", "s", "r", 1)).field == "reads"


names = st.sampled_from(["a", "b", "c"])
known: st.SearchStrategy[Command] = st.one_of(
    st.builds(
        Place,
        names,
        names,
        st.none() | st.builds(Pin, st.sampled_from(["strict", "preferred"]), st.just(("east",))),
        st.integers(0, 9),
    ),
    st.builds(Judge, names, st.sampled_from(["well", "lost"]), st.floats(0.0, 1e9), names, st.integers(0, 9)),
    st.builds(Join, names, names, names, st.integers(1, 2)),
    st.builds(Leave, names),
    st.builds(Format, st.integers(1, 3)),
    st.builds(
        Publish, st.sampled_from([FIRST, planning.renewed(FIRST, 5.0, LEASE, ASSUMED)]), st.integers(0, 9)
    ),
)
logs = st.lists(
    known.map(encode)
    | st.binary(max_size=40)
    | st.tuples(
        st.integers(-2, 3), st.recursive(st.integers(-9, 1 << 63) | st.text(max_size=5), st.lists)
    ).map(msgspec.msgpack.encode),
    max_size=30,
)


@given(logs, st.integers(0, 30))
@settings(max_examples=200, deadline=None)
def test_the_same_log_makes_the_same_bytes_whenever_a_copy_began(log: list[bytes], cut: int) -> None:
    whole, restored = Newer(), Newer()
    for index, data in enumerate(log, 1):
        whole.apply(index, data)
        if index == min(cut, len(log)):
            restored.restore(whole.snapshot())
        elif index > cut:
            restored.apply(index, data)
    if log and cut:
        assert restored.snapshot() == whole.snapshot() and restored.pins == whole.pins == sum(
            map(len, whole.state.placements.values())
        )
    assert not side_by_side([Machine(), Newer()], log)
