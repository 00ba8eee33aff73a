"""Decides whether this region may attempt a message now. Pure.

A region accepts an unsafe or keyed message only if the grant of its place is its own, was its own when the
message was created (another region may have delivered it before), and its clock can be trusted. Otherwise it
refuses before any effect, and says where and when to retry. Safe messages need no owner.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from brassweir.interface import Effect
from brassweir.regions.epochs import Epoch, EpochError, Grant, check_follows, place


@dataclass(frozen=True, slots=True)
class Assumptions:
    """What ownership relies on. Times in ms.

    ``clock_error_ms``: largest error of any region's clock. ``max_deadline_ms``: longest deadline of a
    message. ``answer_window_ms``: how long after creating a message a client may still ask for its answer.
    """

    clock_error_ms: float
    max_deadline_ms: float
    answer_window_ms: float


class Reason(Enum):
    """Why a message is refused here; the names are values of a metric's label."""

    ELSEWHERE = auto()  # another region owns it
    MOVING = auto()  # this region will own it, and no region does until then
    LAPSED = auto()  # this region owned it, and no renewal of its lease has arrived
    BORN_ELSEWHERE = auto()  # this region owns it now, another one did when it was created
    CLOCK = auto()  # this region's clock cannot be trusted
    UNKNOWN = auto()  # no epoch is known yet


@dataclass(frozen=True, slots=True)
class OwnershipRefusal:
    """A refusal before any effect. ``region``: where to send the message instead, "" if unknown;
    ``retry_after_ms``: when to retry."""

    reason: Reason
    region: str = ""
    retry_after_ms: float = 0.0


RETRY_MS = 2000.0  # where nothing better is known; leases are renewed more often


class Ownership:
    """One copy's knowledge of who owns what. It starts with the epoch known before a restart, and never
    goes back to an older one."""

    def __init__(self, region: str, assumed: Assumptions, known: Epoch | None = None) -> None:
        self.region, self.assumed, self.epoch = region, assumed, known
        self.clock_offset: float | None = None  # wall clock less monotonic clock at first sight (ms)
        self.clock_stepped = False

    def accept(self, epoch: Epoch) -> bool:
        """Accept a published epoch; returns False if it is already known. Raises EpochError without any
        change."""
        if self.epoch is not None:
            if epoch == self.epoch:
                return False
            check_follows(epoch, self.epoch)
        self.epoch = epoch
        return True

    def check_clocks(self, wall: float, monotonic: float) -> None:
        """Compare the clocks (ms): a wall clock that steps by more than the assumed error is not trusted
        again.

        Only a restart, after an operator has looked at the clock, clears that.
        """
        if self.clock_offset is None:
            self.clock_offset = wall - monotonic
        elif abs(wall - monotonic - self.clock_offset) > self.assumed.clock_error_ms:
            self.clock_stepped = True

    def clock_trusted(self, wall: float) -> bool:
        """Whether the wall clock can be trusted: it never stepped, and the known epoch was not issued in its
        future.

        The allowance is twice the assumed error, for the publisher's clock and this one.
        """
        ahead = self.epoch is not None and self.epoch.issued > wall + 2.0 * self.assumed.clock_error_ms
        return not self.clock_stepped and not ahead

    def refusal(
        self, effect: Effect, owner: str, identity: str, wall: float, born: float | None = None
    ) -> OwnershipRefusal | None:
        """None if a message may be accepted here now; else why not. ``born``: when its client created it (ms,
        wall clock).

        An accepted message may be attempted until its deadline, since the next owner begins only after that.
        """
        if effect is Effect.SAFE:
            return None
        if self.epoch is None:
            return OwnershipRefusal(Reason.UNKNOWN, "", RETRY_MS)
        if not self.clock_trusted(wall):
            return OwnershipRefusal(Reason.CLOCK, "", RETRY_MS)
        message_place, error = place(owner, identity), self.assumed.clock_error_ms
        grant = next(grant for grant in self.epoch.grants if grant.low <= message_place < grant.high)
        if grant.region != self.region:
            return OwnershipRefusal(Reason.ELSEWHERE, grant.region, max(0.0, grant.begins - wall))
        if wall < grant.begins + error:
            return OwnershipRefusal(Reason.MOVING, self.region, grant.begins + error - wall)
        if wall >= grant.ends - error:
            return OwnershipRefusal(Reason.LAPSED, "", RETRY_MS)
        earlier = self._previous_grant(message_place, grant)
        if earlier is None:
            return None
        # The earlier owner may have delivered it, unless it was certainly created after that grant ended.
        if born is not None and earlier.ends + 2.0 * error <= born <= wall + 2.0 * error:
            return None
        if wall >= earlier.ends + self.assumed.max_deadline_ms + self.assumed.answer_window_ms + 2.0 * error:
            return None  # clients of the earlier owner have stopped retrying
        return OwnershipRefusal(Reason.BORN_ELSEWHERE, earlier.region, RETRY_MS)

    def _previous_grant(self, message_place: int, grant: Grant) -> Grant | None:
        """The latest earlier grant of a place to another region, if any."""
        assert self.epoch is not None
        others = [
            past
            for past in self.epoch.past
            if past.low <= message_place < past.high
            and past.ends <= grant.begins
            and past.region != self.region
        ]
        return max(others, key=lambda past: past.ends, default=None)

    def url(self, region: str) -> str:
        """The URL of a region; "" if it is unknown."""
        addresses = self.epoch.regions if self.epoch is not None else ()
        return next((address.url for address in addresses if address.region == region), "")


__all__ = ["Assumptions", "EpochError", "OwnershipRefusal", "Ownership", "Reason"]
