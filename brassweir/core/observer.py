"""Who sees what passes in an engine; for logs and metrics."""

from __future__ import annotations

from brassweir.core.ledger import MessageRecord, SubmitStatus
from brassweir.core.ports import Attempt, Outcome


class EngineObserver:
    """This one sees nothing. Must not raise."""

    def submitted(self, record: MessageRecord, how: SubmitStatus) -> None:
        """A message was handed in."""

    def sent(self, attempt: Attempt) -> None:
        """An attempt goes out."""

    def began(self, record: MessageRecord, number: int) -> None:
        """The first byte of an attempt at a message leaves now."""

    def outcome(self, record: MessageRecord, number: int, outcome: Outcome, late: bool) -> None:
        """An attempt ended; ``late`` says that the message already had its answer."""

    def late_outcome(self, record: MessageRecord, number: int, outcome: Outcome) -> None:
        """Something came for an attempt that had its outcome: a receipt after its time, or a second one."""

    def final(self, record: MessageRecord) -> None:
        """A message has its answer."""

    def turn(self, events: int, actions: int, spent: float) -> None:
        """One ``handle`` call was made; ``spent`` is its CPU time in seconds."""
