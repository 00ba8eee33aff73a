"""A fake of the agreed log's group: one log that all members share, and copies with ownership from it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from brassweir.agreed.machine import Machine
from brassweir.config.model import CopyModel
from brassweir.core.ports import Answer, Payload, Submission
from brassweir.interface import Effect, MessageClass
from brassweir.regions import planning
from brassweir.regions.epochs import Epoch
from brassweir.regions.ownership import Assumptions
from brassweir.service.log_maintenance import LogMaintenance
from brassweir.service.log_ownership import LogOwnership

ASSUMED = Assumptions(100.0, 1_000.0, 3_600_000.0)
CLASSES = {
    "order": MessageClass("order", 500.0, 1_000.0, Effect.UNSAFE),
    "status": MessageClass("status", 500.0, 1_000.0, Effect.SAFE),
}
URLS = {"east": "http://east", "west": "http://west"}


@dataclass
class Outcome:
    how: str
    index: int = 0
    result: bytes = b""
    why: str = ""


@dataclass
class SharedLog:
    """The log that all fake members share."""

    entries: list[bytes] = field(default_factory=list)
    leader: str = ""
    members: list[FakeMember] = field(default_factory=list)
    voters: set[str] = field(default_factory=lambda: {"a", "b"})


class FakeMember:
    """Agrees commands at once; while it is cut off, it agrees and applies nothing."""

    def __init__(self, name: str, log: SharedLog) -> None:
        self.name, self.log, self.machine, self.cut_off, self.read = name, log, Machine(), False, 0
        log.members.append(self)

    async def propose(self, command: bytes, timeout_ms: float) -> Outcome:
        if self.cut_off or not self.log.leader:
            return Outcome("refused", why="no leader")
        self.log.entries.append(command)
        for one in self.log.members:
            one.follow()
        probe = Machine()
        return Outcome(
            "agreed",
            len(self.log.entries),
            [probe.apply(at, entry) for at, entry in enumerate(self.log.entries, 1)][-1],
        )

    def follow(self) -> None:
        while not self.cut_off and self.read < len(self.log.entries):
            self.read += 1
            self.machine.apply(self.read, self.log.entries[self.read - 1])

    def hand_over(self) -> None:
        if self.log.leader == self.name:
            self.log.leader = next(
                one.name for one in self.log.members if one is not self and not one.cut_off
            )

    async def change(self, name: str, votes: bool, timeout_ms: float) -> Outcome:
        (self.log.voters.add if votes else self.log.voters.discard)(name)
        return Outcome("agreed")

    def alive(self) -> frozenset[str]:
        return frozenset(one.name for one in self.log.members if not one.cut_off)

    def leave_for_good(self) -> None:
        self.cut_off = True

    def status(self) -> Mapping[str, Any]:
        return {
            "leader": "" if self.cut_off else self.log.leader,
            "role": "follower",
            "voters": sorted(self.log.voters),
        }


class Copy:
    """One copy's log maintenance and its ownership, on a fake member."""

    def __init__(self, name: str, region: str, log: SharedLog, folder: Path, lease: float = 1_000.0) -> None:
        self.notes: list[tuple[str, dict[str, object]]] = []
        self.region = LogOwnership(
            region,
            folder / f"{name}.epoch",
            ASSUMED,
            CLASSES,
            lambda event, more: self.notes.append((event, more)),
        )
        self.member, self.first = FakeMember(name, log), folder / "first.json"
        self.maintenance = LogMaintenance(
            CopyModel(name=name, site=f"{region}1", region=region, address="127.0.0.1:1"),
            self.member.machine,
            self.member,
            self.region,
            lease,
            self.first,
            lambda event, more: self.notes.append((event, more)),
        )
        self.tasks = [asyncio.create_task(self.maintenance.run())]
        self.maintenance.desired.read(False)

    def accepts(self, name: str, cls: str = "order") -> bool:
        refused = self.region.check_admission(
            Submission("c", name, cls, 1, 900.0, payload=Payload("a/b", b""))
        )
        assert refused is None or refused.answer is Answer.REFUSED
        return refused is None

    def notes_of(self, event: str) -> list[dict[str, object]]:
        return [more for name, more in self.notes if name == event]


def first_epoch(lease: float = 1_000.0, turn: int = 1) -> Epoch:
    return msgspec.structs.replace(planning.first_epoch(URLS, time.time() * 1000.0 - 500.0, lease), turn=turn)


async def until(condition: Callable[[], bool], seconds: float = 10.0) -> None:
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "the condition was not met in time"
        await asyncio.sleep(0.01)


async def start_group(tmp_path: Path) -> tuple[SharedLog, list[Copy]]:
    (tmp_path / "first.json").write_bytes(msgspec.json.encode(first_epoch()))
    log = SharedLog(leader="a")
    copies = [
        Copy(name, region, log, tmp_path) for name, region in (("a", "east"), ("b", "west"), ("c", "west"))
    ]
    await until(
        lambda: all(
            one.region.ownership.epoch is not None and len(one.member.machine.state.copies) == 3
            for one in copies
        )
    )
    return log, copies


def cancel_tasks(copies: list[Copy]) -> None:
    for one in copies:
        for task in one.tasks:
            assert not task.done(), task
            task.cancel()
