"""The replicated machine: compare-and-set, canonical bytes, and no exceptions."""

from __future__ import annotations

import math

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.agreed import commands, machine
from brassweir.agreed.commands import (
    CommandError,
    Join,
    Judge,
    Leave,
    Pin,
    Place,
    Publish,
    Result,
    encode,
)
from brassweir.agreed.machine import Machine
from brassweir.agreed.machine_state import StateError, lost_regions
from brassweir.regions import planning
from brassweir.regions.epochs import PLACES, Grant
from tests.agreed.machines import FIRST, do
from tests.regions.samples import ASSUMED, LEASE, sample_epoch

EAST = Pin("strict", ("east",))


def test_grants_follow_each_other_by_compare_and_set() -> None:
    subject = Machine()
    assert do(subject, Publish(sample_epoch(), 0)).field == "epoch", "turn 0 is the file's"
    assert do(subject, Publish(FIRST, 0)) == Result(True, 2) and subject.state.epoch == FIRST
    later = planning.renewed(FIRST, 5_000.0, LEASE, ASSUMED)
    assert do(subject, Publish(later, 1)) == Result(
        False, 2, "after", "it was made from version 1, and 2 is there"
    )
    assert do(subject, Publish(later, 2)) == Result(True, 4)
    assert do(subject, Publish(later, 2)) == Result(True, 4), "a repeat changes nothing"
    stale = planning.moved(FIRST, 0, PLACES // 2, "west", 1_000.0, LEASE, ASSUMED).epoch
    refused = do(subject, Publish(stale, 4))
    assert refused.field == "epoch" and "cuts short" in refused.why and subject.state.epoch == later
    bad = msgspec.structs.replace(later, grants=(Grant("east", 0, PLACES, 0.0, math.nan),), number=2)
    assert "ends before it begins" in do(subject, Publish(bad, 4)).why
    handed_over = planning.handed_over(later, 6_000.0)
    assert do(subject, Publish(handed_over, 4)).ok
    assert (
        "is the file's to publish"
        in do(
            subject, Publish(planning.renewed(handed_over, 7_000.0, LEASE, ASSUMED), subject.state.granted)
        ).why
    )
    handed_back = planning.handed_over(planning.renewed(handed_over, 9_000.0, LEASE, ASSUMED), 9_500.0)
    assert do(subject, Publish(handed_back, subject.state.granted)).ok, (
        "and back, by the file's own hand-over"
    )


def test_pins_by_version_per_customer() -> None:
    subject = Machine()
    assert do(subject, Place("ann", "a", EAST, 0)) == Result(True, 1)
    assert do(subject, Place("bob", "a", EAST, 0)) == Result(True, 2)
    west = Pin("preferred", ("west", "east"))
    assert do(subject, Place("ann", "a", west, 2)).field == "after"
    assert (
        do(subject, Place("ann", "a", west, 1)) == Result(True, 4) == do(subject, Place("ann", "a", west, 1))
    )
    assert (
        do(subject, Place("ann", "a", None, 4)).ok
        and subject.pins == 1
        and "ann" not in subject.state.placements
    )
    assert do(subject, Place("ann", "a", EAST, 0)).version == 7
    assert do(subject, Place("ann", "a", west, 1)).field == "after", "an old version never fits again"


def test_no_customer_fills_every_copy(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(machine, "MAX_PINS_PER_CUSTOMER", 3)
    monkeypatch.setattr(machine, "MAX_PINS", 5)
    subject = Machine()
    assert [do(subject, Place("ann", f"{n}", EAST, 0)).ok for n in range(5)] == [True] * 3 + [False] * 2
    assert [do(subject, Place("bob", f"{n}", EAST, 0)).ok for n in range(3)] == [True, True, False]
    for attribute, make in (
        ("MAX_SITES", lambda n: Judge(f"s{n}", "lost", 1.0, "c", 0)),
        ("MAX_COPIES", lambda n: Join(f"c{n}", "s", "r", 1)),
    ):
        monkeypatch.setattr(machine, attribute, 1)
        assert [do(subject, make(n)).ok for n in range(2)] == [True, False]


def test_verdicts_and_members() -> None:
    subject = Machine()
    assert do(subject, Judge("s1", "suspected", 5.0, "a1", 0)).version == 1
    assert do(subject, Judge("s1", "lost", 9.0, "b1", 0)).field == "after"
    assert (
        do(subject, Judge("s1", "suspected", 7.0, "b1", 0)).version == 1
        and subject.state.sites["s1"].by == "a1"
    )
    assert do(subject, Judge("s1", "lost", math.nan, "b1", 1)).field == "command"
    assert (
        do(subject, Join("a1", "s1", "east", 1)).ok and do(subject, Join("a1", "s2", "east", 1)).version == 6
    )
    do(subject, Join("b1", "s1", "east", 1))
    assert lost_regions(subject.state) == frozenset()
    do(subject, Judge("s1", "lost", 9.0, "a1", 1))
    assert lost_regions(subject.state) == frozenset(), "a1 stands at another site of it"
    do(subject, Leave("a1"))
    assert lost_regions(subject.state) == {"east"}
    subject = Machine()
    do(subject, Join("a1", "s1", "east", 1))
    assert do(subject, Leave("a1")).version == 2 and do(subject, Leave("a1")).version == 0


@given(st.binary(max_size=200))
@settings(max_examples=200, deadline=None)
def test_damaged_snapshots_are_not_believed(noise: bytes) -> None:
    subject = Machine()
    do(subject, Join("a", "s", "r", 1))
    data = subject.snapshot()
    for bad in (noise, data[:-1], data + b"x", data[:40] + bytes([data[40] ^ 1]) + data[41:]):
        with pytest.raises(StateError):
            subject.restore(bad)
    assert subject.snapshot() == data


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
    subject = Machine()
    subject.apply(5, encode(Leave("a")))
    before = subject.snapshot()
    assert (
        commands.decode_result(subject.apply(5, encode(Join("a", "s", "r", 1)))).field == "index"
        and subject.snapshot() == before
    )
