"""Bounds how stale this copy's knowledge of the committed log is. Pure.

A leader's commit index as of some time counts only once this copy has reached that index, so a copy that is
connected but far behind is still stale.
"""

from __future__ import annotations

MAX_STALENESS_MS = 11_000.0  # within this a change should be in force everywhere
LONG_AGO_MS = -1e18  # before all other times; finite, so that ages are too
STALL_DISTRUST_MS = 1_000.0  # after a stall, as messages that waited state too low an age


class StalenessTracker:
    """Tracks when this copy last certainly knew everything committed. All times are in milliseconds."""

    def __init__(self) -> None:
        self.current_at = LONG_AGO_MS
        self._pending: tuple[int, float] | None = None  # commit index not yet reached here, and its time
        self._trusted_from = LONG_AGO_MS

    def note_stall(self, now: float) -> None:
        """Record that this copy was stalled until ``now``; messages that waited are not trusted."""
        self._trusted_from = now + STALL_DISTRUST_MS

    def note_commit(self, commit_index: int, at: float, now: float) -> None:
        """Record a leader's commit index at ``at``; ignored soon after a stall or while one is pending."""
        if now >= self._trusted_from and self._pending is None:
            self._pending = (commit_index, at)

    def note_reached(self, commit_index: int) -> None:
        """Record that this copy knows the log up to ``commit_index``."""
        if self._pending is not None and commit_index >= self._pending[0]:
            self.current_at = max(self.current_at, self._pending[1])
            self._pending = None

    def note_leadership(self, at: float) -> None:
        """Record that this copy certainly led at ``at``, confirmed by a quorum."""
        self.current_at = max(self.current_at, at)

    def age_ms(self, now: float) -> float:
        """Milliseconds since this copy last knew everything committed."""
        return now - self.current_at

    def is_stale(self, now: float) -> bool:
        """Whether this copy has not known everything committed for over MAX_STALENESS_MS."""
        return self.age_ms(now) > MAX_STALENESS_MS


def quorum_contact_time(contacts: list[float], quorum: int) -> float:
    """Return the ``quorum``-th latest of the last contact times; LONG_AGO_MS if there are too few."""
    return sorted(contacts, reverse=True)[quorum - 1] if 0 < quorum <= len(contacts) else LONG_AGO_MS
