"""After a restart the endpoint list is what the process before believed, in every field of every entry."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from brassweir.core.clock import SimClock
from brassweir.relay.endpoint_list import Change, Target
from brassweir.service.node_list import NodeList
from brassweir.service.saved_list import SavedList
from tests.conftest import run

DIRECTORY_BYTES = 3 * 1024 * 1024
FIELDS = ("endpoint", "pod_group", "state", "az", "model", "capacity_hint")
Belief = dict[str, Target]


class Ignored:
    """Stands for what the list tells others: engine and log."""

    def __getattr__(self, name: str) -> Any:
        return lambda *args, **fields: None


def start(directory: Path, known: Change | None) -> NodeList:
    """Start a process's list; its watch is not started."""
    config = SimpleNamespace(discovery="127.0.0.1:9", shortest_deadline=8.0, drain_grace=0.25)
    node_list = NodeList(
        cast(Any, Ignored()),
        SimClock(),
        cast(Any, config),
        SavedList(directory, DIRECTORY_BYTES),
        Ignored(),
        lambda event, details: None,
    )
    node_list.start(known)
    return node_list


def belief(node_list: NodeList) -> Belief:
    return {target.uid: target for target in node_list.endpoints.snapshot().targets}


class Agent:
    """Draws what discovery tells: changes of any field, alone or together, new entries, ends, whole lists."""

    def __init__(self, seed: int) -> None:
        self.rng, self.rev, self.count = Random(seed), 1, 0
        self.targets: Belief = {}
        for _ in range(6):
            self.add()

    def add(self) -> Target:
        self.count += 1
        target = Target(f"s-{self.count}", self.address(), 1, "active", "a", "m", 4.0)
        self.targets[target.uid] = target
        return target

    def address(self) -> str:
        return f"10.0.0.1:{self.rng.randrange(1000, 1020)}"

    def changed(self, target: Target) -> Target:
        fields = dict(
            zip(
                FIELDS,
                (
                    self.address(),
                    self.rng.randrange(3),
                    self.rng.choice(["active", "leaving"]),
                    self.rng.choice("ab"),
                    self.rng.choice("mn"),
                    self.rng.random(),
                ),
                strict=True,
            )
        )
        for name in self.rng.sample(FIELDS, self.rng.randrange(len(FIELDS))):
            del fields[name]
        values = {name: getattr(target, name) for name in FIELDS} | fields
        self.targets[target.uid] = Target(target.uid, **values)
        return self.targets[target.uid]

    def change(self) -> Change:
        self.rev += 1 + self.rng.randrange(3)
        batch = []
        for target in self.rng.sample(
            list(self.targets.values()), min(len(self.targets), self.rng.randrange(3))
        ):
            if self.rng.random() < 0.15:
                del self.targets[target.uid]
                batch.append(Target(target.uid, target.endpoint, target.pod_group, "left"))
            else:
                batch.append(self.changed(target))
        if self.rng.random() < 0.2:
            batch.append(self.add())
        if self.rng.random() < 0.1:
            return self.whole()
        return Change(self.rev, False, batch)

    def whole(self) -> Change:
        return Change(self.rev, True, list(self.targets.values()))


@pytest.mark.parametrize("field", FIELDS)
def test_a_change_of_one_field_outlives_the_process(tmp_path: Path, field: str) -> None:
    """Guards against a changed address that is not saved, while a later version is."""

    async def scenario() -> None:
        agent = Agent(1)
        node_list = start(tmp_path, agent.whole())
        target = agent.targets["s-1"]
        values = {"endpoint": "10.9.9.9:99", "pod_group": 7, "state": "leaving", "capacity_hint": 0.123456789}
        values |= {"az": "z", "model": "z"}
        moved = Target(**{**{name: getattr(target, name) for name in ("uid", *FIELDS)}, field: values[field]})
        node_list.apply(Change(2, False, [moved]))
        node_list.apply(Change(3, False, [agent.add()]))
        after = start(tmp_path, None)
        assert belief(after) == belief(node_list) and belief(after)["s-1"] == moved
        assert after.endpoints.rev == 3

    run(scenario())


@pytest.mark.parametrize("seed", range(40))
def test_the_list_after_a_restart_is_the_list_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Draws changes, restarts and failing writes; what is read back was believed at its version."""
    rng, failing = Random(1000 + seed), False
    real_open, real_write = Path.open, Path.write_bytes

    def failing_open(path: Path, mode: str = "r", **more: Any) -> Any:
        if failing:
            raise OSError(errno.ENOSPC, "No space left on device")
        return real_open(path, mode, **more)

    def failing_write(path: Path, data: bytes) -> int:
        if failing:
            raise OSError(errno.EIO, "Input/output error")
        return real_write(path, data)

    monkeypatch.setattr(Path, "open", failing_open)
    monkeypatch.setattr(Path, "write_bytes", failing_write)

    async def scenario() -> None:
        nonlocal failing
        agent = Agent(seed)
        configured = agent.whole()
        node_list = start(tmp_path, configured)
        believed = {agent.rev: [belief(node_list)]}
        for _ in range(60):
            failing = rng.random() < 0.2
            node_list.apply(agent.change())
            believed.setdefault(node_list.endpoints.rev, []).append(belief(node_list))
            if rng.random() < 0.3:
                node_list.retry_save()
            if rng.random() < 0.15:
                saved = not node_list.saved.snapshot_due
                before, failing = node_list, False
                node_list = start(tmp_path, configured)
                assert belief(node_list) in believed[node_list.endpoints.rev]
                if saved:
                    assert belief(node_list) == belief(before)
                    assert node_list.endpoints.rev <= before.endpoints.rev
                agent.rev = max(agent.rev, node_list.endpoints.rev)
                node_list.apply(agent.whole())  # as an agent answers a watch from an older version
                believed.setdefault(agent.rev, []).append(belief(node_list))
            await asyncio.sleep(0)

    run(scenario())
