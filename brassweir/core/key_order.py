"""Keeps hand-ins of one key in the order of their arrival while each is opened on a thread of its own."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager


class KeyOrder:
    """One line for each key that has hand-ins being opened."""

    def __init__(self) -> None:
        self.last: dict[str, asyncio.Future[None]] = {}

    @asynccontextmanager
    async def turn(self, key: str) -> AsyncIterator[Callable[[], Awaitable[None]]]:
        """Stand in line now; await what this yields to come to the front. Leaving passes the turn on."""
        if not key:
            yield _at_once
            return
        before = self.last.get(key)
        mine = self.last[key] = asyncio.get_running_loop().create_future()

        async def turn() -> None:
            if before is not None:
                await before

        try:
            yield turn
        finally:
            # One that leaves without its turn (it could not be opened) must not let the next one overtake
            # those still before it.
            if before is not None and not before.done():
                before.add_done_callback(lambda _: mine.set_result(None))
            else:
                mine.set_result(None)
            if self.last.get(key) is mine:
                del self.last[key]


async def _at_once() -> None:
    return None
