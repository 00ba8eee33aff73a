"""Acknowledgements: merged up the feed tree, and correct under loss, restarts and partitions."""

from __future__ import annotations

import pytest

from brassweir.agreed import timing
from brassweir.agreed.messages import Acknowledge, Envelope, encode
from brassweir.configstream.acknowledgements import (
    MAX_VERSION_ROWS,
    Acknowledgements,
    MessageOrigin,
    decode_rows,
    encode_rows,
    merge_rows,
)
from brassweir.configstream.member_index import MemberIndex, MemberIndexHistory
from brassweir.lab.models.logworld import Weather
from tests.configstream.ackworld import LEAVE, AckWorld


def test_rows_merge_each_copy_once_at_its_highest_version() -> None:
    assert merge_rows([((9, 0b0011), (7, 0b0100)), ((8, 0b0111), (0, 0b1000))]) == (
        (9, 0b0011),
        (8, 0b0100),
        (0, 0b1000),
    )
    many = merge_rows([((version, 1 << version),) for version in range(1, 9)])
    assert [version for version, _ in many] == [8, 7, 6, 0] and many[-1][1] == 0b111110


def test_a_message_is_bounded_at_490_copies() -> None:
    member_index = MemberIndex(f"copy-{i:03}" for i in range(490))
    rows = tuple(((1 << 52) - i, member_index.all_bits) for i in range(MAX_VERSION_ROWS)) + (
        (0, member_index.all_bits),
    )
    body = encode_rows(rows, member_index, 1 << 30)
    assert len(encode(Envelope(1, "a" * 16, "b" * 16, 99, 1 << 31, body))) < 400
    assert decode_rows(body, member_index) == rows


@pytest.mark.parametrize(
    "versions, bitmaps",
    [
        ((3,), (b"\xff",)),
        ((3, 4), (b"\1", b"\2")),
        ((4, 4), (b"\1", b"\2")),
        ((4, 3), (b"\1",)),
        ((9, 8, 7, 6, 5), (b"",) * 5),
    ],
)
def test_invalid_rows_are_rejected(versions: tuple[int, ...], bitmaps: tuple[bytes, ...]) -> None:
    with pytest.raises(ValueError):
        decode_rows(Acknowledge(0, versions, bitmaps), MemberIndex("abc"))


def empty_acknowledgements(*names: str) -> tuple[MemberIndexHistory, Acknowledgements]:
    member_indexes = MemberIndexHistory()
    member_indexes.replace(names)
    return member_indexes, Acknowledgements(member_indexes)


def test_outdated_and_duplicate_messages_are_dropped() -> None:
    member_indexes, acks = empty_acknowledgements("a", "b", "c")
    checksum = member_indexes.current.checksum

    def accept_report(life: int, sequence: int, version: int, member: str = "m") -> str:
        message = Acknowledge(checksum, (version,), (b"\2",))
        return acks.accept("b", MessageOrigin(member, life, life, sequence), message, 0.0, 100.0)

    assert [accept_report(1, 1, 5), accept_report(1, 3, 7)] == ["", ""]
    assert all(accept_report(*late) for late in [(1, 3, 7), (1, 2, 5)])
    # restarted, then a message of the generation before
    assert accept_report(2, 1, 5) == "" and accept_report(1, 4, 8)
    assert acks.merged_rows("a", 9) == ((9, 0b001), (5, 0b010))
    assert accept_report(1, 1, 3, "another member") == ""
    acks.expire(100.0)
    assert acks.merged_rows("a", 9) == ((9, 0b001),)


def test_bitmaps_of_another_member_list_are_translated_or_dropped() -> None:
    member_indexes, acks = empty_acknowledgements("a", "b", "c", "d")
    old = member_indexes.current
    message = encode_rows(((4, old.bit("b") | old.bit("d")),), old, 1)
    assert acks.accept("b", MessageOrigin("m", 1, 1, 1), message, 0.0, 100.0) == ""
    assert member_indexes.replace(["a", "c", "d", "e"])
    assert member_indexes.current.names_in(acks.merged_rows("a", None)[0][1]) == ["d"]
    unknown = MemberIndex(["a", "z"])
    assert acks.accept("d", MessageOrigin("n", 1, 1, 1), Acknowledge(unknown.checksum, (), ()), 0.0, 100.0)


def test_reports_about_this_copy_and_from_its_feeder_are_ignored() -> None:
    member_indexes, acks = empty_acknowledgements("a", "b", "c")
    for sender in ("b", "c"):
        message = Acknowledge(member_indexes.current.checksum, (8,), (b"\7",))
        assert acks.accept(sender, MessageOrigin(sender, 1, 1, 1), message, 0.0, 100.0) == ""
    assert acks.merged_rows("a", 3) == ((8, 0b110), (3, 0b001))
    acks.reports.pop("c")
    assert acks.merged_rows("a", 3, uplink="b") == ((3, 0b001),)


