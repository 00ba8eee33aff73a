"""Who reads next, whatever the sources do."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.forward.decide.turns import AGAIN, FIRST_WINDOW, WINDOW, Turns

ROOM = 1_000_000


def test_one_greedy_source_leaves_room_and_takes_half_at_most() -> None:
    turns = Turns(ROOM)
    greedy = [turns.opened("greedy") for _ in range(100)]
    turns.sources["greedy"].window = 1000.0
    for reader in greedy:
        if turns.may_read(reader, 0.0):
            turns.whole(reader, 20_000)
    assert turns.held <= ROOM / 2 + 20_000
    assert turns.may_read(turns.opened("late"), 0.0)


def test_windows_grow_shrink_and_shrink_once_a_moment() -> None:
    turns = Turns(ROOM)
    reader = turns.opened("a")
    for _ in range(int(FIRST_WINDOW)):
        assert turns.may_read(reader, 0.0)
        turns.whole(reader, 10)
    assert not turns.may_read(reader, 0.0)
    turns.done(reader, 10)
    turns.delivered("a", 10.0, 100.0, 0.0)
    assert turns.next(0.0) == ([reader], None)
    for _ in range(3):
        turns.refused("a", 500.0, 1000.0)
    assert turns.sources["a"].window == pytest.approx((FIRST_WINDOW + 1 / FIRST_WINDOW) / 2)
    for _ in range(3):
        turns.done(reader, 10)
    assert not turns.may_read(reader, 1100.0)
    assert turns.next(1100.0) == ([], 1500.0)
    assert turns.next(1500.0) == ([reader], None)
    for _ in range(20_000):
        turns.delivered("a", 10.0, 100.0, 2000.0)
    assert turns.sources["a"].window == WINDOW


def test_windows_shrink_once_in_the_time_that_a_late_delivery_took() -> None:
    turns = Turns(ROOM)
    turns.opened("a")
    turns.sources["a"].window = 16.0
    for now in (1000.0, 1100.0, 1500.0, 1999.0):
        turns.delivered("a", 1000.0, 500.0, now)
    assert turns.sources["a"].window == 8.0
    turns.delivered("a", 1000.0, 500.0, 2000.0)
    assert turns.sources["a"].window == 4.0
    for now in range(3000, 30_000, 1000):
        turns.delivered("a", 900.0, 500.0, float(now))
    assert turns.sources["a"].window == 1.0, "one chunk at a time always goes on"


def test_windows_of_greedy_and_modest_sources_come_to_meet() -> None:
    """Forty sources and one that always wants more share what takes a hundred chunks a second."""
    turns, now = Turns(ROOM), 0.0
    names = [f"s{i}" for i in range(41)]
    readers = {name: turns.opened(name) for name in names}
    queue: list[tuple[str, float]] = []
    served = dict.fromkeys(names, 0)
    for _ in range(6000):
        now += 10.0
        for name in names:
            # A read begins a chunk for each that its source has ready: the greedy one always has.
            want = 80 if name == "s0" else 8
            while turns.sources[name].open < want and turns.may_read(readers[name], now):
                turns.whole(readers[name], 10)
                queue.append((name, now))
        name, since = queue.pop(0)
        served[name] += 1
        turns.done(readers[name], 10)
        turns.delivered(name, now - since, 500.0, now)
        turns.next(now)
    mean = sum(served.values()) / len(served)
    assert served["s0"] < 3.0 * mean and min(served.values()) > 0.6 * mean


def test_halves_do_not_wait_for_each_other() -> None:
    """A thousand sources, each within a chunk that is larger than its share of the room."""
    turns = Turns(ROOM, slice=1000)
    size, have = 20_000, dict[int, int]()
    readers = [turns.opened(f"s{i}") for i in range(1000)]
    go = [reader for reader in readers if turns.may_read(reader, 0.0)]
    ended, now, most = 0, 0.0, 0
    while ended < 1000:
        assert go, "somebody may always go on"
        for reader in go:
            have[reader] = have.get(reader, 0) + 1000
            if have[reader] >= size:
                turns.came(reader, 0)
                turns.whole(reader, size)
                turns.done(reader, size)
                ended += 1
            else:
                turns.came(reader, have[reader])
        most = max(most, turns.held)
        go = [reader for reader in go if have[reader] < size and turns.may_read(reader, now)]
        more, again = turns.next(now)
        go += more
        now = again if again is not None and not go else now
    assert most <= ROOM + size and turns.held == 0


def test_a_source_that_is_always_within_a_chunk_has_its_window_all_the_same() -> None:
    turns = Turns(ROOM)
    reader = turns.opened("a")
    for _ in range(int(FIRST_WINDOW)):
        turns.whole(reader, 100)
    turns.came(reader, 50)
    assert not turns.may_read(reader, 0.0)
    other = turns.opened("b")
    turns.came(other, 10)
    turns.held = turns.room + 10  # no room at all: the oldest begun that its own answers do not stop goes on
    assert turns.may_read(other, 0.0) and turns.next(0.0)[0] == []
    turns.held = 460
    turns.done(reader, 100)
    assert turns.next(0.0)[0] == [reader]


def test_answers_that_fill_the_room_stop_even_the_oldest() -> None:
    turns = Turns(1000, slice=10)
    first, second = turns.opened("a"), turns.opened("b")
    turns.whole(first, 1200)
    turns.came(second, 10)
    assert not turns.may_read(second, 0.0)
    turns.done(first, 1200)
    assert turns.next(0.0) == ([second], None)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["open", "close", "part", "whole", "done", "yes", "no", "look"]),
            st.integers(0, 9),
            st.integers(1, 400),
        ),
        max_size=120,
    )
)
@settings(max_examples=300, deadline=None)
def test_books_stay_right_and_nobody_is_forgotten(steps: list[tuple[str, int, int]]) -> None:
    turns, now = Turns(2000, slice=50), 0.0
    live: dict[int, str] = {}
    work: list[tuple[int, int]] = []
    waiting: set[int] = set()
    for what, which, amount in steps:
        now += amount
        names = sorted(live)
        reader = names[which % len(names)] if names else 0
        if what == "open":
            name = f"s{which % 3}"
            live[turns.opened(name)] = name
        elif what == "look" or not reader:
            pass
        elif what == "close":
            turns.closed(reader)
            del live[reader]
            waiting.discard(reader)
        elif what in ("part", "whole") and reader not in waiting:
            if what == "part":
                turns.came(reader, turns.readers[reader].partial + amount)
            else:
                turns.came(reader, 0)
                turns.whole(reader, amount)
                work.append((reader, amount))
            if not turns.may_read(reader, now):
                waiting.add(reader)
        elif what == "done" and work:
            turns.done(*work.pop(which % len(work)))
        elif what == "yes":
            turns.delivered(live[reader], float(amount), 200.0, now)
        elif what == "no":
            turns.refused(live[reader], float(amount), now)
        go, _ = turns.next(now)
        assert set(go) <= waiting, "only who waits is told to go on"
        waiting -= set(go)
        assert turns.held == sum(source.held for source in turns.sources.values()) >= turns.working >= 0
        assert turns.working == sum(size for _, size in work)
        assert set(turns.readers) == set(live) | {one for one, _ in work}
    # All is answered and the waits are over: whoever waits is let go on before long.
    for one in work:
        turns.done(*one)
    for _ in range(50):
        go, again = turns.next(now)
        waiting -= set(go)
        if not waiting:
            break
        for reader in go:  # what was begun is ended
            if reader in live and turns.readers[reader].partial:
                turns.came(reader, 0)
        now = max(now + AGAIN, again or 0.0)
    assert not waiting
