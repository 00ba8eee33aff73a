"""Decides when the leader's copy renews the leases of grants. Pure: ``(now, inputs)`` in, one decision out.

A renewal names the same owners for another lease. It cannot make grants overlap: no end is ever moved back,
and a move waits for the ends that the log holds when it is applied. A wrong clock could only harm what
depends on ``issued`` and on forgetting earlier owners, so a copy that does not trust its clock renews nothing
and gives up leadership.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from brassweir.regions import planning
from brassweir.regions.epochs import Epoch
from brassweir.regions.ownership import Assumptions
from brassweir.regions.sources import Source, publisher

RENEWAL_FRACTION = 0.1  # of a lease between renewals: an outage of nine tenths of a lease does no harm
RETRY_MS = 500.0  # after a failure, or while another proposal is pending
TRANSFER_RETRY_MS = 10_000.0  # an election costs the group a second or two


@dataclass(frozen=True, slots=True)
class RenewalInputs:
    """Inputs of a decision. ``wall`` and ``lease`` in ms."""

    leading: bool  # this copy believes that it leads; the log verifies that
    wall: float
    trusted: bool  # this copy's clock: no step was seen, and nothing known was issued in its future
    epoch: Epoch | None  # the agreed one, as applied here
    granted: int  # version of the epoch
    lease: float
    assumed: Assumptions
    pending: bool = False  # another epoch is being proposed here
    lost: frozenset[str] = frozenset()  # regions whose sites are all agreed to be lost


@dataclass(frozen=True, slots=True)
class ProposeRenewal:
    """Propose this epoch, made from the version ``after``."""

    epoch: Epoch
    after: int


@dataclass(frozen=True, slots=True)
class GiveUpLeadership:
    """Transfer leadership to another copy, for this reason."""

    why: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing to do now; decide again after ``wait_ms`` at the latest."""

    wait_ms: float


Decision = ProposeRenewal | GiveUpLeadership | Wait


class LeaseRenewal:
    """Decisions of one copy. ``now`` is monotonic (ms)."""

    def __init__(self) -> None:
        self.next_renewal_at = float("-inf")
        self.gave_up_at = float("-inf")

    def step(self, now: float, inputs: RenewalInputs) -> Decision:
        """Decide what to do now."""
        epoch = inputs.epoch
        if not inputs.leading or epoch is None or publisher(epoch) is not Source.AGREED:
            return Wait(RETRY_MS)
        if not inputs.trusted:
            if now < self.gave_up_at + TRANSFER_RETRY_MS:
                return Wait(RETRY_MS)
            self.gave_up_at = now
            return GiveUpLeadership("this copy does not trust its clock")
        if inputs.pending:
            return Wait(RETRY_MS)
        early = max(epoch.issued + RENEWAL_FRACTION * inputs.lease - inputs.wall, self.next_renewal_at - now)
        if early > 0.0:
            return Wait(min(early, RENEWAL_FRACTION * inputs.lease))
        self.next_renewal_at = now + RETRY_MS
        renewed = planning.renewed(epoch, inputs.wall, inputs.lease, inputs.assumed)
        return ProposeRenewal(_let_lost_expire(renewed, epoch, inputs.lost), inputs.granted)


def _let_lost_expire(renewed: Epoch, before: Epoch, lost: frozenset[str]) -> Epoch:
    """Let the leases of lost regions run out, so that a planned move can give their places away."""
    if not lost:
        return renewed
    ends = {(grant.region, grant.low): grant.ends for grant in before.grants}
    return msgspec.structs.replace(
        renewed,
        grants=tuple(
            msgspec.structs.replace(grant, ends=ends[grant.region, grant.low])
            if grant.region in lost
            else grant
            for grant in renewed.grants
        ),
    )
