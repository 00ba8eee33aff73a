"""The deadlines of the calls in flight to each endpoint. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

TIMER_RESOLUTION_MS = 1.0  # the event loop may fire a timer that much early


class CallDeadlines:
    """Tells whether a call to an endpoint is overdue, whichever of the timers that end it has fired."""

    def __init__(self) -> None:
        self.by_endpoint: dict[str, list[float]] = {}

    @contextmanager
    def track(self, endpoint: str, deadline: float) -> Iterator[None]:
        """Count a call as in flight; ``deadline`` in ms of the engine's clock."""
        deadlines = self.by_endpoint.setdefault(endpoint, [])
        deadlines.append(deadline)
        try:
            yield
        finally:
            deadlines.remove(deadline)
            if not deadlines:
                del self.by_endpoint[endpoint]

    def any_overdue(self, endpoint: str, now: float) -> bool:
        """Return whether a call in flight to an endpoint has reached its deadline."""
        deadlines = self.by_endpoint.get(endpoint)
        return deadlines is not None and min(deadlines) <= now + TIMER_RESOLUTION_MS
