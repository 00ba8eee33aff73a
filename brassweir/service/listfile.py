"""The endpoint list as a file that is read again when it changes.

The file's identity is polled: one system call finds files replaced by rename, rewritten in place, and changed
on file systems without notifications. A changed file is parsed on a thread and passed to the engine in
bounded steps, drains first, so that a long list does not stall the event loop.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from pathlib import Path

from brassweir import interface as api
from brassweir.config import lines
from brassweir.config.load import ConfigError, load
from brassweir.config.model import Config, EndpointList
from brassweir.destinations.list_updates import ListUpdateQueue
from brassweir.service.resolved_list import (
    DestinationNumbers,
    ListEntry,
    ResolvedList,
    resolve_list,
    scale_rates,
)

POLL_INTERVAL_SECONDS = 0.1  # a drained endpoint must be known well within its grace period


def read_entries(path: Path) -> Sequence[ListEntry]:
    """Read a list's entries: JSON lines if the name ends on ``.jsonl``, else YAML. Raises ConfigError."""
    return lines.read(path) if path.suffix == ".jsonl" else load(path, EndpointList).endpoints


def read_list(path: Path, config: Config, numbers: DestinationNumbers) -> ResolvedList:
    """Read a list and check it against the settings. Raises ConfigError."""
    return resolve_list(read_entries(path), config, numbers, str(path))


class ListFile:
    """Applies the list in a file; an invalid version is logged and the last valid one stays in force."""

    def __init__(
        self,
        path: Path,
        config: Config,
        send_update: Callable[[api.ListUpdate], None],
        note: Callable[[str, dict[str, object]], None],
    ) -> None:
        self.path, self.config, self.send_update, self.note = path, config, send_update, note
        self.numbers = DestinationNumbers(config)
        self.urls: dict[str, str] = {}
        self.updates = ListUpdateQueue()
        self.last_identity: object = None
        self.scale: Callable[[], float] = lambda: 1.0  # share of each listed rate that this sender may use

    def url(self, endpoint: str) -> str | None:
        """Return the URL of an endpoint; None if it is unknown."""
        return self.urls.get(endpoint)

    def read(self) -> None:
        """Read the file and pass it on in one go, before anything runs. Raises ConfigError."""
        self.last_identity = self._identity()
        self._apply(read_list(self.path, self.config, self.numbers))
        while (update := self.updates.next_update()) is not None:
            self.send_update(update)

    async def open(self) -> None:
        """Apply the first list, before anything runs. Raises ConfigError."""
        self.read()

    async def watch(self) -> None:
        """Apply each changed version until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            identity = self._identity()
            if identity == self.last_identity:
                continue
            self.last_identity = identity
            try:
                await asyncio.to_thread(lambda: self._apply(read_list(self.path, self.config, self.numbers)))
            except ConfigError as error:
                self.note("list_refused", {"path": str(self.path), "problems": error.problems[:20]})
                continue
            while (update := self.updates.next_update()) is not None:
                self.send_update(update)
                await asyncio.sleep(0)  # one step per turn of the loop

    def _apply(self, resolved: ResolvedList) -> None:
        count = self.updates.replace_all(scale_rates(resolved.infos, self.scale()))
        # Removed endpoints keep their URL until the next list, for attempts in flight.
        removed_urls = {
            name: self.urls[name]
            for name in self.urls.keys() & self.updates.known.keys()
            if name not in resolved.urls
        }
        self.urls = resolved.urls | removed_urls
        self.note(
            "list_taken",
            {
                "path": str(self.path),
                "endpoints": len(resolved.infos),
                "to_tell": count,
                "first_off": len(self.updates.unusable),
            },
        )

    def reapply(self) -> None:
        """Apply the list again at the next poll, with the new scale."""
        self.last_identity = None

    def _identity(self) -> object:
        try:
            stat = self.path.stat()
        except OSError as error:
            return error.errno
        return stat.st_ino, stat.st_mtime_ns, stat.st_size
