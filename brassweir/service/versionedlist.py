"""The endpoint list as versions of the agreed log, told to the decision module as differences.

A version that this sender's settings cannot use is refused whole, and the last good one stays. The difference
is computed on a thread and told in bounded steps, drains first; a version that comes meanwhile is compared
with what was told so far.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Sequence

from brassweir import interface as api
from brassweir.config import lines
from brassweir.config.load import ConfigError
from brassweir.config.model import Config
from brassweir.configstream.catalog import EMPTY, Catalog
from brassweir.configstream.delta import Delta, diff_catalogs
from brassweir.configstream.entries import Entry
from brassweir.destinations.list_updates import ListUpdateQueue
from brassweir.service.resolved_list import DestinationNumbers, resolve_list, scale_rates

KEEP_URL = 60.0  # seconds that a removed endpoint keeps its address, for attempts that are out
Note = Callable[[str, dict[str, object]], None]


class VersionedList:
    """Keeps the last good version."""

    def __init__(self, config: Config, tell: Callable[[api.ListUpdate], None], note: Note) -> None:
        self.config, self.tell, self.note = config, tell, note
        self.numbers = DestinationNumbers(config)
        self.scale: Callable[[], float] = lambda: 1.0
        self.intake = ListUpdateQueue()
        self.in_force = 0
        self.refused = ""
        self.on_in_force: Callable[[int], None] = lambda _: None
        self._urls: dict[str, str] = {}
        self._leaving: dict[str, float] = {}  # removed endpoints, and since when (s)
        self._newest: tuple[int, Catalog] = (0, EMPTY)
        self._taken: tuple[int, Catalog] = (0, EMPTY)  # what the intake holds: told, or to be told
        self._rescaled = False
        self._changed = asyncio.Event()

    def url(self, endpoint: str) -> str | None:
        """Where an endpoint is."""
        return self._urls.get(endpoint)

    def follow(self, version: int, catalog: Catalog) -> None:
        """This is the newest version now."""
        self._newest = (version, catalog)
        self._changed.set()

    def check(self, entries: Sequence[Entry]) -> None:
        """Could these be in force here? On a thread. Raises ConfigError."""
        resolve_list(
            [_home(entry) for entry in entries], self.config, DestinationNumbers(self.config), "the list"
        )

    def again(self) -> None:
        """The part of each rate that is ours has changed."""
        self._rescaled = True
        self._changed.set()

    async def open(self) -> None:
        """Wait for the first version that can be used, and tell it."""
        while not self.in_force:
            await self._advance()

    async def watch(self) -> None:
        """Tell each version, for ever."""
        while True:
            await self._advance()

    async def _advance(self) -> None:
        """Wait for a change and take it; go on telling what was taken, until something else has changed."""
        await self._changed.wait()
        self._changed.clear()
        version, catalog = self._newest
        rescaled, self._rescaled = self._rescaled, False
        try:
            await asyncio.to_thread(self._take, version, catalog, rescaled)
        except ConfigError as error:
            self.refused = f"version {version}: {error.problems[0]}"
            self.note("configuration_unusable", {"version": version, "problems": error.problems[:20]})
        else:
            self.refused = ""
        await self._tell()

    def _take(self, version: int, catalog: Catalog, rescaled: bool) -> None:
        """Compare with what was taken last. On a thread, while the loop tells nothing. Raises ConfigError."""
        delta = diff_catalogs(self._taken[1], catalog)
        changed = tuple(catalog.entries()) if rescaled else delta.changed
        found = resolve_list(
            [_home(entry) for entry in changed], self.config, self.numbers, f"version {version}"
        )
        count = self.intake.apply(scale_rates(found.infos, self.scale()), delta.removed)
        self._keep_urls(found.urls, delta.removed)
        self._taken = (version, catalog)
        self._say(delta, count)

    def _say(self, delta: Delta, count: int) -> None:
        version, catalog = self._taken
        self.note(
            "configuration_taken",
            {
                "version": version,
                "endpoints": catalog.size,
                "changed": len(delta.changed),
                "removed": len(delta.removed),
                "to_tell": count,
                "first_off": len(self.intake.unusable),
            },
        )

    def _keep_urls(self, fresh: dict[str, str], removed: Iterable[str]) -> None:
        now = time.monotonic()
        for name in fresh:
            self._leaving.pop(name, None)
        self._leaving.update(dict.fromkeys(removed, now))
        old = [name for name, since in self._leaving.items() if now - since > KEEP_URL]
        for name in old:
            del self._leaving[name]
            self._urls.pop(name, None)
        self._urls.update(fresh)

    async def _tell(self) -> None:
        """Tell what the intake holds, one step a turn: all else goes on between."""
        while (news := self.intake.next_update()) is not None:
            self.tell(news)
            await asyncio.sleep(0)
            if self._changed.is_set():
                return
        if self.in_force != self._taken[0]:
            self.in_force = self._taken[0]
            self.on_in_force(self.in_force)


def _home(entry: Entry) -> lines.Entry:
    """An entry as a list file has it."""
    return lines.Entry(
        entry.name,
        entry.url,
        entry.partner or None,
        entry.destination or None,
        entry.kind,
        entry.zone,
        "draining" if entry.state == "draining" else "gone" if entry.state == "gone" else "ready",
        entry.rate,
    )
