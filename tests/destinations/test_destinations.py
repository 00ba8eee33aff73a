"""Eviction under a connection budget, and the order of connection set-ups."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.destinations.budget import REGROW_INTERVAL_MS, ConnectionBudget
from brassweir.destinations.setup_queue import FAILURE_MEMORY_MS, SetupQueue

# ---- budget


def connected(budget: ConnectionBudget, key: str, cost: float = 1.0, now: float = 0.0) -> str | None:
    permit = budget.request(key, now)
    assert permit.granted
    if permit.evict is not None:
        budget.closed(permit.evict)
    budget.opened(key)
    budget.busy(key)
    budget.idle(key, cost)
    return permit.evict


def test_least_recently_used_is_evicted_and_costly_connections_stay_longer() -> None:
    budget = ConnectionBudget(3)
    for key in "abc":
        connected(budget, key)
    budget.busy("a")
    budget.idle("a", 1.0)  # used again: b is now the least recently used
    assert connected(budget, "d") == "b"
    budget = ConnectionBudget(3)
    connected(budget, "dear", cost=50.0)
    for key in "bc":
        connected(budget, key)
    evicted = [connected(budget, str(i)) for i in range(4)]
    assert "dear" not in evicted
    assert "dear" in [connected(budget, str(i)) for i in range(10, 200)], "but not for ever"


def test_connection_that_closes_before_its_call_ends_is_uncounted() -> None:
    budget = ConnectionBudget(2)
    for record in (budget.opened, budget.busy, budget.closed, budget.opened):  # its replacement opens at once
        record("a")
    budget.idle("a", 1.0)
    assert budget.holders["a"].busy == 0
    budget.closed("a")
    assert not budget.holders and not budget.open


def test_calls_in_flight_and_imminent_trials_are_not_evicted() -> None:
    budget = ConnectionBudget(2)
    for key in "ab":
        connected(budget, key)
    budget.busy("a")
    budget.pin("b", True)
    assert not budget.request("c", 0.0).granted
    budget.pin("b", False)
    assert budget.request("c", 0.0).evict == "b"
    assert not budget.holders["a"].pinned and budget.holders["a"].busy == 1


def test_further_connections_leave_capacity_for_first_ones() -> None:
    budget = ConnectionBudget(20)
    for _ in range(18):
        assert budget.request("busy", 0.0).granted
        budget.opened("busy")
        budget.busy("busy")
    assert not budget.request("busy", 0.0).granted, "the rest is reserved for first connections"
    assert budget.request("waking", 0.0).granted


def test_a_shortage_shrinks_the_budget_and_it_grows_back_slowly() -> None:
    budget = ConnectionBudget(100)
    for i in range(50):
        connected(budget, str(i))
    assert budget.shortage(1000.0) == "0" and budget.max_connections == 45
    assert budget.request("x", 1000.0).evict is not None
    now = 1000.0
    while budget.max_connections < 100:
        now += REGROW_INTERVAL_MS
        budget.request("x", now)
        assert now < 1e8
    assert now > 1000.0 + 5 * REGROW_INTERVAL_MS


@settings(max_examples=100, deadline=None)
@given(st.integers(1, 12), st.lists(st.tuples(st.integers(0, 30), st.sampled_from("cubip")), max_size=200))
def test_counts_are_exact_and_nothing_in_use_is_evicted(
    max_connections: int, moves: list[tuple[int, str]]
) -> None:
    budget, idle, busy = ConnectionBudget(max_connections), dict[str, int](), dict[str, int]()
    for number, move in moves:
        key = str(number)
        if move in "cu" and not idle.get(key):
            permit = budget.request(key, 0.0)
            if permit.evict is not None:
                assert idle.get(permit.evict, 0) > 0 and not budget.holders[permit.evict].pinned
                idle[permit.evict] -= 1
                budget.closed(permit.evict)
            if permit.granted:
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
        assert budget.open == sum(idle.values()) + sum(busy.values()) <= max_connections
    assert len(budget.heap) <= 64 + 4 * max(1, len(budget.holders)) + 1


# ---- set-ups


def start_all(setups: SetupQueue) -> list[int]:
    started = []
    while (ticket := setups.next_ticket()) is not None:
        started.append(ticket)
    return started


def test_first_and_further_connections_take_turns() -> None:
    setups = SetupQueue(4)
    further = [setups.enqueue("busy", True, 0.0) for _ in range(20)]
    first = [setups.enqueue(f"w{i}", False, 0.0) for i in range(20)]
    started = start_all(setups)
    assert (
        len(started) == 4
        and sum(ticket in first for ticket in started) == 2
        and sum(ticket in further for ticket in started) == 2
    )


def test_suspects_never_occupy_more_than_their_share() -> None:
    setups = SetupQueue(8)
    for i in range(20):
        setups.done(setups.enqueue(f"d{i}", False, 0.0), False, 0.0)
        ticket = setups.next_ticket()
        if ticket is not None:
            setups.done(ticket, False, 0.0)
    for i in range(20):
        setups.failed_at[f"d{i}"] = 0.0
        setups.enqueue(f"d{i}", False, 1.0)
    assert len(start_all(setups)) == 2
    succeeded = [setups.enqueue(f"g{i}", False, 1.0) for i in range(10)]
    assert set(start_all(setups)) <= set(succeeded) and len(setups.active) == 8
    fresh = SetupQueue(8)
    fresh.failed_at["d"] = 0.0
    fresh.enqueue("d", False, FAILURE_MEMORY_MS + 1.0)
    assert not fresh.failed_at, "an old failure is forgotten"


def test_a_destination_without_connection_sets_up_one_at_a_time() -> None:
    setups = SetupQueue(8)
    tickets = [setups.enqueue("w", False, 0.0) for _ in range(5)]
    assert start_all(setups) == tickets[:1]
    setups.done(tickets[0], True, 1.0)
    assert start_all(setups) == tickets[1:2]
    setups.done(tickets[3], True, 1.0)  # a caller that stops waiting leaves the queue
    setups.done(tickets[1], True, 1.0)
    assert start_all(setups) == tickets[2:3]
