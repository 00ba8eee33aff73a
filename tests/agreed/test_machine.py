"""The replicated machine: compare-and-set, levels of versions side by side, one form of bytes, nothing raises."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.agreed import commands, machine
from brassweir.agreed.commands import (
    Command,
    CommandError,
    Format,
    Join,
    Judge,
    Known,
    Leave,
    Pin,
    Place,
    Publish,
    Result,
    encode,
)
from brassweir.agreed.contents import StateError, lost_regions
from brassweir.agreed.machine import Beyond, Machine
from brassweir.regions import planning
from brassweir.regions.epochs import PLACES, Grant
from tests.regions.samples import ASSUMED, LEASE, start

FIRST = msgspec.structs.replace(start(), turn=1)
EAST = Pin("strict", ("east",))


def do(one: Machine, command: Command | bytes, level: int = 1) -> Result:
    data = command if isinstance(command, bytes) else encode(command, level)
    return commands.result(one.apply(one.state.index + 1, data))


def test_grants_follow_each_other_by_compare_and_set() -> None:
    one = Machine()
    assert do(one, Publish(start(), 0)).field == "epoch", "turn 0 is the file's"
    assert do(one, Publish(FIRST, 0)) == Result(True, 2) and one.state.epoch == FIRST
    later = planning.renewed(FIRST, 5_000.0, LEASE, ASSUMED)
    assert do(one, Publish(later, 1)) == Result(
        False, 2, "after", "it was made from version 1, and 2 is there"
    )
    assert do(one, Publish(later, 2)) == Result(True, 4)
    assert do(one, Publish(later, 2)) == Result(True, 4), "a repeat changes nothing"
    stale = planning.moved(FIRST, 0, PLACES // 2, "west", 1_000.0, LEASE, ASSUMED).epoch
    refused = do(one, Publish(stale, 4))
    assert refused.field == "epoch" and "cuts short" in refused.why and one.state.epoch == later
    bad = msgspec.structs.replace(later, grants=(Grant("east", 0, PLACES, 0.0, math.nan),), number=2)
    assert "ends before it begins" in do(one, Publish(bad, 4)).why
    over = planning.handed_over(later, 6_000.0)
    assert do(one, Publish(over, 4)).ok
    assert (
        "is the file's to publish"
        in do(one, Publish(planning.renewed(over, 7_000.0, LEASE, ASSUMED), one.state.granted)).why
    )
    file_s = planning.handed_over(planning.renewed(over, 9_000.0, LEASE, ASSUMED), 9_500.0)
    assert do(one, Publish(file_s, one.state.granted)).ok, "and back, by the file's own hand-over"


def test_pins_by_version_per_customer() -> None:
    one = Machine()
    assert do(one, Place("ann", "a", EAST, 0)) == Result(True, 1)
    assert do(one, Place("bob", "a", EAST, 0)) == Result(True, 2)
    west = Pin("preferred", ("west", "east"))
    assert do(one, Place("ann", "a", west, 2)).field == "after"
    assert do(one, Place("ann", "a", west, 1)) == Result(True, 4) == do(one, Place("ann", "a", west, 1))
    assert do(one, Place("ann", "a", None, 4)).ok and one.pins == 1 and "ann" not in one.state.placements
    assert do(one, Place("ann", "a", EAST, 0)).version == 7
    assert do(one, Place("ann", "a", west, 1)).field == "after", "an old version never fits again"


def test_no_customer_fills_every_copy(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(machine, "MOST_PINS_OF_ONE", 3)
    monkeypatch.setattr(machine, "MOST_PINS", 5)
    one = Machine()
    assert [do(one, Place("ann", f"{n}", EAST, 0)).ok for n in range(5)] == [True] * 3 + [False] * 2
    assert [do(one, Place("bob", f"{n}", EAST, 0)).ok for n in range(3)] == [True, True, False]
    for attribute, make in (
        ("MOST_SITES", lambda n: Judge(f"s{n}", "lost", 1.0, "c", 0)),
        ("MOST_COPIES", lambda n: Join(f"c{n}", "s", "r", 1)),
    ):
        monkeypatch.setattr(machine, attribute, 1)
        assert [do(one, make(n)).ok for n in range(2)] == [True, False]


def test_verdicts_and_members() -> None:
    one = Machine()
    assert do(one, Judge("s1", "suspected", 5.0, "a1", 0)).version == 1
    assert do(one, Judge("s1", "lost", 9.0, "b1", 0)).field == "after"
    assert do(one, Judge("s1", "suspected", 7.0, "b1", 0)).version == 1 and one.state.sites["s1"].by == "a1"
    assert do(one, Judge("s1", "lost", math.nan, "b1", 1)).field == "command"
    assert do(one, Join("a1", "s1", "east", 1)).ok and do(one, Join("a1", "s2", "east", 1)).version == 6
    do(one, Join("b1", "s1", "east", 1))
    assert lost_regions(one.state) == frozenset()
    do(one, Judge("s1", "lost", 9.0, "a1", 1))
    assert lost_regions(one.state) == frozenset(), "a1 stands at another site of it"
    do(one, Leave("a1"))
    assert lost_regions(one.state) == {"east"}
    one = Machine()
    do(one, Join("a1", "s1", "east", 1))
    assert do(one, Leave("a1")).version == 2 and do(one, Leave("a1")).version == 0


class Drop(Command, frozen=True, tag="drop"):
    """What only the next version knows."""

    site: str


class Newer(Machine):
    """The next version: level 2 brings a command."""

    level = 2

    def _decode(self, level: int, body: bytes) -> Any:
        if level < 2:
            return super()._decode(level, body)
        try:
            return msgspec.msgpack.decode(body, type=Drop | Known)
        except msgspec.DecodeError:
            raise CommandError("no command of its level") from None

    def _carry_out(self, index: int, command: Any) -> Result:
        if isinstance(command, Drop):
            self.state.sites.pop(command.site, None)
            return Result(True, index)
        return super()._carry_out(index, command)


def side_by_side(versions: list[Machine], log: list[bytes]) -> list[bytes]:
    """Digests at each index that differ, over those that can go on."""
    apart = []
    for index, data in enumerate(log, 1):
        results = {one.apply(index, data) for one in versions if not one.beyond}
        if len({one.digest() for one in versions if not one.beyond}) > 1 or len(results) > 1:
            apart.append(data)
    return apart


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
    assert "this version knows 1" in old.beyond, "no member by its own word: it stops instead of guessing"
    with pytest.raises(Beyond):
        old.snapshot()
    with pytest.raises(StateError, match="level 2 is agreed"):
        Machine().restore(new.snapshot())
    again = Newer()
    again.restore(new.snapshot())
    assert again.digest() == new.digest() and again.snapshot() == new.snapshot()


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
    one = Newer()
    assert do(one, Format(2)).why.endswith("none is known")
    do(one, Join("a", "s", "r", 2))
    do(one, Join("b", "s", "r", 1))
    assert do(one, Format(2)).why == "not all members read level 2: b"
    do(one, Leave("b"))
    assert do(one, Format(2)).ok and do(one, Join("b", "s", "r", 1)).field == "reads"


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
    whole, later = Newer(), Newer()
    for index, data in enumerate(log, 1):
        whole.apply(index, data)
        if index == min(cut, len(log)):
            later.restore(whole.snapshot())
        elif index > cut:
            later.apply(index, data)
    if log and cut:
        assert later.snapshot() == whole.snapshot() and later.pins == whole.pins == sum(
            map(len, whole.state.placements.values())
        )
    assert not side_by_side([Machine(), Newer()], log)


@given(st.binary(max_size=200))
@settings(max_examples=200, deadline=None)
def test_damaged_snapshots_are_not_believed(noise: bytes) -> None:
    one = Machine()
    do(one, Join("a", "s", "r", 1))
    data = one.snapshot()
    for bad in (noise, data[:-1], data + b"x", data[:40] + bytes([data[40] ^ 1]) + data[41:]):
        with pytest.raises(StateError):
            one.restore(bad)
    assert one.snapshot() == data


def test_what_is_too_large_or_comes_twice() -> None:
    with pytest.raises(CommandError, match="6000 are the most"):
        encode(
            Publish(
                msgspec.structs.replace(
                    FIRST, past=tuple(Grant("east", n, n + 1, 0.0, 1.0) for n in range(200))
                ),
                0,
            )
        )
    crowded = msgspec.structs.replace(
        FIRST, past=tuple(Grant("east", n, n + 1, -2.0, -1.0) for n in range(103))
    )
    encode(Publish(crowded, 0))
    assert "5700 are the most" in do(Machine(), Publish(crowded, 0)).why, "its renewal might not fit"
    one = Machine()
    one.apply(5, encode(Leave("a")))
    before = one.snapshot()
    assert (
        commands.result(one.apply(5, encode(Join("a", "s", "r", 1)))).field == "index"
        and one.snapshot() == before
    )
