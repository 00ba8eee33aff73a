"""Lists in bounded steps, who gives way under a budget, and whose turn a set-up is."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.destinations.budget import REGROW, Budget
from brassweir.destinations.intake import Intake
from brassweir.destinations.setups import REMEMBER, Setups
from brassweir.interface import EndpointInfo, ListKind, State


def info(name: int, state: State = State.READY, rate: float = 0.0) -> EndpointInfo:
    return EndpointInfo(f"e{name}", name, "k", state=state, rate=rate)


def told(intake: Intake) -> list[list[EndpointInfo]]:
    steps = []
    while (news := intake.next()) is not None:
        assert news.kind is ListKind.DELTA
        steps.append(list(news.entries))
    return steps


def test_steps_are_bounded_and_what_forbids_comes_first() -> None:
    intake = Intake(step=10)
    assert intake.take([info(i) for i in range(35)]) == 35
    assert [len(step) for step in told(intake)] == [10, 10, 10, 5]
    changed = [
        info(i, State.DRAINING) if i % 7 == 0 else info(i, rate=5.0 if i % 3 == 0 else 0.0) for i in range(30)
    ]
    assert intake.take([*changed, info(99)]) > 0
    entries = [entry for step in told(intake) for entry in step]
    states = [entry.state for entry in entries]
    off = [state for state in states if state is not State.READY]
    assert states[: len(off)] == off and len(off) == 5 + 5, "five drains and five that left come first"
    assert entries[-1] == info(99), "new ones come last"
    assert not intake.take([*changed, info(99)]), "what has not changed is not told again"


def test_a_later_list_takes_the_place_of_one_half_told() -> None:
    intake = Intake(step=10)
    intake.take([info(i) for i in range(30)])
    first = intake.next()
    assert first is not None
    intake.take([info(i, State.DRAINING) for i in range(5)])
    entries = {entry.name: entry.state for step in told(intake) for entry in step}
    assert entries == {f"e{i}": State.DRAINING for i in range(5)} | {
        f"e{i}": State.GONE for i in range(5, 10)
    }


def test_a_name_twice_changes_nothing() -> None:
    intake = Intake()
    intake.take([info(1)])
    told(intake)
    with pytest.raises(ValueError, match="e2"):
        intake.take([info(2), info(2)])
    assert intake.waiting == 0 and list(intake.told) == ["e1"]


@settings(max_examples=100, deadline=None)
@given(
    st.lists(
        st.lists(st.tuples(st.integers(0, 9), st.sampled_from(State)), unique_by=lambda one: one[0]),
        max_size=6,
    ),
    st.integers(0, 3),
    st.integers(0, 1000),
)
def test_whatever_lists_come_what_was_told_is_the_last_one(
    lists: list[list[tuple[int, State]]], step: int, seed: int
) -> None:
    intake, rng, seen = Intake(step=step + 1), Random(seed), dict[str, State]()
    for entries in lists:
        intake.take([info(name, state) for name, state in entries])
        for _ in range(rng.randint(0, 5)):
            news = intake.next()
            for entry in news.entries if news is not None else ():
                seen[entry.name] = entry.state
    for entries_told in told(intake):
        seen.update({entry.name: entry.state for entry in entries_told})
    last = {f"e{name}": state for name, state in lists[-1]} if lists else {}
    for name, state in seen.items():
        assert state is last.get(name, State.GONE)


# ---- budget


def connected(budget: Budget, key: str, cost: float = 1.0, now: float = 0.0) -> str | None:
    step = budget.request(key, now)
    assert step.go
    if step.close is not None:
        budget.closed(step.close)
    budget.opened(key)
    budget.busy(key)
    budget.idle(key, cost)
    return step.close


def test_the_one_unused_for_longest_gives_way_and_the_dear_stay_longer() -> None:
    budget = Budget(3)
    for key in "abc":
        connected(budget, key)
    budget.busy("a")
    budget.idle("a", 1.0)  # used again: b is now the oldest
    assert connected(budget, "d") == "b"
    budget = Budget(3)
    connected(budget, "dear", cost=50.0)
    for key in "bc":
        connected(budget, key)
    given_way = [connected(budget, str(i)) for i in range(4)]
    assert "dear" not in given_way
    assert "dear" in [connected(budget, str(i)) for i in range(10, 200)], "but not for ever"


def test_a_connection_that_ends_before_its_call_has_noticed_leaves_no_count() -> None:
    budget = Budget(2)
    for told in (budget.opened, budget.busy, budget.closed, budget.opened):  # another is made at once
        told("a")
    budget.idle("a", 1.0)
    assert budget.holders["a"].busy == 0
    budget.closed("a")
    assert not budget.holders and not budget.open


def test_a_call_out_or_a_trial_due_never_gives_way() -> None:
    budget = Budget(2)
    for key in "ab":
        connected(budget, key)
    budget.busy("a")
    budget.pin("b", True)
    assert not budget.request("c", 0.0).go
    budget.pin("b", False)
    assert budget.request("c", 0.0).close == "b"
    assert not budget.holders["a"].pinned and budget.holders["a"].busy == 1


def test_the_busy_leave_room_for_waking_ones() -> None:
    budget = Budget(20)
    for _ in range(18):
        assert budget.request("busy", 0.0).go
        budget.opened("busy")
        budget.busy("busy")
    assert not budget.request("busy", 0.0).go, "what is left is for those that wake"
    assert budget.request("waking", 0.0).go


def test_a_shortage_shrinks_the_budget_and_it_grows_back_slowly() -> None:
    budget = Budget(100)
    for i in range(50):
        connected(budget, str(i))
    assert budget.shortage(1000.0) == "0" and budget.most == 45
    assert budget.request("x", 1000.0).close is not None
    now = 1000.0
    while budget.most < 100:
        now += REGROW
        budget.request("x", now)
        assert now < 1e8
    assert now > 1000.0 + 5 * REGROW


@settings(max_examples=100, deadline=None)
@given(st.integers(1, 12), st.lists(st.tuples(st.integers(0, 30), st.sampled_from("cubip")), max_size=200))
def test_counts_hold_and_nothing_in_use_is_ever_chosen(most: int, moves: list[tuple[int, str]]) -> None:
    budget, idle, busy = Budget(most), dict[str, int](), dict[str, int]()
    for number, move in moves:
        key = str(number)
        if move in "cu" and not idle.get(key):
            step = budget.request(key, 0.0)
            if step.close is not None:
                assert idle.get(step.close, 0) > 0 and not budget.holders[step.close].pinned
                idle[step.close] -= 1
                budget.closed(step.close)
            if step.go:
                budget.opened(key)
                budget.busy(key)
                busy[key] = busy.get(key, 0) + 1
        elif move == "u":
            idle[key] -= 1
            budget.busy(key)
            busy[key] = busy.get(key, 0) + 1
        elif move == "i" and busy.get(key):
            busy[key] -= 1
            idle[key] = idle.get(key, 0) + 1
            budget.idle(key, 1.0 + number)
        elif move == "b" and idle.get(key):
            idle[key] -= 1
            budget.closed(key)
        elif move == "p":
            budget.pin(key, number % 2 == 0)
        assert budget.open == sum(idle.values()) + sum(busy.values()) <= most
    assert len(budget.heap) <= 64 + 4 * max(1, len(budget.holders)) + 1


# ---- set-ups


def drain(setups: Setups) -> list[int]:
    out = []
    while (ticket := setups.next()) is not None:
        out.append(ticket)
    return out


def test_waking_and_growing_take_turns() -> None:
    setups = Setups(4)
    growing = [setups.ask("busy", True, 0.0) for _ in range(20)]
    waking = [setups.ask(f"w{i}", False, 0.0) for i in range(20)]
    out = drain(setups)
    assert (
        len(out) == 4
        and sum(ticket in waking for ticket in out) == 2
        and sum(ticket in growing for ticket in out) == 2
    )


def test_suspects_never_hold_more_than_their_share() -> None:
    setups = Setups(8)
    for i in range(20):
        setups.done(setups.ask(f"d{i}", False, 0.0), False, 0.0)
        ticket = setups.next()
        if ticket is not None:
            setups.done(ticket, False, 0.0)
    for i in range(20):
        setups.failed[f"d{i}"] = 0.0
        setups.ask(f"d{i}", False, 1.0)
    assert len(drain(setups)) == 2
    good = [setups.ask(f"g{i}", False, 1.0) for i in range(10)]
    assert set(drain(setups)) <= set(good) and len(setups.out) == 8
    fresh = Setups(8)
    fresh.failed["d"] = 0.0
    fresh.ask("d", False, REMEMBER + 1.0)
    assert not fresh.failed, "an old failure is forgotten"


def test_a_destination_that_wakes_sets_up_one_connection_first() -> None:
    setups = Setups(8)
    tickets = [setups.ask("w", False, 0.0) for _ in range(5)]
    assert drain(setups) == tickets[:1]
    setups.done(tickets[0], True, 1.0)
    assert drain(setups) == tickets[1:2]
    setups.done(tickets[3], True, 1.0)  # one that gives up leaves the line
    setups.done(tickets[1], True, 1.0)
    assert drain(setups) == tickets[2:3]
