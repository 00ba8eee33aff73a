"""Buffer for messages that arrive ahead of others, which may be late or lost. Pure."""

from __future__ import annotations

from typing import Generic, TypeVar

from brassweir.agreed import timing

M = TypeVar("M")


class ReorderBuffer(Generic[M]):
    """Messages by the first entry they carry, and since when entries before one of them are missing."""

    def __init__(self, max_messages: int) -> None:
        self.max_messages = max_messages
        self.messages: dict[int, M] = {}
        self.gap_since: float | None = None
        self.missing = 0

    def add(self, first: int, message: M | None, now: float) -> None:
        """Note a gap before ``first`` and buffer the message, if any. Too many: the furthest is dropped."""
        if self.gap_since is None:
            self.gap_since = now
        if message is not None:
            self.messages[first] = message
            if len(self.messages) > self.max_messages:
                del self.messages[max(self.messages)]

    def pop_following(self, index: int, now: float) -> M | None:
        """Take out a message that starts at or before ``index``, the next entry; None if there is none."""
        first = min(self.messages, default=index + 1)
        if first > index:
            if not self.messages:
                self.gap_since = None
            elif index != self.missing:  # another gap than before
                self.gap_since = now
            self.missing = index
            return None
        return self.messages.pop(first)

    def clear(self) -> None:
        """Drop all messages."""
        self.messages, self.gap_since = {}, None

    def gap_deadline(self) -> float:
        """When missing entries count as lost."""
        return float("inf") if self.gap_since is None else self.gap_since + timing.GAP_WAIT_MS

    def overdue(self, now: float) -> bool:
        """Whether missing entries count as lost."""
        return now >= self.gap_deadline()
