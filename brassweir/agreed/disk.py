"""Writes of a member on a thread of their own, batched; the directory is opened there as well."""

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
    last_replacing = max((i for i, write in enumerate(writes) if write.replaces_all), default=-1)
    if last_replacing >= 0:
        store.write_whole(writes[last_replacing].records)
    records = tuple(record for write in writes[last_replacing + 1 :] for record in write.records)
    if records:
        store.write(records)


class Disk:
    """One thread that does one write at a time."""

    def __init__(self, open_storage: Callable[[], Storage], on_event: Callable[[Event], None]) -> None:
        """``open_storage`` opens the storage; ``on_event`` gets Written or WriteFailed, on the loop."""
        self.open_storage, self.on_event = open_storage, on_event
        self.pool = ThreadPoolExecutor(1, thread_name_prefix="agreed")
        self.store: Store | None = None
        self.queue: list[Write] = []
        self.task: asyncio.Task[None] | None = None

    async def open(self, rng: Random) -> Store:
        """Open the directory anew. Raises StoreDamaged, StorageLocked, OSError."""
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
        """Queue a write; it starts once those before it are done."""
        self.queue.append(write)
        if self.task is None:
            self.task = asyncio.create_task(self._work())

    async def _work(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while self.queue and self.store is not None:
                writes, self.queue = self.queue, []
                await loop.run_in_executor(self.pool, write_batch, self.store, writes)
                self.on_event(Written(writes[-1].token))
        except Exception as error:  # of any kind: no later write may cover for this one
            self.queue = []
            self.on_event(WriteFailed(str(error) or repr(error)))
        finally:
            self.task = None

    async def close(self) -> None:
        """Let the write in progress end, and close the storage."""
        if self.task is not None:
            await asyncio.wait([self.task])
        self.queue = []
        if self.store is not None:
            self.store.storage.close()
            self.store = None

    def shutdown(self) -> None:
        """Stop the thread."""
        self.pool.shutdown(wait=False)
