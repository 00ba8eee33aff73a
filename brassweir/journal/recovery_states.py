"""What is to be known after a restart of destinations that may be down, or are back from an outage. Pure.

This is not owed to anyone: beyond a limit in bytes the ones heard of longest ago are forgotten.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from brassweir.interface import Recovery
from brassweir.journal.frame import frame_bytes
from brassweir.journal.records import Recovering

MAX_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class PastRecovery:
    """What an earlier process concluded of a destination, or of a separate route; ``ago`` in ms."""

    destination: str
    endpoint: str
    recovery: Recovery
    ago: float


class RecoveryStates:
    """The latest recovery of each destination and separate route, but for those that are over.

    ``kept_bytes`` is what a snapshot takes for them, at most ``max_bytes``.
    """

    def __init__(self) -> None:
        self.kept_bytes = 0
        self.max_bytes = MAX_BYTES
        self._latest: OrderedDict[tuple[str, str], Recovering] = OrderedDict()

    def limit(self, max_bytes: int) -> None:
        """Set the limit, and forget what is over it."""
        self.max_bytes = max_bytes
        self._forget_excess()

    def add(self, record: Recovering) -> None:
        """Note a change."""
        earlier = self._latest.pop((record.destination, record.endpoint), None)
        if earlier is not None:
            self.kept_bytes -= frame_bytes(earlier)
        if record.recovery != Recovery.NONE.value:
            self._latest[record.destination, record.endpoint] = record
            self.kept_bytes += frame_bytes(record)
        self._forget_excess()

    def records(self) -> Iterator[Recovering]:
        """Yield what a snapshot keeps, the one heard of last at the end."""
        yield from list(self._latest.values())

    def past(self, now: float) -> list[PastRecovery]:
        """Return what a restart at ``now`` (wall ms) goes on with."""
        return [
            PastRecovery(
                record.destination, record.endpoint, Recovery(record.recovery), max(0.0, now - record.since)
            )
            for record in self.records()
        ]

    def _forget_excess(self) -> None:
        while self.kept_bytes > self.max_bytes:
            _, record = self._latest.popitem(last=False)
            self.kept_bytes -= frame_bytes(record)
