"""Base class of carriers that run each attempt as an asyncio task."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from brassweir.core.ports import Attempt, Outcome, Urls
from brassweir.interface import Result

Note = Callable[[str, dict[str, object]], None]


class IdleCloser(Protocol):
    """The part of the connection pools that this module needs."""

    def close_idle(self, url: str) -> int:
        """Close the idle connections to an endpoint."""


class TaskCarrier:
    """Runs :meth:`call` as a task for each attempt, and reports an outcome even if that raises.

    ``note`` logs an event with its fields. ``name`` goes into User-Agent, so that a partner can tell senders
    apart.
    """

    def __init__(self, urls: Urls, idle_closer: IdleCloser, note: Note, name: str) -> None:
        self.urls, self.idle_closer, self.note = urls, idle_closer, note
        self.agent = f"brassweir ({name})" if name else "brassweir"
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        """Start an attempt (see :class:`brassweir.core.ports.Carrier`)."""
        task = asyncio.get_running_loop().create_task(self._attempt(attempt, done))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint."""
        url = self.urls.url(endpoint)
        if url is not None:
            self.idle_closer.close_idle(url)

    async def call(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        """Make the attempt and call ``done`` with its outcome."""
        raise NotImplementedError

    async def _attempt(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        try:
            await self.call(attempt, done)
        except asyncio.CancelledError:
            done(Outcome(Result.CANCELLED, "the sender stopped"))
            raise
        except Exception as error:  # whatever is wrong here, the attempt gets an outcome
            self.note("carrier_fault", {"message": attempt.id, "error": f"{type(error).__name__}: {error}"})
            done(Outcome(Result.ERROR, f"internal: {type(error).__name__}"))
