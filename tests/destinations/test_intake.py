"""Lists and differences of endpoints in bounded steps."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.destinations.list_updates import ListUpdates
from brassweir.interface import EndpointInfo, EntryState, ListKind


def info(name: int, state: EntryState = EntryState.READY, rate: float = 0.0) -> EndpointInfo:
    return EndpointInfo(f"e{name}", name, "k", state=state, rate=rate)


def told(intake: ListUpdates) -> list[list[EndpointInfo]]:
    steps = []
    while (news := intake.next_update()) is not None:
        assert news.kind is ListKind.DELTA
        steps.append(list(news.entries))
    return steps


def test_steps_are_bounded_and_what_forbids_comes_first() -> None:
    intake = ListUpdates(step=10)
    assert intake.replace_all([info(i) for i in range(35)]) == 35
    assert [len(step) for step in told(intake)] == [10, 10, 10, 5]
    changed = [
        info(i, EntryState.DRAINING) if i % 7 == 0 else info(i, rate=5.0 if i % 3 == 0 else 0.0)
        for i in range(30)
    ]
    assert intake.replace_all([*changed, info(99)]) > 0
    entries = [entry for step in told(intake) for entry in step]
    states = [entry.state for entry in entries]
    off = [state for state in states if state is not EntryState.READY]
    assert states[: len(off)] == off and len(off) == 5 + 5, "five drains and five that left come first"
    assert entries[-1] == info(99), "new ones come last"
    assert not intake.replace_all([*changed, info(99)]), "what has not changed is not told again"


def test_a_later_list_takes_the_place_of_one_half_told() -> None:
    intake = ListUpdates(step=10)
    intake.replace_all([info(i) for i in range(30)])
    first = intake.next_update()
    assert first is not None
    intake.replace_all([info(i, EntryState.DRAINING) for i in range(5)])
    entries = {entry.name: entry.state for step in told(intake) for entry in step}
    assert entries == {f"e{i}": EntryState.DRAINING for i in range(5)} | {
        f"e{i}": EntryState.GONE for i in range(5, 10)
    }


def test_a_name_twice_changes_nothing() -> None:
    intake = ListUpdates()
    intake.replace_all([info(1)])
    told(intake)
    with pytest.raises(ValueError, match="e2"):
        intake.replace_all([info(2), info(2)])
    assert intake.pending == 0 and list(intake.known) == ["e1"]


@settings(max_examples=100, deadline=None)
@given(
    st.lists(
        st.lists(st.tuples(st.integers(0, 9), st.sampled_from(EntryState)), unique_by=lambda one: one[0]),
        max_size=6,
    ),
    st.integers(0, 3),
    st.integers(0, 1000),
)
def test_whatever_lists_come_what_was_told_is_the_last_one(
    lists: list[list[tuple[int, EntryState]]], step: int, seed: int
) -> None:
    intake, rng, seen = ListUpdates(step=step + 1), Random(seed), dict[str, EntryState]()
    for entries in lists:
        intake.replace_all([info(name, state) for name, state in entries])
        for _ in range(rng.randint(0, 5)):
            news = intake.next_update()
            for entry in news.entries if news is not None else ():
                seen[entry.name] = entry.state
    for entries_told in told(intake):
        seen.update({entry.name: entry.state for entry in entries_told})
    last = {f"e{name}": state for name, state in lists[-1]} if lists else {}
    for name, state in seen.items():
        assert state is last.get(name, EntryState.GONE)


def test_a_difference_tells_what_forbids_first_and_only_what_differs() -> None:
    intake = ListUpdates(step=3)
    intake.replace_all([info(i) for i in range(10)])
    told(intake)
    changed = [info(20), info(1, rate=5.0), info(2), info(3, EntryState.DRAINING)]
    assert intake.apply(changed, ["e4", "e5", "e99"]) == 5, "e2 is as it was, and e99 was never there"
    steps = [[(one.name, one.state) for one in step] for step in told(intake)]
    assert steps == [
        [("e4", EntryState.GONE), ("e5", EntryState.GONE), ("e3", EntryState.DRAINING)],
        [("e1", EntryState.READY), ("e20", EntryState.READY)],
    ]
    assert sorted(intake.known) == ["e0", "e1", "e2", "e20", "e3", "e6", "e7", "e8", "e9"]


def test_a_later_difference_is_compared_with_what_was_told_and_keeps_what_was_not() -> None:
    intake = ListUpdates(step=1)
    intake.replace_all([info(i) for i in range(4)])
    told(intake)
    intake.apply([info(0, rate=1.0), info(1, rate=1.0), info(7), info(8)], ["e2", "e3"])
    first = intake.next_update()
    assert first is not None and first.entries == (info(2, EntryState.GONE),)
    assert intake.apply([info(0), info(2), info(3), info(8, rate=2.0)], ["e7", "e1"]) == 3
    entries = [one for step in told(intake) for one in step]
    assert entries == [info(1, EntryState.GONE), info(8, rate=2.0), info(2)], "e0, e3 and e7 are as told"


def test_a_difference_that_names_one_twice_changes_nothing() -> None:
    intake = ListUpdates()
    intake.replace_all([info(1)])
    for changed, removed in (([info(1), info(1)], []), ([info(1)], ["e1"]), ([], ["e1", "e1"])):
        with pytest.raises(ValueError, match="e1"):
            intake.apply(changed, removed)
    assert [one.name for step in told(intake) for one in step] == ["e1"]


_VERSIONS = st.lists(
    st.dictionaries(st.integers(0, 9), st.tuples(st.sampled_from(EntryState), st.integers(0, 2))),
    min_size=1,
    max_size=6,
)


@settings(max_examples=100, deadline=None)
@given(_VERSIONS, st.integers(0, 3), st.integers(0, 1000))
def test_whatever_differences_come_what_was_told_is_the_last_version(
    versions: list[dict[int, tuple[EntryState, int]]], step: int, seed: int
) -> None:
    intake, rng, seen = ListUpdates(step=step + 1), Random(seed), dict[str, EndpointInfo]()
    before: dict[str, EndpointInfo] = {}
    for version in versions:
        fresh = {f"e{name}": info(name, state, float(rate)) for name, (state, rate) in version.items()}
        changed = [one for name, one in fresh.items() if before.get(name) != one]
        intake.apply(changed, before.keys() - fresh.keys())
        before = fresh
        for _ in range(rng.randint(0, 5)):
            news = intake.next_update()
            assert news is None or len(news.entries) <= step + 1
            seen.update({one.name: one for one in news.entries} if news is not None else {})
    for entries in told(intake):
        seen.update({one.name: one for one in entries})
    there = {name: one for name, one in before.items() if one.state is not EntryState.GONE}
    assert {name: one for name, one in seen.items() if one.state is not EntryState.GONE} == there
