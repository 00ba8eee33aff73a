"""Snapshot transfer: paced chunks delay neither entries nor heartbeats; it continues elsewhere."""

from __future__ import annotations

import pytest

from brassweir.agreed import timing
from brassweir.agreed.messages import SnapshotChunk
from brassweir.agreed.snapshot_pacing import QueuedChunk, SnapshotPacer
from brassweir.agreed.snapshot_transfer import SnapshotFetch
from brassweir.lab.models.logworld import Weather
from tests.agreed.feedworld import FeedWorld


def test_pieces_go_in_turn_within_a_budget() -> None:
    pacer = SnapshotPacer()
    for offset in range(100):
        for name in ("a", "b"):
            pacer.enqueue(QueuedChunk(name, 1, offset))
            pacer.enqueue(QueuedChunk(name, 1, offset))
    sent = []
    while (chunk := pacer.next(0.0)) is not None:
        sent.append(chunk)
    assert (
        len(sent) * timing.CHUNK_BYTES <= timing.CHUNK_BUDGET_BYTES
        and pacer.next_time() == timing.CHUNK_INTERVAL_MS
    )
    assert [chunk.name for chunk in sent[:4]] == ["a", "b", "a", "b"]
    assert [chunk.offset for chunk in sent[:4]] == [0, 0, 1, 1]
    # entries that were fed use up the budget
    pacer.charge(timing.CHUNK_INTERVAL_MS, timing.CHUNK_BUDGET_BYTES)
    assert pacer.next(timing.CHUNK_INTERVAL_MS) is not None and pacer.next(timing.CHUNK_INTERVAL_MS) is None
    left = 0
    while pacer.queued:
        left += pacer.next(1e6 + left * timing.CHUNK_INTERVAL_MS) is not None
    assert left + len(sent) + 1 == 2 * timing.CHUNK_WINDOW
    for i in range(2 * timing.MAX_FETCHING_COPIES):
        pacer.enqueue(QueuedChunk(f"copy {i}", 1, 0))
    assert len(pacer.queued) == timing.MAX_FETCHING_COPIES


def test_a_fetch_asks_again_for_what_did_not_come_and_goes_on_elsewhere() -> None:
    size = 40 * timing.CHUNK_BYTES - 10
    fetch = SnapshotFetch("a", 9, size, 0.0, 0.0)
    first = fetch.take_due(0.0)
    assert first == [
        offset * timing.CHUNK_BYTES for offset in range(timing.CHUNK_WINDOW)
    ] and not fetch.take_due(10.0)
    for offset in first[1:]:
        assert not fetch.add_chunk(SnapshotChunk(9, offset, size, b""), 20.0)
    following = fetch.take_due(20.0)
    assert len(following) == timing.CHUNK_WINDOW - 1 and first[0] not in following
    assert first[0] in fetch.take_due(timing.CHUNK_RETRY_MS)
    fetch.switch_sender("b")
    assert fetch.sender == "b" and not set(fetch.take_due(600.0)) & set(first[1:])
    missing = [offset for offset in range(0, size, timing.CHUNK_BYTES) if offset not in fetch.chunks]
    assert [fetch.add_chunk(SnapshotChunk(9, offset, size, b""), 700.0) for offset in missing][-2:] == [
        False,
        True,
    ]


