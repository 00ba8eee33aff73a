"""What part of a partner's limit this region may use, without asking the other. Pure.

A limit holds over all regions together. Each region knows the same epochs, so each can work out its own
part, and the parts add up to no more than the whole, whatever a region has or has not heard:

- the owned part, ``OWNED`` of the limit, goes by the places that a region may take messages of now; grants
  never overlap in time, clock errors included, so these parts cannot add up to more;
- the rest is split evenly between the regions named in the epoch, for safe messages, which need no owner.

A region that comes back after it owned nothing, or after its lease had lapsed, does not use its whole part
at once: its partners have been filled by nobody, or by others, and are not to be met by a burst (rule 4). It
ramps.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brassweir.regions.epochs import PLACES, Epoch
from brassweir.regions.ownership import Assumptions

OWNED = 0.8  # of a limit goes by ownership: most load is keyed or unsafe where a limit matters
START = 0.25  # of its part that a region uses when it comes back; partners come back cold about so
RAMP = 10_000.0  # ms until it uses all of it
# A change of less is not worth telling all senders' decisions of every listed rate anew.
STEP = 0.02


def owned(epoch: Epoch | None, region: str, wall: float, assumed: Assumptions) -> float:
    """The part of all places that a region may take messages of now, by its own clock."""
    if epoch is None:
        return 0.0
    error = assumed.clock_error_ms
    held = sum(
        one.high - one.low
        for one in epoch.grants
        if one.region == region and one.begins + error <= wall < one.ends - error
    )
    return held / PLACES


def part(epoch: Epoch | None, region: str, wall: float, assumed: Assumptions) -> float:
    """The part of every limit that is a region's now, before any ramp. Nothing is known: an even part of
    nothing.

    Regions of different epochs may name different numbers of regions: the even part counts on the most that
    any epoch names, which the operator keeps from shrinking while an older epoch may still be in use.
    """
    if epoch is None or region not in {one.region for one in epoch.regions}:
        return 0.0
    return OWNED * owned(epoch, region, wall, assumed) + (1.0 - OWNED) / len(epoch.regions)


@dataclass(slots=True)
class LimitShare:
    """One sender's part over time: ramps up, follows down at once, and tells only of changes that matter."""

    region: str
    assumed: Assumptions
    reported: float = 0.0
    up_since: float | None = None  # when the part last rose from what was used before
    base: float = 0.0  # what was used then
    parts: list[tuple[float, float]] = field(default_factory=list)  # (when, part): the last one seen

    def now(self, epoch: Epoch | None, wall: float, monotonic: float, trusted: bool = True) -> float:
        """The part that may be used now. ``monotonic`` (ms) times the ramp: the wall clock may step."""
        whole = part(epoch, self.region, wall, self.assumed) if trusted else 0.0
        before = self.parts[-1][1] if self.parts else 0.0
        if whole > before:
            # It begins from what was in use, and never from less than a cold partner can bear of the new
            # part.
            self.base, self.up_since = max(self._used(monotonic), START * whole), monotonic
        elif whole < before:
            self.base = min(self.base, whole)
        if whole != before:
            self.parts = [(monotonic, whole)]
        return min(whole, self._used(monotonic))

    def changed(self, epoch: Epoch | None, wall: float, monotonic: float, trusted: bool = True) -> bool:
        """Is the part to be told anew? A fall is told at once, a rise by steps."""
        used = self.now(epoch, wall, monotonic, trusted)
        if (
            used < self.reported
            or used - self.reported >= STEP
            or (used > self.reported and used == self._whole())
        ):
            self.reported = used
            return True
        return False

    def _whole(self) -> float:
        return self.parts[-1][1] if self.parts else 0.0

    def _used(self, monotonic: float) -> float:
        """Where the ramp stands."""
        whole = self._whole()
        if self.up_since is None:
            return whole
        into = min(1.0, max(0.0, monotonic - self.up_since) / RAMP)
        return self.base + (whole - self.base) * into if whole > self.base else whole
