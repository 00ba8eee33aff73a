"""Versions of the endpoint list at one sender: applied in steps; an unusable version changes nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from pathlib import Path

import pytest

from brassweir.config.load import ConfigError, load
from brassweir.config.model import Config
from brassweir.configstream.catalog import EMPTY, Catalog
from brassweir.configstream.entries import Entry
from brassweir.interface import EntryState, ListUpdate
from brassweir.service.versionedlist import VersionedList
from tests.config.test_control import LOG_LIST_SETTINGS
from tests.config.test_copies import write_copies_settings


def entry(name: str, state: str = "ready", kind: str = "collectors", rate: float = 0.0) -> Entry:
    return Entry(name, f"forward://{name}:9", "hook", "", kind, "", state, rate)


def catalog(*entries: Entry) -> Catalog:
    return EMPTY.apply(entries, ()).catalog


class Sender:
    """Records the updates that a sender's decision module would get."""

    def __init__(self, home: Path) -> None:
        self.updates: list[ListUpdate] = []
        self.notes: list[tuple[str, dict[str, object]]] = []
        self.in_force: list[int] = []
        self.list = VersionedList(
            load(write_copies_settings(home, LOG_LIST_SETTINGS), Config),
            self.send_update,
            lambda event, more: self.notes.append((event, more)),
        )
        self.list.on_in_force = self.in_force.append
        self.versions_between: list[tuple[int, Catalog]] = []  # versions that arrive after each update

    def send_update(self, updates: ListUpdate) -> None:
        self.updates.append(updates)
        if self.versions_between:
            self.list.follow(*self.versions_between.pop(0))

    def states(self) -> dict[str, EntryState]:
        return {one.name: one.state for update in self.updates for one in update.entries}


def run(work: Coroutine[None, None, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 30.0))


async def until_in_force(sender: Sender, version: int) -> None:
    task = asyncio.create_task(sender.list.watch())
    while sender.list.in_force != version:
        await asyncio.sleep(0)
    task.cancel()


def test_the_first_version_is_awaited_and_later_ones_are_sent_as_deltas(tmp_path: Path) -> None:
    async def work() -> None:
        sender = Sender(tmp_path)
        opening = asyncio.create_task(sender.list.open())
        await asyncio.sleep(0)
        assert not opening.done() and not sender.updates
        sender.list.follow(7, catalog(entry("a"), entry("b"), entry("c")))
        await opening
        assert sender.in_force == [7] and sender.list.url("b") == "forward://b:9"
        sender.updates.clear()
        sender.list.follow(9, catalog(entry("a", "draining"), entry("c"), entry("d")))
        await until_in_force(sender, 9)
        (updates,) = sender.updates
        assert [(one.name, one.state.value) for one in updates.entries] == [
            ("b", "gone"),
            ("a", "draining"),
            ("d", "ready"),
        ]
        assert sender.list.url("b") == "forward://b:9", "attempts in flight may need the URL"
        assert sender.in_force == [7, 9]

    run(work())


def test_a_version_that_the_settings_cannot_use_changes_nothing_and_the_next_is_taken(tmp_path: Path) -> None:
    async def work() -> None:
        sender = Sender(tmp_path)
        sender.list.follow(3, catalog(entry("a")))
        await sender.list.open()
        sender.list.follow(4, catalog(entry("b", kind="other")))
        task = asyncio.create_task(sender.list.watch())
        while not sender.list.refused:
            await asyncio.sleep(0)
        assert "kind 'other' is not in the settings" in sender.list.refused and sender.list.in_force == 3
        assert sender.notes[-1][0] == "configuration_unusable" and sender.states() == {"a": EntryState.READY}
        task.cancel()
        sender.list.follow(5, catalog(entry("c")))
        await until_in_force(sender, 5)
        assert sender.in_force == [3, 5] and not sender.list.refused
        assert sender.states() == {"a": EntryState.GONE, "c": EntryState.READY}
        with pytest.raises(ConfigError, match="kind 'other' is not in the settings"):
            sender.list.check([entry("b", kind="other")])

    run(work())


def test_a_version_that_arrives_while_another_is_sent_replaces_it(tmp_path: Path) -> None:
    async def work() -> None:
        sender = Sender(tmp_path)
        sender.list.updates.step = 1
        sender.list.follow(1, catalog(*(entry(name) for name in "abcd")))
        sender.versions_between = [(2, catalog(entry("a", "draining"), entry("b"), entry("e")))]
        await sender.list.open()
        assert sender.in_force == [2] and len(sender.updates) <= 5
        in_force = {name for name, state in sender.states().items() if state is not EntryState.GONE}
        assert in_force == {"a", "b", "e"}

    run(work())


def test_rates_are_sent_again_when_the_share_changes(tmp_path: Path) -> None:
    async def work() -> None:
        sender = Sender(tmp_path)
        sender.list.follow(1, catalog(entry("a", rate=10.0), entry("b")))
        await sender.list.open()
        sender.updates.clear()
        sender.list.scale = lambda: 0.5
        sender.list.reapply()
        task = asyncio.create_task(sender.list.watch())
        while not sender.updates:
            await asyncio.sleep(0)
        task.cancel()
        assert [(one.name, one.rate) for one in sender.updates[0].entries] == [("a", 5.0)]

    run(work())


def test_addresses_of_removed_endpoints_go_after_a_while(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        sender = Sender(tmp_path)
        sender.list.follow(1, catalog(entry("a"), entry("b")))
        await sender.list.open()
        sender.list.follow(2, catalog(entry("a")))
        await until_in_force(sender, 2)
        assert sender.list.url("b")
        monkeypatch.setattr("brassweir.service.versionedlist.KEEP_URL_SECONDS", -1.0)
        sender.list.follow(3, catalog(entry("a", "draining")))
        await until_in_force(sender, 3)
        assert sender.list.url("b") is None and sender.list.url("a")

    run(work())
