"""Sends asynchronous receipts to clients' registered URLs, with a few retries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from brassweir.net.client import CallFailed
from brassweir.net.pool_manager import PoolManager
from brassweir.net.server import Response

Note = Callable[[str, dict[str, object]], None]

# Long enough for a client's receiver to restart. After the last try the client gets the answer by repeating
# its message.
RETRY_PAUSES_SECONDS = (0.0, 1.0, 4.0, 15.0, 60.0)  # before each try
CALL_TIMEOUT_SECONDS = 10.0  # of one try


class PendingReceipts:
    """Receipts that are waiting for an answer or being sent.

    While there are ``max_pending`` tasks, ``send`` drops and logs the receipt. The client then gets its
    answer by repeating the message under the same Message-ID.
    """

    def __init__(self, pools: PoolManager, note: Note, max_pending: int = 10_000) -> None:
        self.pools, self.note, self.max_pending = pools, note, max_pending
        self.tasks: set[asyncio.Task[None]] = set()

    def run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Starts a task, such as one that waits for an answer and then sends its receipt."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def send(self, url: str, receipt: Response, on_delivered: Callable[[], None] | None = None) -> None:
        """Starts sending a receipt to ``url``; ``on_delivered`` is called once it was accepted (2xx)."""
        if len(self.tasks) >= self.max_pending:
            self.note("receipt_dropped", {"url": url, "reason": "too many receipts are owed"})
            return
        self.run(self._deliver(url, receipt, on_delivered))

    async def _deliver(self, url: str, receipt: Response, on_delivered: Callable[[], None] | None) -> None:
        loop = asyncio.get_running_loop()
        reason = ""
        for pause in RETRY_PAUSES_SECONDS:
            await asyncio.sleep(pause)
            try:
                reply = await self.pools.http_pool(url).post(
                    receipt.headers, receipt.body, loop.time() + CALL_TIMEOUT_SECONDS
                )
            except CallFailed as failed:
                reason = str(failed)
                continue
            if 200 <= reply.status < 300:
                if on_delivered is not None:
                    on_delivered()
                return
            reason = f"status {reply.status}"
        self.note("receipt_not_taken", {"url": url, "reason": reason})

    async def settle(self, timeout_seconds: float) -> int:
        """Waits up to ``timeout_seconds`` for pending receipts; cancels and counts those left."""
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=timeout_seconds)
        left = len(self.tasks)
        for task in list(self.tasks):
            task.cancel()
        return left
