"""Two implementations of the engine's clock: the event loop's time, and simulated time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count


class LoopClock:
    """The running event loop's monotonic time in milliseconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def now(self) -> float:
        """Return the loop's current time (ms)."""
        return self.loop.time() * 1000.0

    def call_at(self, when: float, callback: Callable[[], None]) -> asyncio.Handle:
        """Run ``callback`` at ``when`` (ms)."""
        return self.loop.call_at(when / 1000.0, callback)

    def call_soon(self, callback: Callable[[], None]) -> asyncio.Handle:
        """Run ``callback`` in the loop's next iteration."""
        return self.loop.call_soon(callback)


class SimHandle:
    """A scheduled call of :class:`SimClock`."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the call; does nothing if it has already run."""
        self.callback = None


class SimClock:
    """Simulated time: advances from one scheduled call to the next, in a reproducible order."""

    def __init__(self, now: float = 0.0) -> None:
        self.time = now
        self.queue: list[tuple[float, int, SimHandle]] = []
        self.numbers = count()

    def now(self) -> float:
        """Return the simulated time (ms)."""
        return self.time

    def call_at(self, when: float, callback: Callable[[], None]) -> SimHandle:
        """Run ``callback`` at ``when``, or now if that has passed."""
        handle = SimHandle(callback)
        heappush(self.queue, (max(when, self.time), next(self.numbers), handle))
        return handle

    def call_soon(self, callback: Callable[[], None]) -> SimHandle:
        """Run ``callback`` at the present time, after all calls that are already scheduled for it."""
        return self.call_at(self.time, callback)

    def run(self, until: float) -> None:
        """Run all calls scheduled up to and including ``until``, and advance the time to it."""
        while self.queue and self.queue[0][0] <= until:
            self.time, _, handle = heappop(self.queue)
            if handle.callback is not None:
                handle.callback()
        self.time = max(self.time, until)
