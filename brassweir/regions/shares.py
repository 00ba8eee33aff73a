"""The share of a partner's limit that this region may use without asking the other regions. Pure.

A limit holds over all regions together. Each region computes its own share from the epoch it knows. The
shares add up to at most 1, whatever each region has received:

- ``OWNED`` of the limit goes by the places that a region may accept messages of now. Grants never overlap in
  time, clock errors included, so these parts add up to at most ``OWNED``.
- The other part is split evenly between the regions that the epoch names, for safe messages, which need no
  owner.

A region whose share rises, as when it returns after its lease had lapsed, ramps up to it, so that partners do
not meet a burst (rule 4).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brassweir.regions.epochs import PLACES, Epoch
from brassweir.regions.ownership import Assumptions

OWNED = 0.8  # part of a limit that goes by ownership: most load under a limit is keyed or unsafe
RAMP_START = 0.25  # of its share that a region uses at once when the share rises
RAMP_MS = 10_000.0  # until it uses the whole share
MIN_RISE = 0.02  # a smaller rise of the share is not reported


def owned(epoch: Epoch | None, region: str, wall: float, assumed: Assumptions) -> float:
    """The part of all places that a region may accept messages of now, by its own clock (``wall``, ms)."""
    if epoch is None:
        return 0.0
    error = assumed.clock_error_ms
    places = sum(
        grant.high - grant.low
        for grant in epoch.grants
        if grant.region == region and grant.begins + error <= wall < grant.ends - error
    )
    return places / PLACES


def part(epoch: Epoch | None, region: str, wall: float, assumed: Assumptions) -> float:
    """A region's share of every limit now, before any ramp; 0 if no epoch names the region.

    The even parts add up to at most the whole only while all regions know epochs that name equally many
    regions. An operator must not reduce their number while an older epoch may be in use.
    """
    if epoch is None or region not in {address.region for address in epoch.regions}:
        return 0.0
    return OWNED * owned(epoch, region, wall, assumed) + (1.0 - OWNED) / len(epoch.regions)


@dataclass(slots=True)
class LimitShare:
    """One region's share over time: it ramps up, falls at once, and reports only changes that matter."""

    region: str
    assumed: Assumptions
    reported: float = 0.0
    up_since: float | None = None  # monotonic time of the last rise (ms)
    base: float = 0.0  # the share in use at that time
    parts: list[tuple[float, float]] = field(default_factory=list)  # at most one: (monotonic, share)

    def now(self, epoch: Epoch | None, wall: float, monotonic: float, trusted: bool = True) -> float:
        """The share that may be used now. ``monotonic`` (ms) times the ramp, since the wall clock may
        step; ``trusted``: whether the wall clock can be relied on."""
        full = part(epoch, self.region, wall, self.assumed) if trusted else 0.0
        before = self.parts[-1][1] if self.parts else 0.0
        if full > before:
            # Start from the share in use, but from no less than RAMP_START of the new one.
            self.base, self.up_since = max(self._used(monotonic), RAMP_START * full), monotonic
        elif full < before:
            self.base = min(self.base, full)
        if full != before:
            self.parts = [(monotonic, full)]
        return min(full, self._used(monotonic))

    def changed(self, epoch: Epoch | None, wall: float, monotonic: float, trusted: bool = True) -> bool:
        """Whether to report the share again: a fall at once, a rise in steps of ``MIN_RISE``."""
        used = self.now(epoch, wall, monotonic, trusted)
        if (
            used < self.reported
            or used - self.reported >= MIN_RISE
            or (used > self.reported and used == self._full())
        ):
            self.reported = used
            return True
        return False

    def _full(self) -> float:
        return self.parts[-1][1] if self.parts else 0.0

    def _used(self, monotonic: float) -> float:
        """The share in use, by the position of the ramp."""
        full = self._full()
        if self.up_since is None:
            return full
        progress = min(1.0, max(0.0, monotonic - self.up_since) / RAMP_MS)
        return self.base + (full - self.base) * progress if full > self.base else full
