"""The journal in a process: opened, recovered from, and written on a thread of its own."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from brassweir.interface import MessageClass
from brassweir.journal import real_time
from brassweir.journal.frame import FormatError
from brassweir.journal.group import JournalBroken
from brassweir.journal.recover import Plan, plan_recovery
from brassweir.journal.scan import Scan, scan
from brassweir.journal.sizes import SizeLimits
from brassweir.journal.storage import DirectoryStorage, StorageLocked
from brassweir.journal.store import JournalStore
from brassweir.journal.writer import Writer

Note = Callable[[str, dict[str, object]], None]
PAUSE = 0.05  # seconds until a disk that took no write is tried again


class ThreadIo:
    """Runs the journal's I/O on one thread."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.pool = ThreadPoolExecutor(1, thread_name_prefix="journal")

    def run(
        self, work: Callable[[], Any], done: Callable[[Any], None], failed: Callable[[BaseException], None]
    ) -> None:
        """Run ``work`` there; its end is told on the loop."""

        def on_thread() -> None:
            try:
                result = work()
            except Exception as error:
                self._tell(failed, error)
            else:
                self._tell(done, result)

        self.pool.submit(on_thread)

    def later(self, what: Callable[[], None]) -> None:
        """Run ``what`` after a pause."""
        self.loop.call_later(PAUSE, what)

    def _tell(self, what: Callable[[Any], None], value: Any) -> None:
        try:
            self.loop.call_soon_threadsafe(what, value)
        except RuntimeError:
            pass  # the loop has closed: the process is over

    def close(self) -> None:
        """Let the thread end once all is written."""
        self.pool.shutdown(wait=True)


class LoopIo:
    """Runs the journal's I/O in a turn of the loop of its own.

    For folders that are not synced: a write is then a copy into the system's memory, and costs less than the
    way to a thread and back. What comes in one turn is written at once.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.waiting: deque[Callable[[], None]] = deque()
        self.closed = False

    def run(
        self, work: Callable[[], Any], done: Callable[[Any], None], failed: Callable[[BaseException], None]
    ) -> None:
        """Run ``work`` in the next turn; after the end, never: nothing that waits for it goes on."""
        if self.closed:
            return

        def turn() -> None:
            try:
                result = work()
            except Exception as error:
                failed(error)
            else:
                done(result)

        self.waiting.append(turn)
        self.loop.call_soon(self._next)

    def later(self, what: Callable[[], None]) -> None:
        """Run ``what`` after a pause."""
        self.loop.call_later(PAUSE, what)

    def _next(self) -> None:
        if self.waiting:
            self.waiting.popleft()()

    def close(self) -> None:
        """Write what still waits, and nothing more."""
        while self.waiting:
            self._next()
        self.closed = True


class JournalUnusable(ValueError):
    """The journal's folder cannot be used, with what an operator can do."""


@dataclass(frozen=True, slots=True)
class JournalSettings:
    """Where a sender keeps its journal and what it has to know for that; times in ms."""

    folder: Path
    sender: str
    classes: Mapping[str, MessageClass]
    remember: float
    order_pause: float
    sizes: SizeLimits = field(default_factory=SizeLimits)
    synced: bool = True  # see storage.Files


class ProcessJournal:
    """One process's journal."""

    def __init__(
        self,
        keeping: JournalSettings,
        name_of: Callable[[int], str],
        broken: Callable[[BaseException], None],
        note: Note,
    ) -> None:
        """Open and read it. Raises Unusable."""
        self.keeping, self.classes = keeping, keeping.classes
        folder = keeping.folder
        try:
            self.storage = DirectoryStorage(folder, synced=keeping.synced)
            self.scan: Scan = scan(self.storage)
            self.writer = Writer(self.storage, self.scan, keeping.sizes, retry_writes=not keeping.synced)
            for name in self.scan.stale:
                self.writer.remove_file(name)
            self.writer.open()
        except StorageLocked as error:
            raise JournalUnusable(f"journal: {error}") from None
        except (FormatError, OSError, JournalBroken) as error:
            raise JournalUnusable(f"journal: {folder}: {error}") from None
        if self.scan.state.sender not in ("", keeping.sender):
            note("journal_of_another", {"sender": self.scan.state.sender})
        for problem in self.scan.problems:
            note("journal_damage", {"where": problem})
        self.clock = real_time.open_clock(folder, self.scan.state.last_at)
        loop = asyncio.get_running_loop()
        self.io: ThreadIo | LoopIo = ThreadIo(loop) if keeping.synced else LoopIo(loop)
        self.store = JournalStore(
            self.writer, self.io, keeping.classes, self.clock.now, name_of, broken, keeping.remember, note
        )
        self.store.record_start(keeping.sender)

    def plan(self, known: Callable[[str], int | None]) -> Plan:
        """What to do with what was found; ``known`` tells which destinations there still are."""
        lives = self.scan.state
        gone = {
            life.taken.destination
            for life in lives.by_id.values()
            if life.taken is not None and known(life.taken.destination) is None
        }
        return plan_recovery(
            lives,
            self.scan.holes,
            self.classes,
            self.clock.now(),
            self.keeping.remember,
            self.keeping.order_pause,
            sorted(gone),
        )

    def close(self) -> None:
        """Write what is left and let go of the directory."""
        self.io.close()
        self.storage.close()
