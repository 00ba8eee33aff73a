"""The interface through which logs and metrics observe an engine."""

from __future__ import annotations

from brassweir.core.ledger import MessageRecord, SubmitStatus
from brassweir.core.ports import Attempt, Outcome


class EngineObserver:
    """Ignores everything; subclasses override the methods that they need, and must not raise."""

    def submitted(self, record: MessageRecord, status: SubmitStatus) -> None:
        """A message was submitted."""

    def sent(self, attempt: Attempt) -> None:
        """An attempt is given to its carrier."""

    def began(self, record: MessageRecord, number: int) -> None:
        """The first byte of an attempt is about to be written."""

    def outcome(self, record: MessageRecord, number: int, outcome: Outcome, late: bool) -> None:
        """An attempt ended; ``late`` means that its message already had its final answer."""

    def late_outcome(self, record: MessageRecord, number: int, outcome: Outcome) -> None:
        """An attempt that had its outcome got another: a receipt after the time-out, or a second one."""

    def final(self, record: MessageRecord) -> None:
        """A message has its final answer."""

    def turn(self, events: int, actions: int, spent: float) -> None:
        """The decision module's ``handle`` was called once; ``spent`` is its CPU time in seconds."""
