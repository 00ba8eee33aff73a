"""How old this copy's knowledge of what is agreed is at most. Pure.

A word that a leader led at some time, with so much agreed then, counts once all of that is agreed here too: a
copy that is in touch but far behind does not take itself for current.
"""

from __future__ import annotations

MAX_STALENESS_MS = 11_000.0  # ms: the time within which a change is to be in force everywhere
LONG_AGO_MS = -1e18  # a time before all others
STALL_DISTRUST_MS = 1_000.0  # ms after a stall: messages that waited meanwhile tell an age that is too low


class StalenessTracker:
    """When this copy last surely knew all that was agreed."""

    def __init__(self) -> None:
        self.current_at = LONG_AGO_MS
        self._pending: tuple[int, float] | None = None  # agreed up to there at that time, and not here yet
        self._trusted_from = LONG_AGO_MS

    def note_stall(self, now: float) -> None:
        """This copy was away until now: what it finds waiting is old."""
        self._trusted_from = now + STALL_DISTRUST_MS

    def note_commit(self, commit: int, at: float, now: float) -> None:
        """A leader led at ``at``, and all up to ``commit`` was agreed then."""
        if now >= self._trusted_from and self._pending is None:
            self._pending = (commit, at)

    def note_reached(self, agreed: int) -> None:
        """All up to ``agreed`` is known here."""
        if self._pending is not None and agreed >= self._pending[0]:
            self.current_at = max(self.current_at, self._pending[1])
            self._pending = None

    def note_leadership(self, at: float) -> None:
        """This copy surely led at ``at``: a quorum had answered it since then."""
        self.current_at = max(self.current_at, at)

    def age_ms(self, now: float) -> float:
        """Ms since then."""
        return now - self.current_at

    def is_stale(self, now: float) -> bool:
        """Is what is known here too old to speak of what is in force?"""
        return self.age_ms(now) > MAX_STALENESS_MS


def quorum_contact_time(heard: list[float], quorum: int) -> float:
    """Since when a quorum has surely been in touch: the ``quorum``-th latest of the times they were heard."""
    return sorted(heard, reverse=True)[quorum - 1] if 0 < quorum <= len(heard) else LONG_AGO_MS
