"""Callers that wait for the core: a ticket and a future for each proposal, read and membership change."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from brassweir.agreed.events import Completed, Event, Outcome, OutcomeKind

GRACE_MS = 500.0  # past a call's own timeout, after which its caller is released in any case


class PendingCalls:
    """Calls that have not ended, by ticket."""

    def __init__(self) -> None:
        self._last_ticket = 0
        self._futures: dict[int, asyncio.Future[Outcome]] = {}

    async def call(
        self, submit: Callable[[Event], None], make_event: Callable[[int], Event], timeout_ms: float
    ) -> Outcome:
        """Submit an event with a new ticket and wait for its outcome."""
        self._last_ticket += 1
        ticket = self._last_ticket
        future = self._futures[ticket] = asyncio.get_running_loop().create_future()
        submit(make_event(ticket))
        try:
            return await asyncio.wait_for(future, (timeout_ms + GRACE_MS) / 1_000.0)
        except TimeoutError:
            return Outcome(OutcomeKind.UNKNOWN, why="not ended in time; it may still come")
        finally:
            self._futures.pop(ticket, None)

    def complete(self, completed: Completed) -> None:
        """The core completed a request: resolve the call of its ticket."""
        future = self._futures.get(completed.ticket)
        if future is not None and not future.done():
            future.set_result(completed.outcome)

    def stop(self) -> None:
        """End all calls as unknown."""
        for future in self._futures.values():
            if not future.done():
                future.set_result(Outcome(OutcomeKind.UNKNOWN, why="this copy stops"))
