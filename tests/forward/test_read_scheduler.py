"""The read scheduler: bounded memory, fair windows, no deadlock and no starvation."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.forward.decide.read_scheduler import (
    INITIAL_WINDOW_CHUNKS,
    MAX_WINDOW_CHUNKS,
    RECHECK_MS,
    ReadScheduler,
)

CAPACITY = 1_000_000


def test_one_greedy_source_fills_at_most_half_the_capacity() -> None:
    scheduler = ReadScheduler(CAPACITY)
    greedy = [scheduler.add_reader("greedy") for _ in range(100)]
    scheduler.sources["greedy"].window = 1000.0
    for reader in greedy:
        if scheduler.may_read(reader, 0.0):
            scheduler.chunk_received(reader, 20_000)
    assert scheduler.held_bytes <= CAPACITY / 2 + 20_000
    assert scheduler.may_read(scheduler.add_reader("late"), 0.0)


def test_windows_grow_and_shrink_once_per_interval() -> None:
    scheduler = ReadScheduler(CAPACITY)
    reader = scheduler.add_reader("a")
    for _ in range(int(INITIAL_WINDOW_CHUNKS)):
        assert scheduler.may_read(reader, 0.0)
        scheduler.chunk_received(reader, 10)
    assert not scheduler.may_read(reader, 0.0)
    scheduler.chunk_finished(reader, 10)
    scheduler.delivered("a", 10.0, 100.0, 0.0)
    assert scheduler.next(0.0) == ([reader], None)
    for _ in range(3):
        scheduler.refused("a", 500.0, 1000.0)
    assert scheduler.sources["a"].window == pytest.approx(
        (INITIAL_WINDOW_CHUNKS + 1 / INITIAL_WINDOW_CHUNKS) / 2
    )
    for _ in range(3):
        scheduler.chunk_finished(reader, 10)
    assert not scheduler.may_read(reader, 1100.0)
    assert scheduler.next(1100.0) == ([], 1500.0)
    assert scheduler.next(1500.0) == ([reader], None)
    for _ in range(20_000):
        scheduler.delivered("a", 10.0, 100.0, 2000.0)
    assert scheduler.sources["a"].window == MAX_WINDOW_CHUNKS


def test_late_deliveries_shrink_the_window_once_per_age() -> None:
    scheduler = ReadScheduler(CAPACITY)
    scheduler.add_reader("a")
    scheduler.sources["a"].window = 16.0
    for now in (1000.0, 1100.0, 1500.0, 1999.0):
        scheduler.delivered("a", 1000.0, 500.0, now)
    assert scheduler.sources["a"].window == 8.0
    scheduler.delivered("a", 1000.0, 500.0, 2000.0)
    assert scheduler.sources["a"].window == 4.0
    for now in range(3000, 30_000, 1000):
        scheduler.delivered("a", 900.0, 500.0, float(now))
    assert scheduler.sources["a"].window == 1.0, "one chunk at a time is always allowed"


def test_windows_of_greedy_and_modest_sources_converge() -> None:
    """Forty modest sources and a greedy one share a rate of a hundred chunks a second."""
    scheduler, now = ReadScheduler(CAPACITY), 0.0
    names = [f"s{i}" for i in range(41)]
    readers = {name: scheduler.add_reader(name) for name in names}
    queue: list[tuple[str, float]] = []
    served = dict.fromkeys(names, 0)
    for _ in range(6000):
        now += 10.0
        for name in names:
            # Each source sends while it has chunks ready; the greedy one has more of them.
            ready_chunks = 80 if name == "s0" else 8
            while scheduler.sources[name].unanswered_chunks < ready_chunks and scheduler.may_read(
                readers[name], now
            ):
                scheduler.chunk_received(readers[name], 10)
                queue.append((name, now))
        name, since = queue.pop(0)
        served[name] += 1
        scheduler.chunk_finished(readers[name], 10)
        scheduler.delivered(name, now - since, 500.0, now)
        scheduler.next(now)
    mean = sum(served.values()) / len(served)
    assert served["s0"] < 3.0 * mean and min(served.values()) > 0.6 * mean


def test_partial_chunks_do_not_deadlock() -> None:
    """A thousand sources each send a chunk that is larger than their share of the capacity."""
    scheduler = ReadScheduler(CAPACITY, read_slice=1000)
    size, received_bytes = 20_000, dict[int, int]()
    readers = [scheduler.add_reader(f"s{i}") for i in range(1000)]
    resumed = [reader for reader in readers if scheduler.may_read(reader, 0.0)]
    ended, now, max_held_bytes = 0, 0.0, 0
    while ended < 1000:
        assert resumed, "some reader may always go on"
        for reader in resumed:
            received_bytes[reader] = received_bytes.get(reader, 0) + 1000
            if received_bytes[reader] >= size:
                scheduler.update_partial(reader, 0)
                scheduler.chunk_received(reader, size)
                scheduler.chunk_finished(reader, size)
                ended += 1
            else:
                scheduler.update_partial(reader, received_bytes[reader])
        max_held_bytes = max(max_held_bytes, scheduler.held_bytes)
        resumed = [
            reader for reader in resumed if received_bytes[reader] < size and scheduler.may_read(reader, now)
        ]
        more, again = scheduler.next(now)
        resumed += more
        now = again if again is not None and not resumed else now
    assert max_held_bytes <= CAPACITY + size and scheduler.held_bytes == 0


def test_the_window_applies_within_a_chunk() -> None:
    scheduler = ReadScheduler(CAPACITY)
    reader = scheduler.add_reader("a")
    for _ in range(int(INITIAL_WINDOW_CHUNKS)):
        scheduler.chunk_received(reader, 100)
    scheduler.update_partial(reader, 50)
    assert not scheduler.may_read(reader, 0.0)
    other = scheduler.add_reader("b")
    scheduler.update_partial(other, 10)
    # With no free bytes, the oldest partial chunk of a source that is not throttled goes on.
    scheduler.held_bytes = scheduler.capacity + 10
    assert scheduler.may_read(other, 0.0) and scheduler.next(0.0)[0] == []
    scheduler.held_bytes = 460
    scheduler.chunk_finished(reader, 100)
    assert scheduler.next(0.0)[0] == [reader]


def test_processing_that_fills_the_capacity_stops_even_the_oldest() -> None:
    scheduler = ReadScheduler(1000, read_slice=10)
    first, second = scheduler.add_reader("a"), scheduler.add_reader("b")
    scheduler.chunk_received(first, 1200)
    scheduler.update_partial(second, 10)
    assert not scheduler.may_read(second, 0.0)
    scheduler.chunk_finished(first, 1200)
    assert scheduler.next(0.0) == ([second], None)


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
def test_accounting_stays_consistent_and_every_waiter_resumes(steps: list[tuple[str, int, int]]) -> None:
    scheduler, now = ReadScheduler(2000, read_slice=50), 0.0
    live: dict[int, str] = {}
    work: list[tuple[int, int]] = []
    waiting: set[int] = set()
    for action, index, amount in steps:
        now += amount
        names = sorted(live)
        reader = names[index % len(names)] if names else 0
        if action == "open":
            name = f"s{index % 3}"
            live[scheduler.add_reader(name)] = name
        elif action == "look" or not reader:
            pass
        elif action == "close":
            scheduler.remove_reader(reader)
            del live[reader]
            waiting.discard(reader)
        elif action in ("part", "whole") and reader not in waiting:
            if action == "part":
                scheduler.update_partial(reader, scheduler.readers[reader].partial_bytes + amount)
            else:
                scheduler.update_partial(reader, 0)
                scheduler.chunk_received(reader, amount)
                work.append((reader, amount))
            if not scheduler.may_read(reader, now):
                waiting.add(reader)
        elif action == "done" and work:
            scheduler.chunk_finished(*work.pop(index % len(work)))
        elif action == "yes":
            scheduler.delivered(live[reader], float(amount), 200.0, now)
        elif action == "no":
            scheduler.refused(live[reader], float(amount), now)
        resumed, _ = scheduler.next(now)
        assert set(resumed) <= waiting, "only waiting readers are resumed"
        waiting -= set(resumed)
        assert (
            scheduler.held_bytes
            == sum(source.held_bytes for source in scheduler.sources.values())
            >= scheduler.processing_bytes
            >= 0
        )
        assert scheduler.processing_bytes == sum(size for _, size in work)
        assert set(scheduler.readers) == set(live) | {one for one, _ in work}
    # Once all chunks are answered and pauses are over, every waiting reader must resume.
    for one in work:
        scheduler.chunk_finished(*one)
    for _ in range(50):
        resumed, again = scheduler.next(now)
        waiting -= set(resumed)
        if not waiting:
            break
        for reader in resumed:  # partial chunks end
            if reader in live and scheduler.readers[reader].partial_bytes:
                scheduler.update_partial(reader, 0)
        now = max(now + RECHECK_MS, again or 0.0)
    assert not waiting
