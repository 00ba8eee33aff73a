"""The member's writes on a thread of their own, several together as one; and its folder, opened there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from random import Random

from brassweir.agreed.events import Event, Write, WriteFailed, Written
from brassweir.agreed.store import Store
from brassweir.journal.storage import Storage


def write_batch(store: Store, writes: list[Write]) -> None:
    """Make writes durable, in order, as one. Raises OSError."""
    at = max((i for i, write in enumerate(writes) if write.replaces_all), default=-1)
    if at >= 0:
        store.write_whole(writes[at].records)
    records = tuple(record for write in writes[at + 1 :] for record in write.records)
    if records:
        store.write(records)


class Disk:
    """One thread, one write at a time."""

    def __init__(self, make: Callable[[], Storage], done: Callable[[Event], None]) -> None:
        """``make`` opens the storage; ``done`` hears of writes, on the loop."""
        self.open_storage, self.on_event = make, done
        self.pool = ThreadPoolExecutor(1, thread_name_prefix="agreed")
        self.store: Store | None = None
        self.waiting: list[Write] = []
        self.task: asyncio.Task[None] | None = None

    async def open(self, rng: Random) -> Store:
        """Open the folder anew. Raises Damaged, Locked, OSError."""
        await self.close()
        self.store = await asyncio.get_running_loop().run_in_executor(self.pool, self._open, rng)
        return self.store

    def _open(self, rng: Random) -> Store:
        storage = self.open_storage()
        try:
            return Store(storage, rng)
        except BaseException:
            storage.close()
            raise

    def write(self, write: Write) -> None:
        """Begin with it once those before are done."""
        self.waiting.append(write)
        if self.task is None:
            self.task = asyncio.create_task(self._work())

    async def _work(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while self.waiting and self.store is not None:
                writes, self.waiting = self.waiting, []
                await loop.run_in_executor(self.pool, write_batch, self.store, writes)
                self.on_event(Written(writes[-1].token))
        except Exception as error:  # whatever it was: no later write may stand for this one
            self.waiting = []
            self.on_event(WriteFailed(str(error) or repr(error)))
        finally:
            self.task = None

    async def close(self) -> None:
        """Let what is under way end; let go of the folder."""
        if self.task is not None:
            await asyncio.wait([self.task])
        self.waiting = []
        if self.store is not None:
            self.store.storage.close()
            self.store = None

    def shutdown(self) -> None:
        """No more threads."""
        self.pool.shutdown(wait=False)
