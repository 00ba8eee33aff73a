"""May this region make an attempt at this message, now? The decision, from facts alone. Pure.

Three things are needed to say yes: the place's grant is ours, it was ours when the message was born (another
region may have carried it out before), and our clock can be trusted. A region that cannot show all three
refuses, before any effect, and says where and when to come back. Safe messages need no owner.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from brassweir.interface import Effect
from brassweir.regions.epochs import Epoch, EpochError, Grant, check_follows, place


@dataclass(frozen=True, slots=True)
class Assumptions:
    """What is assumed and checked. Times in ms.

    ``clock_error``: no region's clock is further than this from the true time. ``longest``: the longest
    deadline of a message. ``asks_on``: for how long after its birth a client may still ask for a message's
    answer.
    """

    clock_error_ms: float
    max_deadline_ms: float
    answer_window_ms: float


class Reason(Enum):
    """Why a message is not taken here."""

    ELSEWHERE = auto()  # another region owns it
    MOVING = auto()  # it will be ours, and is nobody's until then
    LAPSED = auto()  # it was ours, and nothing newer has come from head office
    BORN_ELSEWHERE = auto()  # it is ours now, and was another's when it was born
    CLOCK = auto()  # our clock cannot be trusted
    UNKNOWN = auto()  # nothing has come from head office yet


@dataclass(frozen=True, slots=True)
class OwnershipRefusal:
    """Refuse, before any effect. ``region`` is where to go, empty if that cannot be said; ``after`` (ms)
    when."""

    reason: Reason
    region: str = ""
    retry_after_ms: float = 0.0


AGAIN = 2000.0  # ms: when to come back where nothing better is known; head office renews more often than that


class Ownership:
    """One sender's view. It starts with what it knew before a restart, and never goes back."""

    def __init__(self, region: str, assumed: Assumptions, known: Epoch | None = None) -> None:
        self.region, self.assumed, self.epoch = region, assumed, known
        self.clock_offset: float | None = None  # wall less monotonic time, as first seen
        self.clock_stepped = False

    def accept(self, epoch: Epoch) -> bool:
        """Take what head office published; false if it is what is known. Raises EpochError, and changes
        nothing."""
        if self.epoch is not None:
            if epoch == self.epoch:
                return False
            check_follows(epoch, self.epoch)
        self.epoch = epoch
        return True

    def check_clocks(self, wall: float, monotonic: float) -> None:
        """Compare the clocks: a wall clock that steps by more than the assumed error is not trusted again.

        Only a restart, after which the operator has looked, clears that.
        """
        if self.clock_offset is None:
            self.clock_offset = wall - monotonic
        elif abs(wall - monotonic - self.clock_offset) > self.assumed.clock_error_ms:
            self.clock_stepped = True

    def clock_trusted(self, wall: float) -> bool:
        """Can the clock be believed? What was issued cannot lie in the future by more than both clocks'
        errors."""
        ahead = self.epoch is not None and self.epoch.issued > wall + 2.0 * self.assumed.clock_error_ms
        return not self.clock_stepped and not ahead

    def refusal(
        self, effect: Effect, owner: str, identity: str, wall: float, born: float | None = None
    ) -> OwnershipRefusal | None:
        """None if a message may be taken here now; else why not. ``born`` is when its client made it (ms,
        wall).

        What is taken may be attempted until its deadline: the next owner begins only after that.
        """
        if effect is Effect.SAFE:
            return None
        if self.epoch is None:
            return OwnershipRefusal(Reason.UNKNOWN, "", AGAIN)
        if not self.clock_trusted(wall):
            return OwnershipRefusal(Reason.CLOCK, "", AGAIN)
        spot, error = place(owner, identity), self.assumed.clock_error_ms
        grant = next(one for one in self.epoch.grants if one.low <= spot < one.high)
        if grant.region != self.region:
            return OwnershipRefusal(Reason.ELSEWHERE, grant.region, max(0.0, grant.begins - wall))
        if wall < grant.begins + error:
            return OwnershipRefusal(Reason.MOVING, self.region, grant.begins + error - wall)
        if wall >= grant.ends - error:
            return OwnershipRefusal(Reason.LAPSED, "", AGAIN)
        earlier = self._previous_grant(spot, grant)
        if earlier is None:
            return None
        # Another region may have carried it out, unless it was surely born after that one had ended.
        if born is not None and earlier.ends + 2.0 * error <= born <= wall + 2.0 * error:
            return None
        if wall >= earlier.ends + self.assumed.max_deadline_ms + self.assumed.answer_window_ms + 2.0 * error:
            return None  # whoever asked that one has stopped asking
        return OwnershipRefusal(Reason.BORN_ELSEWHERE, earlier.region, AGAIN)

    def _previous_grant(self, spot: int, grant: Grant) -> Grant | None:
        """Who owned a place last before us, if another did."""
        assert self.epoch is not None
        others = [
            one
            for one in self.epoch.past
            if one.low <= spot < one.high and one.ends <= grant.begins and one.region != self.region
        ]
        return max(others, key=lambda one: one.ends, default=None)

    def url(self, region: str) -> str:
        """Where clients find a region."""
        known = self.epoch.regions if self.epoch is not None else ()
        return next((one.url for one in known if one.region == region), "")


__all__ = ["Assumptions", "EpochError", "OwnershipRefusal", "Ownership", "Reason"]
