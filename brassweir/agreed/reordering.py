"""Messages that came ahead of others: the others may only be late, so a few are kept for a while. Pure."""

from __future__ import annotations

from typing import Generic, TypeVar

from brassweir.agreed import timing

M = TypeVar("M")


class Reordering(Generic[M]):
    """Messages by the first entry they carry, and since when something is missing before one of them."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.kept: dict[int, M] = {}
        self.since: float | None = None
        self.missing = 0

    def keep(self, first: int, message: M | None, now: float) -> None:
        """Something is missing before this; None is not worth keeping. Of too many the nearest are kept."""
        if self.since is None:
            self.since = now
        if message is not None:
            self.kept[first] = message
            if len(self.kept) > self.most:
                del self.kept[max(self.kept)]

    def following(self, index: int, now: float) -> M | None:
        """A message that carries the entry ``index``, which is the next one, or an earlier one."""
        first = min(self.kept, default=index + 1)
        if first > index:
            if not self.kept:
                self.since = None
            elif index != self.missing:  # something else than before
                self.since = now
            self.missing = index
            return None
        return self.kept.pop(first)

    def clear(self) -> None:
        """Nothing is missing."""
        self.kept, self.since = {}, None

    def due(self) -> float:
        """When what is missing is taken for lost."""
        return float("inf") if self.since is None else self.since + timing.GAP_WAIT

    def overdue(self, now: float) -> bool:
        """Is it?"""
        return now >= self.due()
