"""The endpoint list as versions of the agreed log, passed to the decision module as deltas.

A version that this sender's settings cannot use is rejected as a whole, and the last usable one stays in
force. The delta is computed on a thread and passed on in bounded steps, drains first. A version that arrives
meanwhile is compared with the one being passed on.
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

KEEP_URL_SECONDS = 60.0  # a removed endpoint keeps its URL for attempts in flight
Note = Callable[[str, dict[str, object]], None]


class VersionedList:
    """Applies the newest version of the list that this sender's settings can use."""

    def __init__(self, config: Config, send_update: Callable[[api.ListUpdate], None], note: Note) -> None:
        self.config, self.send_update, self.note = config, send_update, note
        self.numbers = DestinationNumbers(config)
        self.scale: Callable[[], float] = lambda: 1.0
        self.updates = ListUpdateQueue()
        self.in_force = 0
        self.refused = ""
        self.on_in_force: Callable[[int], None] = lambda _: None
        self._urls: dict[str, str] = {}
        self._removed_at: dict[str, float] = {}  # removed endpoints, and when (monotonic seconds)
        self._newest: tuple[int, Catalog] = (0, EMPTY)
        self._current: tuple[int, Catalog] = (0, EMPTY)  # applied, or still being passed on
        self._rescaled = False
        self._changed = asyncio.Event()

    def url(self, endpoint: str) -> str | None:
        """Return the URL of an endpoint; None if it is unknown."""
        return self._urls.get(endpoint)

    def follow(self, version: int, catalog: Catalog) -> None:
        """Take over the newest version; :meth:`watch` applies it."""
        self._newest = (version, catalog)
        self._changed.set()

    def check(self, entries: Sequence[Entry]) -> None:
        """Check whether these entries could be in force here. Runs on a thread. Raises ConfigError."""
        resolve_list(
            [_list_entry(entry) for entry in entries],
            self.config,
            DestinationNumbers(self.config),
            "the list",
        )

    def reapply(self) -> None:
        """Apply the list again, because ``scale`` now returns another value."""
        self._rescaled = True
        self._changed.set()

    async def open(self) -> None:
        """Wait for the first usable version and apply it."""
        while not self.in_force:
            await self._advance()

    async def watch(self) -> None:
        """Apply each version until cancelled."""
        while True:
            await self._advance()

    async def _advance(self) -> None:
        """Wait for a change and apply it; stop early when another change arrives.

        If the newest version is unusable, continue passing on the last usable one.
        """
        await self._changed.wait()
        self._changed.clear()
        version, catalog = self._newest
        rescaled, self._rescaled = self._rescaled, False
        try:
            await asyncio.to_thread(self._apply, version, catalog, rescaled)
        except ConfigError as error:
            self.refused = f"version {version}: {error.problems[0]}"
            self.note("configuration_unusable", {"version": version, "problems": error.problems[:20]})
        else:
            self.refused = ""
        await self._send_updates()

    def _apply(self, version: int, catalog: Catalog, rescaled: bool) -> None:
        """Queue the delta to the current version. Runs on a thread, while no updates are passed on.

        Raises ConfigError.
        """
        delta = diff_catalogs(self._current[1], catalog)
        changed = tuple(catalog.entries()) if rescaled else delta.changed
        resolved = resolve_list(
            [_list_entry(entry) for entry in changed], self.config, self.numbers, f"version {version}"
        )
        count = self.updates.apply(scale_rates(resolved.infos, self.scale()), delta.removed)
        self._retain_urls(resolved.urls, delta.removed)
        self._current = (version, catalog)
        self._log_taken(delta, count)

    def _log_taken(self, delta: Delta, count: int) -> None:
        version, catalog = self._current
        self.note(
            "configuration_taken",
            {
                "version": version,
                "endpoints": catalog.size,
                "changed": len(delta.changed),
                "removed": len(delta.removed),
                "to_tell": count,
                "first_off": len(self.updates.unusable),
            },
        )

    def _retain_urls(self, urls: dict[str, str], removed: Iterable[str]) -> None:
        now = time.monotonic()
        for name in urls:
            self._removed_at.pop(name, None)
        self._removed_at.update(dict.fromkeys(removed, now))
        expired = [name for name, since in self._removed_at.items() if now - since > KEEP_URL_SECONDS]
        for name in expired:
            del self._removed_at[name]
            self._urls.pop(name, None)
        self._urls.update(urls)

    async def _send_updates(self) -> None:
        """Pass on the queued updates, one step per turn of the loop."""
        while (update := self.updates.next_update()) is not None:
            self.send_update(update)
            await asyncio.sleep(0)
            if self._changed.is_set():
                return
        if self.in_force != self._current[0]:
            self.in_force = self._current[0]
            self.on_in_force(self.in_force)


def _list_entry(entry: Entry) -> lines.Entry:
    """Convert an entry of the log to an entry of a list file."""
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
