"""Reports final answers other than deliveries to the platform: ``POST /status``, one JSON object per line.

A notice is pending until the platform has acknowledged it, and the journal holds it until then. Notices that
arrive during a post go together in the next one. A repeated notice is harmless and a late one is not:
therefore posts have short timeouts, and a post to an old address is cancelled when the platform moves.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

import msgspec

from brassweir.core.ports import Answer, FinalAnswer
from brassweir.net.client import CallFailed, HttpPool
from brassweir.net.headers import Headers
from brassweir.net.pool_manager import PoolManager

MAX_NOTICES_PER_POST = 200  # about 20 KB, below the platform's limit on request bodies
MIN_POST_TIMEOUT_SECONDS, MAX_POST_TIMEOUT_SECONDS = 0.2, 1.0  # doubled with each failure
MIN_RETRY_SECONDS, MAX_RETRY_SECONDS = 0.05, 0.5  # doubled with each failure

Note = Callable[[str, dict[str, object]], None]


class Notice(msgspec.Struct, omit_defaults=True):
    """A final answer: ``bounced`` (refused; ``wait_ms`` until a new submission makes sense) or ``dead``."""

    ref: str
    result: str
    wait_ms: int = 0


def build_notice(ref: str, answer: FinalAnswer) -> Notice:
    """Translate a final answer other than a delivery into the platform's terms."""
    if answer.answer is Answer.REFUSED:
        return Notice(ref, "bounced", int(answer.retry_after))
    return Notice(ref, "dead")


class NoticeSender:
    """Sends notices in order and repeats them until they are acknowledged.

    ``on_acknowledged`` is called with the message's number once the platform has answered its notice.
    """

    def __init__(
        self, pools: PoolManager, discovery: str, on_acknowledged: Callable[[int], None], note: Note
    ) -> None:
        self.pools, self.on_acknowledged, self.note = pools, on_acknowledged, note
        self.pending: deque[tuple[int, Notice]] = deque()
        self.task: asyncio.Task[None] | None = None
        self.sent = 0
        self.single_posts = 0  # number of posts to send with one notice each, after a batch got a 400
        self.move(discovery)

    def move(self, discovery: str) -> None:
        """Send to another address from now on. A post under way is cancelled and repeated there at once."""
        self.url = f"http://{discovery}/status"
        self.pools.close_all_idle()
        if self.task is not None:
            self.task.cancel()
            self._start()

    def add(self, message: int, notice: Notice) -> None:
        """Queue the notice for a message that has ended."""
        self.pending.append((message, notice))
        if self.task is None or self.task.done():
            self._start()

    def _start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        retry_delay, timeout = MIN_RETRY_SECONDS, MIN_POST_TIMEOUT_SECONDS
        while self.pending:
            batch = [
                self.pending[i]
                for i in range(min(1 if self.single_posts else MAX_NOTICES_PER_POST, len(self.pending)))
            ]
            if await self._post(batch, timeout):
                self.single_posts = max(0, self.single_posts - 1)
                for _ in batch:
                    self.pending.popleft()
                for message, _ in batch:
                    self.on_acknowledged(message)
                self.sent += len(batch)
                retry_delay, timeout = MIN_RETRY_SECONDS, MIN_POST_TIMEOUT_SECONDS
            else:
                await asyncio.sleep(retry_delay)
                retry_delay, timeout = (
                    min(2.0 * retry_delay, MAX_RETRY_SECONDS),
                    min(2.0 * timeout, MAX_POST_TIMEOUT_SECONDS),
                )

    async def _post(self, batch: list[tuple[int, Notice]], timeout: float) -> bool:
        body = b"\n".join(msgspec.json.encode(notice) for _, notice in batch) + b"\n"
        deadline = asyncio.get_running_loop().time() + timeout
        try:
            pool: HttpPool = self.pools.http_pool(self.url)
            reply = await pool.post(Headers([("Content-Type", "application/json")]), body, deadline)
        except CallFailed as failed:
            self.note("notice_failed", {"error": str(failed), "owed": len(self.pending)})
            return False
        if reply.status == 400 and len(batch) > 1:
            self.single_posts = len(batch)  # one unreadable notice must not block the others
            return False
        if reply.status == 400:
            self.note("notice_unreadable", {"refs": [notice.ref for _, notice in batch][:5]})
            return True  # repeating it would give the same answer
        return 200 <= reply.status < 300
