"""Tells the platform of ends that are no delivery: ``POST /status``, one JSON object a line.

A notice is owed until it was answered; until then it stands in the journal too. Notices that come while one
post is under way go together in the next. A notice that is told twice does no harm, one that comes late does:
so a post that may be lost is given up soon, and one to where the platform was is given up as it moves.
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

MOST = 200  # notices of one post: some 20 KB, under the platform's bound on bodies
WITHIN, PATIENT = 0.2, 1.0  # seconds for one post, doubled up to the second; the platform answers at once
FIRST, LONGEST = 0.05, 0.5  # seconds between tries, doubled up to the longest

Note = Callable[[str, dict[str, object]], None]


class Notice(msgspec.Struct, omit_defaults=True):
    """One end."""

    ref: str
    result: str
    wait_ms: int = 0


def notice(ref: str, answer: FinalAnswer) -> Notice:
    """The platform's words for a final answer that is no delivery."""
    if answer.answer is Answer.REFUSED:
        return Notice(ref, "bounced", int(answer.retry_after))
    return Notice(ref, "dead")


class Notices:
    """The line of notices owed. ``told`` is called with the message's number once the platform has one."""

    def __init__(self, pools: PoolManager, discovery: str, told: Callable[[int], None], note: Note) -> None:
        self.pools, self.told, self.note = pools, told, note
        self.owed: deque[tuple[int, Notice]] = deque()
        self.task: asyncio.Task[None] | None = None
        self.sent = 0
        self.alone = 0  # posts to come with one notice each: one of them could not be read
        self.move(discovery)

    def move(self, discovery: str) -> None:
        """From now on the platform listens elsewhere: what is owed goes there at once."""
        self.url = f"http://{discovery}/status"
        self.pools.close_all_idle()
        if self.task is not None:
            self.task.cancel()
            self._start()

    def owe(self, message: int, one: Notice) -> None:
        """A message has ended."""
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
            self.alone = len(batch)  # the others must not go unread with it
            return False
        if reply.status == 400:
            self.note("notice_unreadable", {"refs": [one.ref for _, one in batch][:5]})
            return True  # it will not be read the next time either
        return 200 <= reply.status < 300
