"""How the endpoints' last attempts ended, as the engine needs it after a restart. Pure.

This is not owed to anyone: beyond a limit in bytes the endpoints heard of longest ago are forgotten, so that
endpoints which were replaced, however many, take no room.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

from brassweir.interface import Result
from brassweir.journal.frame import frame_bytes
from brassweir.journal.records import Ended

# Results that the sender itself caused, and that therefore say nothing about the endpoint.
OWN_RESULTS = (
    Result.NOT_STARTED.value,
    Result.CANCELLED.value,
)
MAX_OUTCOMES = 8  # of one endpoint since its last success: enough to detect an outage
MAX_BYTES = 16 * 1024 * 1024


class EndpointHistory:
    """Each endpoint's last success, and its outcomes since then.

    ``recent_outcomes`` are by endpoint, oldest first; ``last_success_at`` is in wall ms. ``kept_bytes`` is
    what a snapshot takes for them, at most ``max_bytes``.
    """

    def __init__(self) -> None:
        self.recent_outcomes: dict[str, list[Ended]] = {}
        self.last_success_at: dict[str, float] = {}
        self.kept_bytes = 0
        self.max_bytes = MAX_BYTES
        self._bytes: OrderedDict[str, int] = OrderedDict()  # by endpoint, the one heard of last at the end

    def limit(self, max_bytes: int) -> None:
        """Set the limit, and forget what is over it."""
        self.max_bytes = max_bytes
        self._forget_excess()

    def add(self, record: Ended) -> None:
        """Note how an attempt ended."""
        if record.result in OWN_RESULTS:
            return
        if record.result == Result.OK.value:
            self._add_success(record)
        elif not self._add_failure(record):
            return
        self._bytes.move_to_end(record.endpoint)
        self._forget_excess()

    def endpoints(self) -> list[str]:
        """Return the names of all endpoints, the one heard of last at the end."""
        return list(self._bytes)

    def records(self, endpoint: str) -> Iterator[Ended]:
        """Yield what a snapshot keeps of an endpoint, with message id 0."""
        if endpoint in self.last_success_at:
            yield _success(endpoint, self.last_success_at[endpoint])
        for outcome in self.recent_outcomes.get(endpoint, ()):
            yield Ended(0, 0, outcome.endpoint, outcome.result, outcome.at, outcome.wait)

    def _add_success(self, record: Ended) -> None:
        """A success ends a run of failures, but no requested wait: its call may have begun before that."""
        endpoint = record.endpoint
        known = endpoint in self.last_success_at
        self.last_success_at[endpoint] = max(record.at, self.last_success_at.get(endpoint, 0.0))
        outcomes = self.recent_outcomes.pop(endpoint, [])
        waits = [outcome for outcome in outcomes if outcome.at + outcome.wait > record.at]
        if waits:
            self.recent_outcomes[endpoint] = waits
        if not known or outcomes:
            self._count(endpoint)

    def _add_failure(self, record: Ended) -> bool:
        """Add an outcome, unless it is known from a snapshot; return whether it was added."""
        outcomes = self.recent_outcomes.setdefault(record.endpoint, [])
        if any((outcome.at, outcome.result) == (record.at, record.result) for outcome in outcomes):
            return False
        outcomes.append(record)
        if len(outcomes) > MAX_OUTCOMES:
            # The wait that ends last stays, however many outcomes came after it.
            latest_wait = max(outcomes, key=lambda outcome: outcome.at + outcome.wait)
            outcomes.remove(next(outcome for outcome in outcomes if outcome is not latest_wait))
        self._count(record.endpoint)
        return True

    def _count(self, endpoint: str) -> None:
        count = sum(map(frame_bytes, self.records(endpoint)))
        self.kept_bytes += count - self._bytes.get(endpoint, 0)
        self._bytes[endpoint] = count

    def _forget_excess(self) -> None:
        while self.kept_bytes > self.max_bytes:
            endpoint, count = self._bytes.popitem(last=False)
            self.kept_bytes -= count
            self.last_success_at.pop(endpoint, None)
            self.recent_outcomes.pop(endpoint, None)


def _success(endpoint: str, at: float) -> Ended:
    return Ended(0, 0, endpoint, Result.OK.value, at)
