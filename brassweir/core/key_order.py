"""Keeps submissions of one key in their order of arrival while threads decode them concurrently."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager


class KeyOrder:
    """A first-in, first-out queue for each key with submissions in progress."""

    def __init__(self) -> None:
        self.last: dict[str, asyncio.Future[None]] = {}

    @asynccontextmanager
    async def turn(self, key: str) -> AsyncIterator[Callable[[], Awaitable[None]]]:
        """Enter the queue of ``key`` now, and leave it at the end of the ``async with`` block.

        Yields a function that waits until all earlier entries have left. An empty key has no order: it never
        waits.
        """
        if not key:
            yield _no_wait
            return
        predecessor = self.last.get(key)
        finished = self.last[key] = asyncio.get_running_loop().create_future()

        async def wait_for_turn() -> None:
            if predecessor is not None:
                await predecessor

        try:
            yield wait_for_turn
        finally:
            # An entry that could not be decoded leaves before its turn. Its successor must still wait for the
            # entries ahead.
            if predecessor is not None and not predecessor.done():
                predecessor.add_done_callback(lambda _: finished.set_result(None))
            else:
                finished.set_result(None)
            if self.last.get(key) is finished:
                del self.last[key]


async def _no_wait() -> None:
    return None
