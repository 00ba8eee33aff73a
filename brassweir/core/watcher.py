"""Who sees what passes in an engine; for logs and metrics."""

from __future__ import annotations

from brassweir.core.ledger import Record, Taken
from brassweir.core.ports import Attempt, Outcome


class Watcher:
    """This one sees nothing. Must not raise."""

    def taken(self, record: Record, how: Taken) -> None:
        """A message was handed in."""

    def sent(self, attempt: Attempt) -> None:
        """An attempt goes out."""

    def began(self, record: Record, number: int) -> None:
        """The first byte of an attempt at a message leaves now."""

    def outcome(self, record: Record, number: int, outcome: Outcome, late: bool) -> None:
        """An attempt ended; ``late`` says that the message already had its answer."""

    def late(self, record: Record, number: int, outcome: Outcome) -> None:
        """Something came for an attempt that had its outcome: a receipt after its time, or a second one."""

    def final(self, record: Record) -> None:
        """A message has its answer."""

    def turn(self, events: int, actions: int, spent: float) -> None:
        """One ``handle`` call was made; ``spent`` is its CPU time in seconds."""
