"""What a copy does with the agreed log, on a stand-in for the group: renewals, wishes, cuts, clocks, full disks."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import pytest

from brassweir.agreed.machine import Machine
from brassweir.config.model import CopyModel
from brassweir.core.ports import Answer, Payload, Submission
from brassweir.interface import Effect, MessageClass
from brassweir.regions import planning
from brassweir.regions.epochs import Epoch
from brassweir.regions.ownership import Assumed
from brassweir.service import agreeing, regionlog
from brassweir.service.agreeing import Agreeing
from brassweir.service.regionlog import RegionLog
from tests.conftest import run

ASSUMED = Assumed(100.0, 1_000.0, 3_600_000.0)
CLASSES = {"order": MessageClass("order", 500.0, 1_000.0, Effect.UNSAFE), "status": MessageClass("status", 500.0, 1_000.0, Effect.SAFE)}
URLS = {"east": "http://east", "west": "http://west"}


@dataclass
class Outcome:
    how: str
    index: int = 0
    result: bytes = b""
    why: str = ""


@dataclass
class Log:
    """One log that all stand-ins share."""

    entries: list[bytes] = field(default_factory=list)
    leader: str = ""
    members: list[Member] = field(default_factory=list)


class Member:
    """Agrees at once, unless it is cut off: then it hears nothing and nothing is agreed."""

    def __init__(self, name: str, log: Log) -> None:
        self.name, self.log, self.machine, self.cut, self.read = name, log, Machine(), False, 0
        log.members.append(self)

    async def propose(self, command: bytes, timeout_ms: float) -> Outcome:
        if self.cut or not self.log.leader:
            return Outcome("refused", why="no leader")
        self.log.entries.append(command)
        for one in self.log.members:
            one.follow()
        probe = Machine()
        return Outcome("agreed", len(self.log.entries), [probe.apply(at, entry) for at, entry in enumerate(self.log.entries, 1)][-1])

    def follow(self) -> None:
        while not self.cut and self.read < len(self.log.entries):
            self.read += 1
            self.machine.apply(self.read, self.log.entries[self.read - 1])

    async def hand_over(self) -> None:
        if self.log.leader == self.name:
            self.log.leader = next(one.name for one in self.log.members if one is not self and not one.cut)

    def status(self) -> Mapping[str, Any]:
        return {"leader": "" if self.cut else self.log.leader, "role": "follower"}


class Copy:
    """One copy's dealings with the log, and its ownership."""

    def __init__(self, name: str, region: str, log: Log, folder: Path, lease: float = 2_000.0) -> None:
        self.notes: list[tuple[str, dict[str, object]]] = []
        self.region = RegionLog(region, folder / f"{name}.epoch", ASSUMED, CLASSES, lambda event, more: self.notes.append((event, more)))
        self.member, self.first = Member(name, log), folder / "first.json"
        self.deals = Agreeing(CopyModel(name=name, site=f"{region}1", region=region, address="127.0.0.1:1"), self.member.machine, self.member,
                              self.region, lease, self.first, lambda event, more: self.notes.append((event, more)))
        self.tasks = [asyncio.create_task(self.deals.run())]
        self.deals.read_wish(False)

    def takes(self, name: str, cls: str = "order") -> bool:
        refused = self.region.admits(Submission("c", name, cls, 1, 900.0, payload=Payload("a/b", b"")))
        assert refused is None or refused.answer is Answer.REFUSED
        return refused is None

    def said(self, event: str) -> list[dict[str, object]]:
        return [more for name, more in self.notes if name == event]


def first(lease: float = 2_000.0, turn: int = 1) -> Epoch:
    return msgspec.structs.replace(planning.first(URLS, time.time() * 1000.0 - 500.0, lease), turn=turn)


async def until(what: Callable[[], bool], seconds: float = 10.0) -> None:
    end = time.monotonic() + seconds
    while not what():
        assert time.monotonic() < end, "waited in vain"
        await asyncio.sleep(0.01)


async def group(tmp_path: Path) -> tuple[Log, list[Copy]]:
    (tmp_path / "first.json").write_bytes(msgspec.json.encode(first()))
    log = Log(leader="a")
    copies = [Copy(name, region, log, tmp_path) for name, region in (("a", "east"), ("b", "west"), ("c", "west"))]
    await until(lambda: all(one.region.own.epoch is not None and len(one.member.machine.state.copies) == 3 for one in copies))
    return log, copies


@pytest.fixture(autouse=True)
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(agreeing, "LOOK", 0.005)


def end(copies: list[Copy]) -> None:
    for one in copies:
        for task in one.tasks:
            assert not task.done(), task
            task.cancel()


