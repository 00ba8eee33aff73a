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

MOST = 200  # about 20 KB, below the platform's limit on request bodies
WITHIN, PATIENT = 0.2, 1.0  # doubled with each failure
FIRST, LONGEST = 0.05, 0.5  # doubled with each failure

Note = Callable[[str, dict[str, object]], None]


class Notice(msgspec.Struct, omit_defaults=True):
    """A final answer: ``bounced`` (refused; ``wait_ms`` until a new submission makes sense) or ``dead``."""

    ref: str
    result: str
    wait_ms: int = 0


def notice(ref: str, answer: FinalAnswer) -> Notice:
    """Translate a final answer other than a delivery into the platform's terms."""
    if answer.answer is Answer.REFUSED:
        return Notice(ref, "bounced", int(answer.retry_after))
    return Notice(ref, "dead")


class Notices:
    """Sends notices in order and repeats them until they are acknowledged.

    ``on_acknowledged`` is called with the message's number once the platform has answered its notice.
    """

    def __init__(self, pools: PoolManager, discovery: str, told: Callable[[int], None], note: Note) -> None:
        self.pools, self.told, self.note = pools, told, note
        self.owed: deque[tuple[int, Notice]] = deque()
        self.task: asyncio.Task[None] | None = None
        self.sent = 0
        self.alone = 0  # number of posts to send with one notice each, after a batch got a 400
        self.move(discovery)

    def move(self, discovery: str) -> None:
        """Send to another address from now on. A post under way is cancelled and repeated there at once."""
        self.url = f"http://{discovery}/status"
        self.pools.close_all_idle()
        if self.task is not None:
            self.task.cancel()
            self._start()

    def owe(self, message: int, one: Notice) -> None:
        """Queue the notice for a message that has ended."""
        self.owed.append((message, one))
        if self.task is None or self.task.done():
            self._start()

    def _start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        wait, within = FIRST, WITHIN
        while self.owed:
            batch = [self.owed[i] for i in range(min(1 if self.alone else MOST, len(self.owed)))]
            if await self._post(batch, within):
                self.alone = max(0, self.alone - 1)
                for _ in batch:
                    self.owed.popleft()
                for message, _ in batch:
                    self.told(message)
                self.sent += len(batch)
                wait, within = FIRST, WITHIN
            else:
                await asyncio.sleep(wait)
                wait, within = min(2.0 * wait, LONGEST), min(2.0 * within, PATIENT)

    async def _post(self, batch: list[tuple[int, Notice]], within: float) -> bool:
        body = b"\n".join(msgspec.json.encode(one) for _, one in batch) + b"\n"
        until = asyncio.get_running_loop().time() + within
        try:
            pool: HttpPool = self.pools.http_pool(self.url)
            reply = await pool.post(Headers([("Content-Type", "application/json")]), body, until)
        except CallFailed as failed:
            self.note("notice_failed", {"error": str(failed), "owed": len(self.owed)})
            return False
        if reply.status == 400 and len(batch) > 1:
            self.alone = len(batch)  # one unreadable notice must not block the others
            return False
        if reply.status == 400:
            self.note("notice_unreadable", {"refs": [one.ref for _, one in batch][:5]})
            return True  # repeating it would give the same answer
        return 200 <= reply.status < 300
