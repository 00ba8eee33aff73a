"""One copy's share of what may go to a taker, so that the shares of all copies never add up to more than the
total.

``ALONE`` of the total is split evenly over the copies **listed**, whether alive and reachable or not. The
other part goes by the agreed log, evenly over the copies that the log does not hold for gone, and only while
the log was reached within a lease.

When the log's state changes, copies that do not know yet use their old share for up to a lease. So for that
time a copy uses no more than the smaller of its old and its new share, plus its share of the total's growth.
Old users then hold at most the old total and new ones at most the growth, so the sum is at most the larger
total.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

LEASE_MS = 3000.0  # on this copy's clock, from the question to the log until its answer expires
ALONE = 0.25  # of the total, usable without the agreed log
DRIFT = 1.01  # x a lease to wait for other copies: the rates of clocks differ by less


@dataclass(slots=True)
class Part:
    """One copy's agreed share of one total over time."""

    version: int | None = None
    total: float = 0.0
    weight: float = 0.0
    old_share: float = 0.0  # before the last change
    old_total: float = 0.0
    changed_at: float = 0.0

    def update(self, now: float, version: int, total: float, weight: float, lease_lasts: bool) -> None:
        """Apply a state of the log. ``weight``: this copy's share of the total; ``lease_lasts``: the lease
        of the state applied before."""
        if self.version is not None and version <= self.version:
            return  # a late answer with an older state
        if self.version is None or not lease_lasts:
            # Others may use states that this copy never saw: use nothing until their leases are over.
            self.old_share, self.old_total, self.changed_at = 0.0, math.inf, now
        elif (total, weight) != (self.total, self.weight) or version > self.version + 1:
            settled = now - self.changed_at >= LEASE_MS * DRIFT
            # No copy has used a version in between for a whole lease, but all may use its growth.
            largest = self.total if settled else max(self.total, self.old_total)
            self.old_share = self.now(now)
            self.old_total = largest if version == self.version + 1 else math.inf
            self.changed_at = now
        self.version, self.total, self.weight = version, total, weight

    def now(self, now: float) -> float:
        """What may be used now, while the log is reached."""
        share = self.total * self.weight
        if now - self.changed_at >= LEASE_MS * DRIFT:
            return share
        return min(share, min(self.old_share, share) + self.weight * max(0.0, self.total - self.old_total))


def alone(total: float, listed: int) -> float:
    """What a copy may always use; ``listed``: number of copies in the settings, dead ones included."""
    return ALONE * total / listed