def test_the_first_epoch_is_proposed_once_and_the_leader_renews(tmp_path: Path) -> None:
    async def work() -> None:
        log, copies = await group(tmp_path)
        issued = copies[1].member.machine.state.epoch
        assert issued is not None and [one.said("wish_agreed") != [] for one in copies] == [True, False, False]
        await until(lambda: all(one.region.own.epoch is not None and one.region.own.epoch.issued >= issued.issued + 400.0 for one in copies))
        assert (copies[0].region.state.read_bytes() == copies[1].region.state.read_bytes()) and copies[2].said("renewal_refused") == []
        assert all([one.takes(f"m{n}") for one in (copies[0], copies[1])].count(True) == 1 for n in range(20))
        before = len(log.entries)
        log.leader = "b"
        await until(lambda: len(log.entries) > before + 1)
        end(copies)

    run(work())


def test_a_copy_cut_off_takes_what_its_lease_allows_and_refuses_the_rest_before_any_effect(tmp_path: Path) -> None:
    async def work() -> None:
        _, copies = await group(tmp_path)
        east, west = copies[0], copies[1]
        names = [f"m{n}" for n in range(40)]
        mine = [name for name in names if west.takes(name)]
        assert mine and len(mine) < len(names)
        west.member.cut = True
        assert west.takes(mine[0]), "its lease still stands"
        await until(lambda: not west.takes(mine[0]))
        assert not any(west.takes(name) for name in names) and all(west.takes(name, "status") for name in names)
        assert [east.takes(name) for name in names] == [name not in mine for name in names], "nobody else has its places"
        west.member.cut = False
        west.member.follow()
        await until(lambda: west.takes(mine[0]))
        end(copies)

    run(work())


def test_a_wish_on_any_copy_is_planned_anew_and_agreed_or_refused_with_its_reason(tmp_path: Path) -> None:
    async def work() -> None:
        _, copies = await group(tmp_path)
        stale = copies[2].region.own.epoch
        assert stale is not None
        issued = stale.issued
        await until(lambda: (copies[2].region.own.epoch or stale).issued > issued)
        for wish, event, words in ((planning.moved(stale, 0, 1 << 20, "west", time.time() * 1000.0, 2_000.0, ASSUMED).epoch, "wish_agreed", ""),
                                   (msgspec.structs.replace(stale, number=2), "wish_known", ""),
                                   (msgspec.structs.replace(stale, number=9), "wish_refused", "epoch 9 does not follow 2")):
            copies[2].first.write_bytes(msgspec.json.encode(wish))
            copies[2].deals.read_wish(True)
            await until(lambda event=event: bool(copies[2].said(event)))  # type: ignore[misc]
            assert words in str(copies[2].said(event)[0]["error"])
        assert all((one.region.own.epoch or stale).number == 2 for one in copies)
        copies[2].first.write_text("{}")
        copies[2].deals.read_wish(True)
        assert "no epoch" in str(copies[2].said("wish_refused")[-1]["error"])
        end(copies)

    run(work())


def test_a_log_founded_anew_does_not_go_back_behind_what_a_copy_knows(tmp_path: Path) -> None:
    async def work() -> None:
        _, copies = await group(tmp_path)
        end(copies)
        later = copies[0].region.own.epoch
        assert later is not None
        moved = planning.moved(later, 0, 1 << 20, "west", time.time() * 1000.0, 2_000.0, ASSUMED).epoch
        (tmp_path / "a.epoch").write_bytes(msgspec.json.encode(moved))
        again = Copy("a", "east", Log(leader="a"), tmp_path)
        await until(lambda: bool(again.said("wish_refused")))
        assert "comes after 2" in str(again.said("wish_refused")[0]["error"]) and again.member.machine.state.epoch is None
        end([again])

    run(work())


def test_a_leader_whose_clock_steps_gives_the_lead_away(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        log, copies = await group(tmp_path)
        copies[0].region.own.offset = (copies[0].region.own.offset or 0.0) - 60_000.0  # as if the wall clock had gone on by a minute
        await until(lambda: log.leader != "a")
        assert "clock" in str(copies[0].said("lead_given_away")[0]["why"])
        assert not any(copies[0].takes(f"m{n}") for n in range(20))
        wall = time.time() * 1000.0
        await until(lambda: (copies[1].region.own.epoch or first()).issued > wall)
        end(copies)

    run(work())


def test_an_epoch_that_cannot_be_kept_does_not_count_and_is_tried_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    notes: list[str] = []
    one = RegionLog("east", tmp_path / "s.epoch", ASSUMED, CLASSES, lambda event, _: notes.append(event))

    def sick(_: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fsync", sick)
    one.applied(first())
    one.look()
    assert one.own.epoch is None and notes == ["epoch_refused"]
    monkeypatch.undo()
    one.look()
    assert one.own.epoch is not None and notes[-1] == "epoch"
    again = regionlog.RegionLog("east", tmp_path / "s.epoch", ASSUMED, CLASSES, lambda event, _: notes.append(event))
    assert again.own.epoch == one.own.epoch
    again.applied(first(turn=0))
    assert notes[-1] == "epoch_refused" and again.own.epoch == one.own.epoch, "an older state of the log is not gone back to"
