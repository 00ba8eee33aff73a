"""The endpoint list as a file that is read again when it changes.

The file's identity is looked at every tenth of a second: that works alike for files replaced by rename,
rewritten in place and on file systems that tell no changes, and costs one system call. A changed file is read
on a thread and told to the engine in bounded steps, drains first: no list stalls anything, however long.
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

LOOK = 0.1  # seconds between two looks: drains are to be known well within any grace


def read_entries(path: Path) -> Sequence[ListEntry]:
    """Read a list as it stands, YAML or JSON lines by its name. Raises ConfigError."""
    return lines.read(path) if path.suffix == ".jsonl" else load(path, EndpointList).endpoints


def read_list(path: Path, config: Config, numbers: DestinationNumbers) -> ResolvedList:
    """Read a list and check it against the settings. Raises ConfigError."""
    return resolve_list(read_entries(path), config, numbers, str(path))


class ListFile:
    """Keeps the last good list; a bad version is complained of and changes nothing."""

    def __init__(
        self,
        path: Path,
        config: Config,
        tell: Callable[[api.ListUpdate], None],
        note: Callable[[str, dict[str, object]], None],
    ) -> None:
        self.path, self.config, self.tell, self.note = path, config, tell, note
        self.numbers = DestinationNumbers(config)
        self.urls: dict[str, str] = {}
        self.intake = ListUpdateQueue()
        self.seen: object = None
        self.scale: Callable[[], float] = lambda: 1.0  # the part of each listed rate that is ours

    def url(self, endpoint: str) -> str | None:
        """Where an endpoint is."""
        return self.urls.get(endpoint)

    def read(self) -> None:
        """Read the file before anything runs: told at once. Raises ConfigError."""
        self.seen = self._identity()
        self._take(read_list(self.path, self.config, self.numbers))
        while (news := self.intake.next_update()) is not None:
            self.tell(news)

    async def open(self) -> None:
        """Tell the first list, before anything runs. Raises ConfigError."""
        self.read()

    async def watch(self) -> None:
        """Read again at each change, for ever."""
        while True:
            await asyncio.sleep(LOOK)
            now = self._identity()
            if now == self.seen:
                continue
            self.seen = now
            try:
                # Read and compared on a thread: only the telling needs the loop.
                await asyncio.to_thread(lambda: self._take(read_list(self.path, self.config, self.numbers)))
            except ConfigError as error:
                self.note("list_refused", {"path": str(self.path), "problems": error.problems[:20]})
                continue
            while (news := self.intake.next_update()) is not None:
                self.tell(news)
                await asyncio.sleep(0)  # one step a turn: all else goes on between

    def _take(self, found: ResolvedList) -> None:
        count = self.intake.replace_all(scale_rates(found.infos, self.scale()))
        # Removed endpoints keep their address while an attempt that is out may need it: until the next list.
        gone = {
            name: self.urls[name]
            for name in self.urls.keys() & self.intake.known.keys()
            if name not in found.urls
        }
        self.urls = found.urls | gone
        self.note(
            "list_taken",
            {
                "path": str(self.path),
                "endpoints": len(found.infos),
                "to_tell": count,
                "first_off": len(self.intake.unusable),
            },
        )

    def again(self) -> None:
        """Read the list again at the next look: what is made of it has changed."""
        self.seen = None

    def _identity(self) -> object:
        try:
            stat = self.path.stat()
        except OSError as error:
            return error.errno
        return stat.st_ino, stat.st_mtime_ns, stat.st_size
