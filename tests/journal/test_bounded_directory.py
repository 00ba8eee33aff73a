"""A journal in a bounded directory: what is not owed goes, whatever the traffic, and there is room again.

Guards against a journal of refusals, short messages or many attempts that is never compacted: all was refused
for good, and the refusals were still written until the directory outgrew its bound.
"""

from __future__ import annotations

import errno

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from brassweir.core.ports import Answer
from brassweir.journal import sizes
from brassweir.lab.simulated.disk import Crash
from tests.journal.bounded_traffic import Traffic
from tests.journal.bounded_world import RETENTION_MS, World

SMALLEST = 256 * 1024
OTHER_FILES_SHARE = 1 / 16  # of the directory: the saved endpoint list
OTHER_FILES_BYTES = 4 * 512  # clock and lock
WRITE_ERRORS = (errno.EIO, errno.ENOSPC)
SHORTEST_BYTES = 150  # of a message that is refused at once
LAST_GROUP_BYTES = 4096  # added since the journal was compared with what it has to hold, in whole blocks
TRAFFIC = st.builds(
    Traffic,
    body=st.sampled_from([0, 20, 100, 140, 1000, 8000, 65536]),
    a_tick=st.sampled_from([1, 6, 40]),
    refused=st.sampled_from([0.0, 0.5, 0.95, 1.0]),
    attempts=st.sampled_from([0, 1, 8, 40]),
    open_ticks=st.sampled_from([1, 5, 40]),
)


def assert_there_is_room(world: World) -> None:
    """Assert that messages are accepted again, also large ones, once nothing is owed."""
    world.end_all()
    for body in (0, 140, 4000, 65536):
        refused = world.refused
        ident = world.submit(body, False)
        world.run(200.0)
        if world.refused > refused:  # refused once: that has to make room
            ident = world.submit(body, False)
            world.run(200.0)
        assert ident in world.messages and world.messages[ident].accepted, (
            f"a body of {body} bytes is refused"
        )
        world.answer(ident, Answer.DELIVERED)
        world.run(RETENTION_MS + 100.0)


def assert_bounds(world: World) -> None:
    """Assert that no promise was broken, and that the directory was never over its bound."""
    assert not world.problems
    assert world.storage.largest <= world.bound * (1.0 - OTHER_FILES_SHARE) - OTHER_FILES_BYTES


def assert_follows_what_is_owed(world: World) -> None:
    """Assert that a journal over the smallest size to compact holds at most twice what a snapshot takes.

    That is what is owed, and the bounded history of the endpoints. It is looked at after each ``check_bytes``.
    """
    for _ in range(1 + world.limits.check_bytes // SHORTEST_BYTES):
        world.submit(0, True)
        world.run(10.0)
    if not world.store.compacting:
        live_bytes = world.owed_bytes() + world.limits.history_bytes
        allowed = max(2 * live_bytes, world.limits.min_compact_bytes)
        assert world.journal_bytes() <= allowed + world.limits.check_bytes + LAST_GROUP_BYTES


@pytest.mark.parametrize("body", [20, 100, 140, 1000])
@pytest.mark.parametrize("refused", [0.0, 0.4, 1.0])
@pytest.mark.parametrize("attempts", [0, 8])
def test_steady_traffic_is_never_refused_for_good(body: int, refused: float, attempts: int) -> None:
    world = World(1, 3 * 1024 * 1024)
    traffic = Traffic(body, 11, refused, attempts, 2)
    for _ in range(1400):
        world.tick(traffic)
    assert not world.refused, "there is room for all of this"
    assert_follows_what_is_owed(world)
    assert_there_is_room(world)
    assert_bounds(world)


def test_a_refusal_for_lack_of_room_writes_nothing() -> None:
    """Guards against refusals that fill the directory once it is at its limit."""
    world = World(2, SMALLEST)
    while not world.refused:
        world.submit(2000, False)
        world.run(5.0)
    held, refused = world.journal_bytes(), world.refused
    for _ in range(500):
        world.submit(2000, False)
        world.run(1.0)
    assert world.refused == refused + 500 and world.journal_bytes() <= held
    assert not set(world.writer.state.by_id) - set(world.messages), "and nothing of them is kept in memory"
    assert_there_is_room(world)


def test_a_restart_compacts_what_it_reads_back() -> None:
    world = World(3, SMALLEST)
    for _ in range(100):
        world.tick(Traffic(20, 6, 1.0, 0, 1))
    before = world.journal_bytes()
    world.now += RETENTION_MS
    world.restart()
    assert world.journal_bytes() < max(before / 2, sizes.limits_within(SMALLEST).min_compact_bytes)
    assert_there_is_room(world)


def test_many_short_processes_take_no_room() -> None:
    """Guards against segments that hold next to nothing and take a block each."""
    world = World(4, SMALLEST)
    for _ in range(1200):
        world.restart()
    assert_bounds(world)
    assert_there_is_room(world)


@settings(max_examples=60, derandomize=True, deadline=None, phases=[Phase.generate])
@given(st.integers(0, 10**6), st.sampled_from([SMALLEST, 1 << 20]), st.lists(TRAFFIC, min_size=1, max_size=3))
def test_the_directory_never_outgrows_its_bound(seed: int, bound: int, phases: list[Traffic]) -> None:
    """Traffic of any kind, with kills at any storage call and writes that fail for a while."""
    world = World(seed, bound)
    for traffic in phases:
        for _ in range(60):
            draw = world.rng.random()
            if draw < 0.04:
                world.storage.crash_at = world.storage.step + world.rng.randint(1, 30)
            elif draw < 0.08:
                world.storage.failing = world.rng.choice(WRITE_ERRORS)
            elif draw < 0.2:
                world.storage.failing = 0
            try:
                world.tick(traffic)
            except Crash:
                world.storage.crash_at, world.storage.failing = None, 0
                world.restart()
    world.storage.crash_at, world.storage.failing = None, 0
    world.run(500.0)
    assert_follows_what_is_owed(world)
    assert_there_is_room(world)
    assert_bounds(world)
