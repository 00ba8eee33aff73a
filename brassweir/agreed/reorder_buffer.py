"""Messages that came ahead of others: the others may only be late, so a few are kept for a while. Pure."""

from __future__ import annotations

from typing import Generic, TypeVar

from brassweir.agreed import timing

M = TypeVar("M")


class ReorderBuffer(Generic[M]):
    """Messages by the first entry they carry, and since when something is missing before one of them."""

    def __init__(self, most: int) -> None:
        self.max_messages = most
        self.messages: dict[int, M] = {}
        self.gap_since: float | None = None
        self.missing = 0

    def add(self, first: int, message: M | None, now: float) -> None:
        """Something is missing before this; None is not worth keeping. Of too many the nearest are kept."""
        if self.gap_since is None:
            self.gap_since = now
        if message is not None:
            self.messages[first] = message
            if len(self.messages) > self.max_messages:
                del self.messages[max(self.messages)]

    def pop_following(self, index: int, now: float) -> M | None:
        """A message that carries the entry ``index``, which is the next one, or an earlier one."""
        first = min(self.messages, default=index + 1)
        if first > index:
            if not self.messages:
                self.gap_since = None
            elif index != self.missing:  # something else than before
                self.gap_since = now
            self.missing = index
            return None
        return self.messages.pop(first)

    def clear(self) -> None:
        """Nothing is missing."""
        self.messages, self.gap_since = {}, None

    def gap_deadline(self) -> float:
        """When what is missing is taken for lost."""
        return float("inf") if self.gap_since is None else self.gap_since + timing.GAP_WAIT_MS

    def overdue(self, now: float) -> bool:
        """Is it?"""
        return now >= self.gap_deadline()
