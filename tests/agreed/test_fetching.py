"""Snapshots come in paced pieces: many that fetch hold up neither entries nor beats, and a fetch goes on."""

from __future__ import annotations

import pytest

from brassweir.agreed import timing
from brassweir.agreed.fetching import Fetch
from brassweir.agreed.messages import Chunk
from brassweir.agreed.pacing import Pacing, Piece
from brassweir.lab.models.logworld import Weather
from tests.agreed.feedworld import FeedWorld


def test_pieces_go_in_turn_within_a_budget() -> None:
    pacing = Pacing()
    for at in range(100):
        for name in ("a", "b"):
            pacing.ask(Piece(name, 1, at))
            pacing.ask(Piece(name, 1, at))
    sent = []
    while (piece := pacing.next(0.0)) is not None:
        sent.append(piece)
    assert len(sent) * timing.CHUNK <= timing.CHUNK_BUDGET and pacing.next_time() == timing.CHUNK_EVERY
    assert [piece.name for piece in sent[:4]] == ["a", "b", "a", "b"]
    assert [piece.at for piece in sent[:4]] == [0, 0, 1, 1]
    pacing.spend(timing.CHUNK_EVERY, timing.CHUNK_BUDGET)  # entries: they are not held back, pieces are
    assert pacing.next(timing.CHUNK_EVERY) is not None and pacing.next(timing.CHUNK_EVERY) is None
    left = 0
    while pacing.asked:
        left += pacing.next(1e6 + left * timing.CHUNK_EVERY) is not None
    assert left + len(sent) + 1 == 2 * timing.CHUNKS
    for i in range(2 * timing.MOST_FETCHING):
        pacing.ask(Piece(f"copy {i}", 1, 0))
    assert len(pacing.asked) == timing.MOST_FETCHING


def test_a_fetch_asks_again_for_what_did_not_come_and_goes_on_elsewhere() -> None:
    size = 40 * timing.CHUNK - 10
    fetch = Fetch("a", 9, size, 0.0, 0.0)
    first = fetch.due(0.0)
    assert first == [at * timing.CHUNK for at in range(timing.CHUNKS)] and not fetch.due(10.0)
    for at in first[1:]:
        assert not fetch.take(Chunk(9, at, size, b""), 20.0)
    following = fetch.due(20.0)
    assert len(following) == timing.CHUNKS - 1 and first[0] not in following
    assert first[0] in fetch.due(timing.CHUNK_AGAIN)
    fetch.move("b")
    assert fetch.sender == "b" and not set(fetch.due(600.0)) & set(first[1:])
    missing = [at for at in range(0, size, timing.CHUNK) if at not in fetch.parts]
    assert [fetch.take(Chunk(9, at, size, b""), 700.0) for at in missing][-2:] == [False, True]


def filled(seed: int, learners: int, commands: int = 180) -> FeedWorld:
    """All have a snapshot of 0.7 MB and some entries after it."""
    world = FeedWorld(seed, learners, Weather(snap=128))
    for _ in range(commands // 60):
        world.version(60, 5_600)
        world.until(lambda: world.have(world.tickets), 10_000.0)
    assert world.have(commands)
    world.run(world.now + 4_000.0)
    return world


def leaves(world: FeedWorld, most: int) -> tuple[str, ...]:
    """Learners that feed nobody."""
    cores = [world.nodes[name].core for name in world.names]
    return tuple(core.name for core in cores if core and core.role == "learner" and not core.children)[:most]


@pytest.mark.parametrize(
    "loss, late, back, entry", [(0.0, 3.0, 6_000.0, 500.0), (0.2, 200.0, 25_000.0, 9_000.0)]
)
def test_twenty_without_folders_hold_up_nothing(loss: float, late: float, back: float, entry: float) -> None:
    world = filled(1, 40)
    lost = leaves(world, 20)
    others = tuple(name for name in world.names if name not in lost)
    assert len(lost) == 20
    term = max(world.judge.leads)
    world.weather.loss, world.weather.high = loss, late
    world.chunks.clear()
    for name in lost:
        world.lose(name)
    world.run(world.now + 600.0)
    begin, spans = world.now, []
    while not world.have(180, lost) and world.now < begin + back:
        had = world.tickets
        world.command(200)
        spans.append(world.until(lambda had=had: world.have(had + 1, others), 15_000.0))  # type: ignore[misc]
        world.run(world.now + 100.0)
    assert world.have(180, lost) and world.now - begin < back
    assert max(spans) < entry
    assert max(world.judge.leads) == term  # no beat came so late that another one was elected
    second = timing.CHUNK_BUDGET * 1_000.0 / timing.CHUNK_EVERY
    assert 0 < max(world.chunks.values()) <= second + timing.CHUNK_BUDGET


def test_a_feeder_that_dies_in_the_middle_costs_only_what_was_under_way() -> None:
    world = filled(2, 12)
    world.link = 200.0  # slow enough that it takes some seconds
    world.lose("l1", 100.0)
    pieces = 128 * 5_600 // timing.CHUNK

    def under_way() -> bool:
        core = world.nodes["l1"].core
        return core is not None and core.fetch is not None and len(core.fetch.parts) > pieces // 3

    assert world.until(under_way, 20_000.0) < 20_000.0
    core = world.nodes["l1"].core
    assert core is not None and core.fetch is not None
    had, before = len(core.fetch.parts), world.sent("Chunk", "l1")
    world.crash(core.fetch.sender, "kept", -1.0)
    assert world.until(lambda: world.have(180, ("l1",)), 30_000.0) < 30_000.0
    assert world.sent("Chunk", "l1") - before <= pieces - had + 2 * timing.CHUNKS


def test_a_newer_snapshot_meanwhile_does_not_begin_it_anew() -> None:
    world = filled(4, 6)
    world.link = 200.0
    world.lose("l1", 100.0)
    assert world.until(lambda: world.sent("Chunk", "l1") > 10, 20_000.0) < 20_000.0
    world.version(140, 100)  # the feeders take another snapshot, and forget entries up to it
    assert world.until(lambda: world.have(320, ("l1",)), 60_000.0) < 60_000.0
    pieces = 128 * 5_600 // timing.CHUNK
    assert world.sent("Chunk", "l1") < 3.5 * pieces


def test_a_fetch_that_gets_on_is_not_given_up_for_a_newer_snapshot() -> None:
    core = FeedWorld(6, 1).nodes["l1"].core
    assert core is not None
    core.fetch_from("v1", 10, 99_000)
    for wait, index in [(0.0, 10), (timing.FETCH_STILL - 1.0, 10), (2.0, 11)]:
        core.now += wait
        core.fetch_from("v1", 11, 99_000)
        assert core.fetch is not None and core.fetch.index == index


def test_a_snapshot_as_it_is_sent_is_forgotten_when_nobody_asks() -> None:
    world = filled(5, 6)
    world.lose("l1", 100.0)
    world.run(world.now + 200.0)
    assert world.until(lambda: world.have(180, ("l1",)), 20_000.0) < 20_000.0
    assert any(node.core is not None and node.core.sending for node in world.nodes.values())
    world.run(world.now + timing.SENDING_KEPT + 3_000.0)
    assert not any(node.core is not None and node.core.sending for node in world.nodes.values())