# The whole simulated fleet


def settled(learners: int, seed: int = 4, weather: Weather | None = None) -> AckWorld:
    world = AckWorld(seed, 3, learners, weather)
    world.watch(6_000.0, 500.0)
    world.propose(str(world.leader()))
    world.watch(6_000.0, 500.0)
    return world


def test_every_copy_is_counted_and_messages_per_receiver_are_bounded() -> None:
    world = settled(57)
    leader = str(world.leader())
    view = world.core(leader).fleet_view(world.now)
    assert (view.leading, view.newest, view.copies, view.in_force) == (True, 1, 60, 60)
    assert (view.behind, view.unreported) == ((), ())
    before = dict(world.acknowledged)
    world.propose(leader)
    world.run(world.now + 3_000.0)
    assert world.core(leader).fleet_view(world.now).in_force == 60
    # at most 18 senders below each copy, at most four messages a second from each
    assert max(world.acknowledged[name] - before.get(name, 0) for name in world.acknowledged) <= 18 * 12
    assert world.largest < 400


@pytest.mark.parametrize("loss, late", [(0.0, 3.0), (0.2, 200.0)])
def test_counts_stay_correct_through_restarts_and_partitions(loss: float, late: float) -> None:
    world = settled(12, weather=Weather(loss=loss, double=0.1, high=late, snap=20.0))
    for i in range(24):
        name = world.names[3 + i % 12]
        [world.crash, world.lose, world.isolate][i % 3](name, "torn" if i % 3 == 0 else 1_500.0)  # type: ignore[operator]
        if i % 8 == 5:
            world.crash(str(world.leader() or "v1"))
        if world.leader() is not None:
            world.propose(str(world.leader()))
        # reports expire once for each level of the feed tree if the feeder fails as well
        world.watch(900.0, 300.0, 3 * timing.CHILD_EXPIRY_MS)
    world.watch(25_000.0, 1_000.0, 3 * timing.CHILD_EXPIRY_MS)
    view = world.core(str(world.leader())).fleet_view(world.now)
    assert view.in_force == view.copies == 15


def test_a_copy_restored_from_older_data_is_not_counted_as_current() -> None:
    world = settled(6)
    world.save("l2")
    for _ in range(3):
        world.propose(str(world.leader()))
        world.watch(1_000.0)
    world.cuts |= {(other, "l2") for other in world.names}  # it can send, and receives nothing
    world.restore("l2", 100.0)
    world.watch(timing.CHILD_EXPIRY_MS + 1_000.0)
    view = world.core(str(world.leader())).fleet_view(world.now)
    assert view.in_force == 8 and "l2" in {*view.unreported, *(copy.name for copy in view.behind)}
    world.cuts.clear()
    world.watch(15_000.0, 500.0)
    assert world.core(str(world.leader())).fleet_view(world.now).in_force == 9


def test_lagging_copies_are_listed_with_their_lag() -> None:
    world = settled(6)
    tell_module = world.tell

    max_versions = {"l3": 1, "l4": 2, "l5": 3}

    def tell(name: str, start: int, version: int) -> None:
        if version <= max_versions.get(name, version):
            tell_module(name, start, version)

    world.tell = tell  # type: ignore[method-assign]
    leader = str(world.leader())
    world.propose(leader)
    world.watch(4_000.0)
    (copy,) = world.core(leader).fleet_view(world.now).behind
    assert (copy.name, copy.version) == ("l3", 1) and 3_900.0 < copy.lag_ms <= 4_000.0
    for _ in range(3):
        world.propose(leader)
        world.watch(2_000.0)
    behind = {copy.name: copy for copy in world.core(leader).fleet_view(world.now).behind}
    assert {name: copy.version for name, copy in behind.items()} == {"l3": 0, "l4": 2, "l5": 3}
    assert [round(behind[name].lag_ms, -3) for name in max_versions] == [10_000.0, 6_000.0, 4_000.0]


def test_a_removed_member_is_no_longer_counted() -> None:
    world = settled(8)
    leader = str(world.leader())
    world.command(leader, LEAVE + b"l4")
    world.watch(3_000.0)
    view = world.core(leader).fleet_view(world.now)
    assert (view.copies, view.in_force, view.unreported) == (10, 10, ())


def test_a_crashed_copy_is_unreported() -> None:
    world = settled(8)
    world.crash("l5", "kept", -1.0)
    world.watch(2.0 * timing.CHILD_EXPIRY_MS)
    view = world.core(str(world.leader())).fleet_view(world.now)
    assert (view.in_force, view.unreported) == (10, ("l5",))
