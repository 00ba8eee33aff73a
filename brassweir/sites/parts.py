"""A copy's part of what may go to a taker, so that the parts of all copies add up to no more than the whole.

``ALONE`` of the whole is split evenly over the copies **listed**: alive or not, reached or not. The rest
goes by the agreed log, evenly over the copies that it does not hold for gone, and only while the log was
heard within a lease. When the log's state changes, those that have not heard go on with the old part for a
lease, so for as long a copy uses no more than the smaller of its old and its new part, plus its part of
what the whole has grown by: old users then hold at most the old whole, new ones at most the growth, so all
at most the larger of the two.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

LEASE = 3000.0  # ms on the own clock from the question to the log to the end of what its answer allows
ALONE = 0.25  # of the whole needs no agreed log
DRIFT = 1.01  # x a lease that others are waited for: clocks run at rates that differ by less


@dataclass(slots=True)
class Part:
    """One copy's agreed part of one whole over time."""

    version: int | None = None
    whole: float = 0.0
    weight: float = 0.0
    before: float = 0.0  # own part before the last change
    before_whole: float = 0.0
    changed_at: float = 0.0

    def take(self, now: float, version: int, whole: float, weight: float, held: bool) -> None:
        """The log's state as it was just heard. ``weight``: this copy's of the whole. ``held``: the lease of
        what was heard before still lasts."""
        if self.version is not None and version <= self.version:
            return  # the log does not go back; an old answer that comes late changes nothing
        if self.version is None or not held:
            # Others may have settled on what was never heard here: nothing until their leases are over.
            self.before, self.before_whole, self.changed_at = 0.0, math.inf, now
        elif (whole, weight) != (self.whole, self.weight) or version > self.version + 1:
            settled = now - self.changed_at >= LEASE * DRIFT
            # Nobody can have settled on a version between, but all may be using its growth.
            known = self.whole if settled else max(self.whole, self.before_whole)
            self.before = self.now(now)
            self.before_whole = known if version == self.version + 1 else math.inf
            self.changed_at = now
        self.version, self.whole, self.weight = version, whole, weight

    def now(self, now: float) -> float:
        """What may be used while the log is reached."""
        part = self.whole * self.weight
        if now - self.changed_at >= LEASE * DRIFT:
            return part
        return min(part, min(self.before, part) + self.weight * max(0.0, self.whole - self.before_whole))


def alone(whole: float, listed: int) -> float:
    """What a copy may use whatever it knows; ``listed``: copies in the settings, dead ones among them."""
    return ALONE * whole / listed
