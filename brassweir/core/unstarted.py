"""Tracks attempts from the decision to send until their outcome, and cancels those that have not begun."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from brassweir.core import cancel
from brassweir.core.ports import Attempt, Outcome
from brassweir.interface import EndpointInfo, Result

Done = Callable[[Outcome], None]


class UnstartedAttempts:
    """Attempts without an outcome, by destination, each with the callback that takes its outcome.

    ``apart`` names the kinds of destination where each endpoint has its own limits.
    """

    def __init__(self, apart: frozenset[str]) -> None:
        self.apart = apart
        self.by_destination: dict[int, dict[tuple[int, int], tuple[Attempt, Done]]] = {}

    def add(self, attempt: Attempt, done: Done) -> None:
        """Add an attempt that the module decided on."""
        attempts = self.by_destination.setdefault(attempt.endpoint.destination, {})
        attempts[attempt.id, attempt.number] = attempt, done

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt that has its outcome."""
        destination = attempt.endpoint.destination
        attempts = self.by_destination.get(destination)
        if (
            attempts is not None
            and attempts.pop((attempt.id, attempt.number), None) is not None
            and not attempts
        ):
            del self.by_destination[destination]

    def cancelled_by_wait(self, ended: Attempt, outcome: Outcome) -> list[Attempt]:
        """Return the attempts that a wait requested in the outcome of another attempt cancels."""
        if outcome.wait <= 0.0:
            return []
        return cancel.cancelled_by_wait(
            ended, outcome, self._not_begun(ended.endpoint.destination), self.apart
        )

    def cancelled_by_list(self, entries: Iterable[EndpointInfo]) -> list[Attempt]:
        """Return the attempts that an update of the endpoint list cancels."""
        return cancel.cancelled_by_list(entries, self._not_begun(*self.by_destination))

    def cancel(self, attempts: Iterable[Attempt], reason: str) -> None:
        """End those of the attempts of which no byte was written, as cancelled before start."""
        for attempt in attempts:
            if attempt.start_guard.cancel():
                _, done = self.by_destination[attempt.endpoint.destination][attempt.id, attempt.number]
                done(Outcome(Result.NOT_STARTED, reason))

    def _not_begun(self, *destinations: int) -> list[Attempt]:
        return [
            attempt
            for destination in destinations
            for attempt, _ in self.by_destination.get(destination, {}).values()
            if not attempt.start_guard.begun
        ]
