"""Attempts decided on that may not have begun: who they are, and how they are called back."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from brassweir.core import cancel
from brassweir.core.ports import Attempt, Outcome
from brassweir.interface import EndpointInfo, Result

Done = Callable[[Outcome], None]


class UnstartedAttempts:
    """Attempts from their decision to their outcome, by destination, each with the call that ends it.

    ``apart`` names the kinds of destination whose routes have limits of their own.
    """

    def __init__(self, apart: frozenset[str]) -> None:
        self.apart = apart
        self.by_destination: dict[int, dict[tuple[int, int], tuple[Attempt, Done]]] = {}

    def add(self, attempt: Attempt, done: Done) -> None:
        """An attempt was decided on."""
        line = self.by_destination.setdefault(attempt.endpoint.destination, {})
        line[attempt.id, attempt.number] = attempt, done

    def remove(self, attempt: Attempt) -> None:
        """An attempt has its outcome."""
        home = attempt.endpoint.destination
        line = self.by_destination.get(home)
        if line is not None and line.pop((attempt.id, attempt.number), None) is not None and not line:
            del self.by_destination[home]

    def cancelled_by_wait(self, ended: Attempt, outcome: Outcome) -> list[Attempt]:
        """Those that a wait told to another attempt calls back."""
        if outcome.wait <= 0.0:
            return []
        return cancel.cancelled_by_wait(
            ended, outcome, self._not_begun(ended.endpoint.destination), self.apart
        )

    def cancelled_by_list(self, entries: Iterable[EndpointInfo]) -> list[Attempt]:
        """Those that news of the endpoint list calls back."""
        return cancel.cancelled_by_list(entries, self._not_begun(*self.by_destination))

    def cancel(self, attempts: Iterable[Attempt], why: str) -> None:
        """End those of which no byte was written as moot."""
        for attempt in attempts:
            if attempt.start_guard.cancel():
                _, done = self.by_destination[attempt.endpoint.destination][attempt.id, attempt.number]
                done(Outcome(Result.NOT_STARTED, why))

    def _not_begun(self, *destinations: int) -> list[Attempt]:
        return [
            attempt
            for destination in destinations
            for attempt, _ in self.by_destination.get(destination, {}).values()
            if not attempt.start_guard.begun
        ]
