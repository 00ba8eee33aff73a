"""Versions that a copy follows while it replays its stored log."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

from brassweir.agreed.member import Member
from brassweir.configstream.catalog import EMPTY, Catalog
from brassweir.configstream.core import ConfiguredCore
from brassweir.configstream.entries import Entry
from brassweir.configstream.machine import Configuration, ConfiguredMachine
from brassweir.service.configuration import FleetConfiguration


class StartedCore(ConfiguredCore):
    """A core whose stored log held five agreed entries."""

    def __init__(self) -> None:
        self.applied_index, self.startup_commit_index = 0, 5


class Follower:
    """Records the versions passed to it."""

    def __init__(self) -> None:
        self.in_force, self.refused, self.versions = 0, "", list[int]()
        self.on_in_force: Callable[[int], None] = lambda _: None

    def follow(self, version: int, catalog: Catalog) -> None:
        self.versions.append(version)

    def check(self, entries: Sequence[Entry]) -> None:
        pass


async def _versions_followed(home: Path) -> list[int]:
    core, machine, follower = StartedCore(), ConfiguredMachine(), Follower()
    parts: dict[str, Any] = {"name": "a", "core": core, "on_apply": [], "on_restore": []}
    member = SimpleNamespace(**parts, submit=lambda fact: None)
    group = cast(Any, SimpleNamespace(propose=None))
    FleetConfiguration(cast(Member, member), machine, group, follower, home, lambda event, more: None)
    for index in range(1, 8):
        core.applied_index = index
        machine.configuration = Configuration(index, "a", EMPTY)
        for applied in member.on_apply:
            applied(index, b"", b"")
    return follower.versions


def test_older_versions_in_the_stored_log_are_skipped_at_start(tmp_path: Path) -> None:
    assert asyncio.run(_versions_followed(tmp_path)) == [5, 6, 7]
