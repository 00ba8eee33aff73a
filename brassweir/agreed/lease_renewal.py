"""When the leader's copy renews the grants, and when it must not. Pure: ``(now, facts)`` in, one step out.

A renewal names the same owners for another lease. It cannot make grants overlap: no end is ever taken back,
and a move waits for the ends that the log holds when it comes in. What a wrong clock could do is harm what
rests on ``issued`` and on forgetting earlier owners, so a copy that does not trust its clock renews nothing
and gives the lead away.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from brassweir.regions import planning
from brassweir.regions.epochs import Epoch
from brassweir.regions.ownership import Assumptions
from brassweir.regions.sources import Source, publisher

RENEWAL_FRACTION = 0.1  # of a lease between two renewals: a cut of nine tenths of one harms nobody
RETRY_MS = 500.0  # ms until another try where one failed, or while another proposal is out
TRANSFER_RETRY_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class RenewalInputs:
    """What is known when it is decided. ``wall`` and ``lease`` in ms."""

    leading: bool  # this copy is the leader, by its own last word: the log checks it
    wall: float
    trusted: bool  # the own clock: no step seen, and nothing known that was issued in its future
    epoch: Epoch | None  # of the agreed machine, as applied here
    granted: int  # its version
    lease: float
    assumed: Assumptions
    pending: bool = False  # another epoch is being proposed here
    lost: frozenset[str] = frozenset()  # regions of which every site is agreed to be lost


@dataclass(frozen=True, slots=True)
class ProposeRenewal:
    """Propose this epoch, made from this version."""

    epoch: Epoch
    after: int


@dataclass(frozen=True, slots=True)
class GiveUpLeadership:
    """Let another copy lead, for this reason."""

    why: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing now; decide again after so many ms at the latest."""

    wait_ms: float


Decision = ProposeRenewal | GiveUpLeadership | Wait


class LeaseRenewal:
    """One copy's decisions. ``now`` is monotonic (ms)."""

    def __init__(self) -> None:
        self.not_before = float("-inf")
        self.gave_at = float("-inf")

    def step(self, now: float, facts: RenewalInputs) -> Decision:
        """What to do now."""
        epoch = facts.epoch
        if not facts.leading or epoch is None or publisher(epoch) is not Source.AGREED:
            return Wait(RETRY_MS)
        if not facts.trusted:
            if now < self.gave_at + TRANSFER_RETRY_MS:
                return Wait(RETRY_MS)
            self.gave_at = now
            return GiveUpLeadership("this copy does not trust its clock")
        if facts.pending:
            return Wait(RETRY_MS)
        early = max(epoch.issued + RENEWAL_FRACTION * facts.lease - facts.wall, self.not_before - now)
        if early > 0.0:
            return Wait(min(early, RENEWAL_FRACTION * facts.lease))
        self.not_before = now + RETRY_MS
        made = planning.renewed(epoch, facts.wall, facts.lease, facts.assumed)
        return ProposeRenewal(_but(made, epoch, facts.lost), facts.granted)


def _but(made: Epoch, before: Epoch, lost: frozenset[str]) -> Epoch:
    """Leases of regions that are lost run out: a plain planned move can then give their places away."""
    if not lost:
        return made
    ends = {(one.region, one.low): one.ends for one in before.grants}
    return msgspec.structs.replace(
        made,
        grants=tuple(
            msgspec.structs.replace(one, ends=ends[one.region, one.low]) if one.region in lost else one
            for one in made.grants
        ),
    )
