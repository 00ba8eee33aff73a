"""Log maintenance of a copy on a fake group: renewals, desired epochs, lost contact, stepped clocks."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import msgspec
import pytest

from brassweir.agreed.commands import Format, Leave, encode
from brassweir.regions import planning
from brassweir.service import log_maintenance, membership
from brassweir.service.agreed_log import AgreedLog
from tests.conftest import run
from tests.service.group import ASSUMED, Copy, SharedLog, cancel_tasks, first_epoch, start_group, until


@pytest.fixture(autouse=True)
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(log_maintenance, "CHECK_INTERVAL_SECONDS", 0.005)
    monkeypatch.setattr(membership, "RETRY_SECONDS", 0.05)


def test_the_first_epoch_is_proposed_once_and_the_leader_renews(tmp_path: Path) -> None:
    async def work() -> None:
        log, copies = await start_group(tmp_path)
        issued = copies[1].member.machine.state.epoch
        assert issued is not None and [one.notes_of("wish_agreed") != [] for one in copies] == [
            True,
            False,
            False,
        ]
        await until(
            lambda: all(
                one.region.ownership.epoch is not None
                and one.region.ownership.epoch.issued >= issued.issued + 400.0
                for one in copies
            )
        )
        assert (
            copies[0].region.state_path.read_bytes() == copies[1].region.state_path.read_bytes()
        ) and copies[2].notes_of("renewal_refused") == []
        assert all(
            [one.accepts(f"m{n}") for one in (copies[0], copies[1])].count(True) == 1 for n in range(20)
        )
        before = len(log.entries)
        log.leader = "b"
        await until(lambda: len(log.entries) > before + 1)
        cancel_tasks(copies)

    run(work())


def test_a_copy_cut_off_takes_what_its_lease_allows_and_refuses_the_rest_before_any_effect(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        _, copies = await start_group(tmp_path)
        east, west = copies[0], copies[1]
        names = [f"m{n}" for n in range(40)]
        accepted = [name for name in names if west.accepts(name)]
        assert accepted and len(accepted) < len(names)
        west.member.cut_off = True
        assert west.accepts(accepted[0]), "its lease has not expired"
        await until(lambda: not west.accepts(accepted[0]))
        assert not any(west.accepts(name) for name in names) and all(
            west.accepts(name, "status") for name in names
        )
        assert [east.accepts(name) for name in names] == [name not in accepted for name in names], (
            "no other region accepts its messages"
        )
        west.member.cut_off = False
        west.member.follow()
        await until(lambda: west.accepts(accepted[0]))
        cancel_tasks(copies)

    run(work())


def test_a_desired_epoch_at_any_copy_is_agreed_or_refused_with_its_reason(tmp_path: Path) -> None:
    async def work() -> None:
        _, copies = await start_group(tmp_path)
        stale = copies[2].region.ownership.epoch
        assert stale is not None
        issued = stale.issued
        await until(lambda: (copies[2].region.ownership.epoch or stale).issued > issued)
        for wish, event, words in (
            (
                planning.moved(stale, 0, 1 << 20, "west", time.time() * 1000.0, 2_000.0, ASSUMED).epoch,
                "wish_agreed",
                "",
            ),
            (msgspec.structs.replace(stale, number=2), "wish_known", ""),
            (msgspec.structs.replace(stale, number=9), "wish_refused", "epoch 9 does not follow 2"),
        ):
            copies[2].first.write_bytes(msgspec.json.encode(wish))
            copies[2].maintenance.desired.read(True)
            await until(lambda event=event: bool(copies[2].notes_of(event)))  # type: ignore[misc]
            assert words in str(copies[2].notes_of(event)[0]["error"])
        assert all((one.region.ownership.epoch or stale).number == 2 for one in copies)
        copies[2].first.write_text("{}")
        copies[2].maintenance.desired.read(True)
        assert "no epoch" in str(copies[2].notes_of("wish_refused")[-1]["error"])
        cancel_tasks(copies)

    run(work())


def test_a_log_founded_anew_does_not_go_back_behind_what_a_copy_knows(tmp_path: Path) -> None:
    async def work() -> None:
        _, copies = await start_group(tmp_path)
        cancel_tasks(copies)
        later = copies[0].region.ownership.epoch
        assert later is not None
        moved = planning.moved(later, 0, 1 << 20, "west", time.time() * 1000.0, 2_000.0, ASSUMED).epoch
        (tmp_path / "a.epoch").write_bytes(msgspec.json.encode(moved))
        again = Copy("a", "east", SharedLog(leader="a"), tmp_path)
        await until(lambda: bool(again.notes_of("wish_refused")))
        assert (
            "comes after 2" in str(again.notes_of("wish_refused")[0]["error"])
            and again.member.machine.state.epoch is None
        )
        cancel_tasks([again])

    run(work())


def test_voters_and_members_follow_the_settings(tmp_path: Path) -> None:
    async def work() -> None:
        log, copies = await start_group(tmp_path)
        copies[1].maintenance.membership.want_voters(frozenset({"b", "c"}))
        await asyncio.sleep(0.1)
        assert log.voters == {"a", "b"}, "only the leader changes voters, once its settings ask for it"
        copies[0].maintenance.membership.want_voters(frozenset({"b", "c"}))
        await until(lambda: log.voters == {"b", "c"})
        assert [one["copy"] for one in copies[0].notes_of("voter_changed")] == ["c", "a"], (
            "a voter is added before another is removed"
        )
        copies[2].member.cut_off = True
        copies[0].maintenance.membership.want_voters(frozenset({"a", "b"}))
        await until(lambda: log.voters == {"a", "b"})
        assert [one["copy"] for one in copies[0].notes_of("voter_changed")][2:] == ["c", "a"], (
            "a dead voter is removed before another is added"
        )
        copies[2].member.cut_off = False
        copies[2].member.follow()
        await until(
            lambda: (
                not copies[0].maintenance.membership.voters and not copies[1].maintenance.membership.voters
            )
        )
        copies[1].maintenance.membership.to_remove |= {"c", "gone"}
        await until(
            lambda: (
                all("c" not in one.member.machine.state.copies for one in copies)
                and not copies[1].maintenance.membership.to_remove
            )
        )
        await asyncio.sleep(0.1)
        assert "c" not in copies[0].member.machine.state.copies, "a removed member does not join again"
        cancel_tasks(copies)

    run(work())


def test_a_version_that_cannot_follow_stops_and_its_lease_runs_out(tmp_path: Path) -> None:
    async def work() -> None:
        log, copies = await start_group(tmp_path)
        for one in copies[:2]:
            one.member.machine.level = 2
        await until(
            lambda: [copies[0].member.machine.state.copies[name].reads for name in ("a", "b")] == [2, 2]
        )
        for command in (Leave("c"), Format(2)):
            await copies[0].member.propose(encode(command), 100.0)
        await until(
            lambda: copies[2].member.cut_off and not any(copies[2].accepts(f"m{n}") for n in range(20))
        )
        assert (
            "this version knows 1" in str(copies[2].notes_of("agreed_beyond"))
            and copies[0].member.machine.state.level == 2
        )
        assert any(copies[1].accepts(f"m{n}") for n in range(20))
        cancel_tasks(copies)

    run(work())


def test_a_leader_whose_clock_steps_gives_the_lead_away(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        log, copies = await start_group(tmp_path)
        copies[0].region.ownership.clock_offset = (
            copies[0].region.ownership.clock_offset or 0.0
        ) - 60_000.0  # as if the wall clock had stepped a minute ahead
        await until(lambda: log.leader != "a")
        assert "clock" in str(copies[0].notes_of("lead_given_away")[0]["why"])
        assert not any(copies[0].accepts(f"m{n}") for n in range(20))
        wall = time.time() * 1000.0
        await until(lambda: (copies[1].region.ownership.epoch or first_epoch()).issued > wall)
        cancel_tasks(copies)

    run(work())


def test_members_are_removed_one_at_each_check(tmp_path: Path) -> None:
    async def work() -> None:
        _, copies = await start_group(tmp_path)
        cancel_tasks(copies)
        maintenance, there = copies[0].maintenance, copies[0].member.machine.state.copies
        maintenance.membership.to_remove = {"b", "c"}
        await maintenance.membership.remove_left()
        assert sorted(there) == ["a", "c"] and maintenance.membership.to_remove == {"c"}

    run(work())


def test_a_copy_whose_maintenance_fails_leaves_the_log() -> None:
    async def play() -> None:
        events: list[str] = []
        agreed = AgreedLog.__new__(AgreedLog)
        agreed.note = lambda event, _: events.append(event)
        agreed.leave_for_good = lambda: events.append("given up")  # type: ignore[method-assign]

        async def broken() -> None:
            raise RuntimeError("a fault of ours")

        task = asyncio.create_task(broken())
        task.add_done_callback(agreed._ended)
        await asyncio.wait([task])
        await asyncio.sleep(0)
        assert events == ["agreed_ended", "given up"]

    run(play())
