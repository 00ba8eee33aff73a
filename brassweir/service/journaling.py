"""The journal of a process: opens it, plans the recovery, and runs its I/O."""

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
RETRY_PAUSE_SECONDS = 0.05  # before a failed write is retried


class ThreadIo:
    """Runs the journal's I/O on a thread of its own (see :class:`brassweir.journal.store.IoRunner`)."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.pool = ThreadPoolExecutor(1, thread_name_prefix="journal")
        self.closed = False

    def run(
        self, work: Callable[[], Any], done: Callable[[Any], None], failed: Callable[[BaseException], None]
    ) -> None:
        """Run ``work`` on the thread, then ``done`` or ``failed`` on the event loop; none after a close."""
        if self.closed:
            return

        def on_thread() -> None:
            try:
                result = work()
            except Exception as error:
                self._call_on_loop(failed, error)
            else:
                self._call_on_loop(done, result)

        self.pool.submit(on_thread)

    def later(self, callback: Callable[[], None]) -> None:
        """Run ``callback`` on the event loop after a pause."""
        self.loop.call_later(RETRY_PAUSE_SECONDS, callback)

    def _call_on_loop(self, callback: Callable[[Any], None], value: Any) -> None:
        try:
            self.loop.call_soon_threadsafe(callback, value)
        except RuntimeError:
            pass  # the event loop is closed: the process is ending

    def close(self) -> None:
        """Wait until all submitted work is done, then end the thread."""
        self.closed = True
        self.pool.shutdown(wait=True)


class LoopIo:
    """Runs the journal's I/O on the event loop itself, each piece in a turn of its own.

    For directories that are not synced: there a write only copies into the page cache, which costs less than
    a switch to a thread and back. All records added in one turn are written together.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.waiting: deque[Callable[[], None]] = deque()
        self.closed = False

    def run(
        self, work: Callable[[], Any], done: Callable[[Any], None], failed: Callable[[BaseException], None]
    ) -> None:
        """Run ``work`` in a later turn, then ``done`` or ``failed``; after :meth:`close`, none of them."""
        if self.closed:
            return

        def step() -> None:
            try:
                result = work()
            except Exception as error:
                failed(error)
            else:
                done(result)

        self.waiting.append(step)
        self.loop.call_soon(self._run_next)

    def later(self, callback: Callable[[], None]) -> None:
        """Run ``callback`` on the event loop after a pause."""
        self.loop.call_later(RETRY_PAUSE_SECONDS, callback)

    def _run_next(self) -> None:
        if self.waiting:
            self.waiting.popleft()()

    def close(self) -> None:
        """Run all waiting work, and accept no more."""
        while self.waiting:
            self._run_next()
        self.closed = True


class JournalUnusable(ValueError):
    """The journal's directory cannot be used; the text names the cause."""


@dataclass(frozen=True, slots=True)
class JournalSettings:
    """The settings of a sender's journal; times in ms.

    ``retention_ms`` is how long answers are kept, ``order_pause`` as in plan_recovery. ``synced`` is as in
    DirectoryStorage.
    """

    directory: Path
    sender: str
    classes: Mapping[str, MessageClass]
    retention_ms: float
    order_pause: float
    sizes: SizeLimits = field(default_factory=SizeLimits)
    synced: bool = True


class ProcessJournal:
    """The journal of one process: its storage, writer and store, and what it held at the start (``scan``).

    ``name_of`` returns the name of a destination's number; ``broken`` is called if the journal can no longer
    be written or trusted; ``note`` takes log events.
    """

    def __init__(
        self,
        settings: JournalSettings,
        name_of: Callable[[int], str],
        broken: Callable[[BaseException], None],
        note: Note,
    ) -> None:
        """Open the journal, read it, and record the start. Raises JournalUnusable."""
        self.settings, self.classes = settings, settings.classes
        directory = settings.directory
        try:
            self.storage = DirectoryStorage(directory, synced=settings.synced)
            self.scan: Scan = scan(self.storage)
            self.writer = Writer(self.storage, self.scan, settings.sizes, retry_writes=not settings.synced)
            self.writer.files.remove_stale(self.scan.stale)
            self.writer.open()
        except StorageLocked as error:
            raise JournalUnusable(f"journal: {error}") from None
        except (FormatError, OSError, JournalBroken) as error:
            raise JournalUnusable(f"journal: {directory}: {error}") from None
        if self.scan.state.sender not in ("", settings.sender):
            note("journal_of_another", {"sender": self.scan.state.sender})
        for problem in self.scan.problems:
            note("journal_damage", {"where": problem})
        self.clock = real_time.open_clock(directory, self.scan.state.last_at)
        loop = asyncio.get_running_loop()
        self.io: ThreadIo | LoopIo = ThreadIo(loop) if settings.synced else LoopIo(loop)
        self.store = JournalStore(
            self.writer,
            self.io,
            settings.classes,
            self.clock.now,
            name_of,
            broken,
            settings.retention_ms,
            note,
        )
        self.store.record_start(settings.sender)

    def plan(self, known: Callable[[str], int | None]) -> Plan:
        """Plan the recovery. ``known`` returns the number of a destination by its name, None if it no longer
        exists."""
        state = self.scan.state
        unknown = {
            message.taken.destination
            for message in state.by_id.values()
            if message.taken is not None and known(message.taken.destination) is None
        }
        return plan_recovery(
            state,
            self.scan.holes,
            self.classes,
            self.clock.now(),
            self.settings.retention_ms,
            self.settings.order_pause,
            sorted(unknown),
        )

    def close(self) -> None:
        """Write what is waiting, then close the files and release the lock."""
        self.io.close()
        self.storage.close()
