"""Complete lists and deltas of endpoints become bounded updates."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.destinations.list_updates import ListUpdateQueue
from brassweir.interface import EndpointInfo, EntryState, ListKind


def info(name: int, state: EntryState = EntryState.READY, rate: float = 0.0) -> EndpointInfo:
    return EndpointInfo(f"e{name}", name, "k", state=state, rate=rate)


def drain(updates: ListUpdateQueue) -> list[list[EndpointInfo]]:
    batches = []
    while (update := updates.next_update()) is not None:
        assert update.kind is ListKind.DELTA
        batches.append(list(update.entries))
    return batches


def test_updates_are_bounded_and_unusable_endpoints_come_first() -> None:
    updates = ListUpdateQueue(step=10)
    assert updates.replace_all([info(i) for i in range(35)]) == 35
    assert [len(batch) for batch in drain(updates)] == [10, 10, 10, 5]
    changed = [
        info(i, EntryState.DRAINING) if i % 7 == 0 else info(i, rate=5.0 if i % 3 == 0 else 0.0)
        for i in range(30)
    ]
    assert updates.replace_all([*changed, info(99)]) > 0
    entries = [entry for batch in drain(updates) for entry in batch]
    states = [entry.state for entry in entries]
    unusable = [state for state in states if state is not EntryState.READY]
    assert states[: len(unusable)] == unusable and len(unusable) == 5 + 5, (
        "five draining and five removed ones come first"
    )
    assert entries[-1] == info(99), "new ones come last"
    assert not updates.replace_all([*changed, info(99)]), "unchanged entries are not passed on again"


def test_a_later_list_supersedes_pending_updates() -> None:
    updates = ListUpdateQueue(step=10)
    updates.replace_all([info(i) for i in range(30)])
    first = updates.next_update()
    assert first is not None
    updates.replace_all([info(i, EntryState.DRAINING) for i in range(5)])
    entries = {entry.name: entry.state for batch in drain(updates) for entry in batch}
    assert entries == {f"e{i}": EntryState.DRAINING for i in range(5)} | {
        f"e{i}": EntryState.GONE for i in range(5, 10)
    }


def test_a_list_with_a_duplicate_name_changes_nothing() -> None:
    updates = ListUpdateQueue()
    updates.replace_all([info(1)])
    drain(updates)
    with pytest.raises(ValueError, match="e2"):
        updates.replace_all([info(2), info(2)])
    assert updates.pending == 0 and list(updates.known) == ["e1"]


@settings(max_examples=100, deadline=None)
@given(
    st.lists(
        st.lists(st.tuples(st.integers(0, 9), st.sampled_from(EntryState)), unique_by=lambda entry: entry[0]),
        max_size=6,
    ),
    st.integers(0, 3),
    st.integers(0, 1000),
)
def test_after_any_lists_the_receiver_has_the_last_one(
    lists: list[list[tuple[int, EntryState]]], step: int, seed: int
) -> None:
    updates, rng, received = ListUpdateQueue(step=step + 1), Random(seed), dict[str, EntryState]()
    for entries in lists:
        updates.replace_all([info(name, state) for name, state in entries])
        for _ in range(rng.randint(0, 5)):
            update = updates.next_update()
            for entry in update.entries if update is not None else ():
                received[entry.name] = entry.state
    for batch in drain(updates):
        received.update({entry.name: entry.state for entry in batch})
    last = {f"e{name}": state for name, state in lists[-1]} if lists else {}
    for name, state in received.items():
        assert state is last.get(name, EntryState.GONE)


def test_a_delta_passes_on_unusable_endpoints_first_and_only_differences() -> None:
    updates = ListUpdateQueue(step=3)
    updates.replace_all([info(i) for i in range(10)])
    drain(updates)
    changed = [info(20), info(1, rate=5.0), info(2), info(3, EntryState.DRAINING)]
    assert updates.apply(changed, ["e4", "e5", "e99"]) == 5, "e2 is unchanged and e99 unknown"
    batches = [[(entry.name, entry.state) for entry in batch] for batch in drain(updates)]
    assert batches == [
        [("e4", EntryState.GONE), ("e5", EntryState.GONE), ("e3", EntryState.DRAINING)],
        [("e1", EntryState.READY), ("e20", EntryState.READY)],
    ]
    assert sorted(updates.known) == ["e0", "e1", "e2", "e20", "e3", "e6", "e7", "e8", "e9"]


def test_a_later_delta_keeps_pending_entries_that_it_does_not_change() -> None:
    updates = ListUpdateQueue(step=1)
    updates.replace_all([info(i) for i in range(4)])
    drain(updates)
    updates.apply([info(0, rate=1.0), info(1, rate=1.0), info(7), info(8)], ["e2", "e3"])
    first = updates.next_update()
    assert first is not None and first.entries == (info(2, EntryState.GONE),)
    assert updates.apply([info(0), info(2), info(3), info(8, rate=2.0)], ["e7", "e1"]) == 3
    entries = [entry for batch in drain(updates) for entry in batch]
    assert entries == [info(1, EntryState.GONE), info(8, rate=2.0), info(2)], (
        "e0, e3 and e7 are as the receiver knows them"
    )


def test_a_delta_with_a_duplicate_name_changes_nothing() -> None:
    updates = ListUpdateQueue()
    updates.replace_all([info(1)])
    for changed, removed in (([info(1), info(1)], []), ([info(1)], ["e1"]), ([], ["e1", "e1"])):
        with pytest.raises(ValueError, match="e1"):
            updates.apply(changed, removed)
    assert [entry.name for batch in drain(updates) for entry in batch] == ["e1"]


_VERSIONS = st.lists(
    st.dictionaries(st.integers(0, 9), st.tuples(st.sampled_from(EntryState), st.integers(0, 2))),
    min_size=1,
    max_size=6,
)


@settings(max_examples=100, deadline=None)
@given(_VERSIONS, st.integers(0, 3), st.integers(0, 1000))
def test_after_any_deltas_the_receiver_has_the_last_version(
    versions: list[dict[int, tuple[EntryState, int]]], step: int, seed: int
) -> None:
    updates, rng, received = ListUpdateQueue(step=step + 1), Random(seed), dict[str, EndpointInfo]()
    previous: dict[str, EndpointInfo] = {}
    for version in versions:
        current = {f"e{name}": info(name, state, float(rate)) for name, (state, rate) in version.items()}
        changed = [entry for name, entry in current.items() if previous.get(name) != entry]
        updates.apply(changed, previous.keys() - current.keys())
        previous = current
        for _ in range(rng.randint(0, 5)):
            update = updates.next_update()
            assert update is None or len(update.entries) <= step + 1
            received.update({entry.name: entry for entry in update.entries} if update is not None else {})
    for entries in drain(updates):
        received.update({entry.name: entry for entry in entries})
    expected = {name: entry for name, entry in previous.items() if entry.state is not EntryState.GONE}
    assert {name: entry for name, entry in received.items() if entry.state is not EntryState.GONE} == expected
