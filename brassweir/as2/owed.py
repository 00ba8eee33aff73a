"""Asynchronous receipts we owe to clients: brought to the registered URL, for a time again and again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from brassweir.net.client import CallFailed
from brassweir.net.pool_manager import PoolManager
from brassweir.net.server import Response

Note = Callable[[str, dict[str, object]], None]

# A client's receiver that restarts is back within these; later the client's own repeat fetches the answer.
AGAIN = (0.0, 1.0, 4.0, 15.0, 60.0)  # seconds before each try
CALL_TIME = 10.0  # seconds for one try


class Owed:
    """Receipts on their way. ``most`` bounds those held at once; over it the oldest way to learn an answer,
    asking again with the same Message-ID, is what remains to the client."""

    def __init__(self, pools: PoolManager, note: Note, most: int = 10_000) -> None:
        self.pools, self.note, self.most = pools, note, most
        self.tasks: set[asyncio.Task[None]] = set()

    def when_ready(self, work: Coroutine[Any, Any, None]) -> None:
        """Run what waits for an answer and then owes its receipt."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def owe(self, url: str, receipt: Response, brought: Callable[[], None] | None = None) -> None:
        """Bring a receipt to ``url``; ``brought`` is called once it was taken there."""
        if len(self.tasks) >= self.most:
            self.note("receipt_dropped", {"url": url, "reason": "too many receipts are owed"})
            return
        self.when_ready(self._bring(url, receipt, brought))

    async def _bring(self, url: str, receipt: Response, brought: Callable[[], None] | None) -> None:
        loop = asyncio.get_running_loop()
        reason = ""
        for pause in AGAIN:
            await asyncio.sleep(pause)
            try:
                reply = await self.pools.http_pool(url).post(
                    receipt.headers, receipt.body, loop.time() + CALL_TIME
                )
            except CallFailed as failed:
                reason = str(failed)
                continue
            if 200 <= reply.status < 300:
                if brought is not None:
                    brought()
                return
            reason = f"status {reply.status}"
        self.note("receipt_not_taken", {"url": url, "reason": reason})

    async def settle(self, span: float) -> int:
        """Wait up to ``span`` seconds for what is on its way; return how many are left, and drop those."""
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=span)
        left = len(self.tasks)
        for task in list(self.tasks):
            task.cancel()
        return left
