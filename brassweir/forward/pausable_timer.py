"""A timer that can be paused, and goes on with the time that was left."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

MIN_REMAINING_SECONDS = 0.1  # left to a timer that is resumed


class PausableTimer:
    """One timer; setting it again replaces it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, on_timeout: Callable[[], None]) -> None:
        self.loop, self.on_timeout = loop, on_timeout
        self.handle: asyncio.TimerHandle | None = None
        self.remaining: float | None = None  # seconds; while paused

    def set(self, timeout_ms: float) -> None:
        """Calls ``on_timeout`` after ``timeout_ms``."""
        self.stop()
        self.handle = self.loop.call_later(timeout_ms / 1000.0, self.on_timeout)

    def stop(self) -> None:
        """Cancels the timer."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None

    def pause(self) -> None:
        """Stops the timer and saves its remaining time."""
        if self.remaining is None and self.handle is not None:
            self.remaining = max(MIN_REMAINING_SECONDS, self.handle.when() - self.loop.time())
            self.stop()

    def resume(self) -> None:
        """Goes on with a paused timer."""
        if self.remaining is not None:
            remaining, self.remaining = self.remaining, None
            self.set(remaining * 1000.0)