def filled(seed: int, learners: int, commands: int = 180) -> FeedWorld:
    """All copies have a snapshot of 0.7 MB and some entries after it."""
    world = FeedWorld(seed, learners, Weather(snap=128))
    for _ in range(commands // 60):
        world.version(60, 5_600)
        world.until(lambda: world.have(world.tickets), 10_000.0)
    assert world.have(commands)
    world.run(world.now + 4_000.0)
    return world


def leaves(world: FeedWorld, count: int) -> tuple[str, ...]:
    """Learners that feed no other copy."""
    cores = [world.nodes[name].core for name in world.names]
    return tuple(core.name for core in cores if core and core.role == "learner" and not core.children)[:count]


@pytest.mark.parametrize(
    "loss, late, back, entry", [(0.0, 3.0, 6_000.0, 500.0), (0.2, 200.0, 25_000.0, 9_000.0)]
)
def test_twenty_without_folders_hold_up_nothing(loss: float, late: float, back: float, entry: float) -> None:
    world = filled(1, 40)
    lost = leaves(world, 20)
    others = tuple(name for name in world.names if name not in lost)
    assert len(lost) == 20
    world.weather.loss, world.weather.high = loss, late
    world.chunks.clear()
    world.beats.clear()
    for name in lost:
        world.lose(name)
    world.run(world.now + 600.0)
    begin, spans = world.now, []
    while not world.have(180, lost) and world.now < begin + back:
        count, proposed_at = world.tickets, world.now
        world.until(lambda: world.leader() is not None, 15_000.0)
        world.command(200)
        world.until(lambda count=count: world.have(count + 1, others), 15_000.0)  # type: ignore[misc]
        spans.append(world.now - proposed_at)
        world.run(world.now + 100.0)
    assert world.have(180, lost) and world.now - begin < back
    assert max(spans) < entry
    assert world.longest_silence() < 2.0 * timing.HEARTBEAT_MS
    second = timing.CHUNK_BUDGET_BYTES * 1_000.0 / timing.CHUNK_INTERVAL_MS
    assert 0 < max(world.chunks.values()) <= second + timing.CHUNK_BUDGET_BYTES


def test_a_feeder_that_dies_in_the_middle_costs_only_what_was_under_way() -> None:
    world = filled(2, 12)
    world.link = 200.0  # slow enough that it takes some seconds
    world.lose("l1", 100.0)
    pieces = 128 * 5_600 // timing.CHUNK_BYTES

    def under_way() -> bool:
        core = world.nodes["l1"].core
        return core is not None and core.fetch is not None and len(core.fetch.chunks) > pieces // 3

    assert world.until(under_way, 20_000.0) < 20_000.0
    core = world.nodes["l1"].core
    assert core is not None and core.fetch is not None
    had, before = len(core.fetch.chunks), world.sent("SnapshotChunk", "l1")
    world.crash(core.fetch.sender, "kept", -1.0)
    assert world.until(lambda: world.have(180, ("l1",)), 30_000.0) < 30_000.0
    assert world.sent("SnapshotChunk", "l1") - before <= pieces - had + 2 * timing.CHUNK_WINDOW


def test_a_newer_snapshot_meanwhile_does_not_begin_it_anew() -> None:
    world = filled(4, 6)
    world.link = 200.0
    world.lose("l1", 100.0)
    assert world.until(lambda: world.sent("SnapshotChunk", "l1") > 10, 20_000.0) < 20_000.0
    world.version(140, 100)  # the feeders take another snapshot, and forget entries up to it
    assert world.until(lambda: world.have(320, ("l1",)), 60_000.0) < 60_000.0
    pieces = 128 * 5_600 // timing.CHUNK_BYTES
    assert world.sent("SnapshotChunk", "l1") < 3.5 * pieces


def test_a_fetch_that_gets_on_is_not_given_up_for_a_newer_snapshot() -> None:
    core = FeedWorld(6, 1).nodes["l1"].core
    assert core is not None
    core.fetch_from("v1", 10, 99_000)
    for wait, index in [(0.0, 10), (timing.FETCH_STALLED_MS - 1.0, 10), (2.0, 11)]:
        core.now += wait
        core.fetch_from("v1", 11, 99_000)
        assert core.fetch is not None and core.fetch.index == index


def test_a_snapshot_as_it_is_sent_is_forgotten_when_nobody_asks() -> None:
    world = filled(5, 6)
    world.lose("l1", 100.0)
    world.run(world.now + 200.0)
    assert world.until(lambda: world.have(180, ("l1",)), 20_000.0) < 20_000.0
    assert any(node.core is not None and node.core.outgoing_snapshots for node in world.nodes.values())
    world.run(world.now + timing.OUTGOING_SNAPSHOT_TTL_MS + 3_000.0)
    assert not any(node.core is not None and node.core.outgoing_snapshots for node in world.nodes.values())
