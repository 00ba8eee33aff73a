"""Who waits for what the core was asked: a ticket and a future for each proposal, read and change."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from brassweir.agreed.events import Completed, Event, Outcome, OutcomeKind

GRACE_MS = 500.0  # ms past a question's own time-out after which its asker is freed in any case


class PendingCalls:
    """Questions under way, by ticket."""

    def __init__(self) -> None:
        self._last = 0
        self._open: dict[int, asyncio.Future[Outcome]] = {}

    async def call(
        self, take: Callable[[Event], None], fact: Callable[[int], Event], timeout_ms: float
    ) -> Outcome:
        """Give the core a fact under a new ticket and wait for its end."""
        self._last += 1
        ticket = self._last
        future = self._open[ticket] = asyncio.get_running_loop().create_future()
        take(fact(ticket))
        try:
            return await asyncio.wait_for(future, (timeout_ms + GRACE_MS) / 1_000.0)
        except TimeoutError:
            return Outcome(OutcomeKind.UNKNOWN, why="not ended in time; it may still come")
        finally:
            self._open.pop(ticket, None)

    def complete(self, step: Completed) -> None:
        """The core told how one ended."""
        future = self._open.get(step.ticket)
        if future is not None and not future.done():
            future.set_result(step.outcome)

    def stop(self) -> None:
        """All that still wait end unknown."""
        for future in self._open.values():
            if not future.done():
                future.set_result(Outcome(OutcomeKind.UNKNOWN, why="this copy stops"))
