"""What is said of a copy, and which of two sayings counts. Pure.

A claim is ordered by generation, then incarnation, then status: SWIM's order with the process's generation
before it, so that a restarted copy supersedes its older self at once. Only the copy itself raises its
incarnation.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from brassweir.peers.envelope import Number

ALIVE, SUSPECTED, DEAD = 0, 1, 2
STATUS_NAMES = ("alive", "suspected", "dead")


class Claim(msgspec.Struct, array_like=True, frozen=True):
    """``by`` is who suspects or found dead; a copy that leaves says itself that it is dead."""

    name: str
    generation: Number
    incarnation: Number
    status: Number
    by: str = ""


class ClaimEffect(Enum):
    """What a claim does to what is held."""

    STALE = "stale"  # nothing
    TAKE = "take"  # it replaces what is held
    CONFIRM = "confirm"  # one more who suspects
    DOUBT = "doubt"  # found dead by another: suspected here, at the least time-out


class MemberState:
    """What is held of one copy; ``generation`` 0: never heard of, taken for alive because it is listed."""

    __slots__ = ("incarnation", "generation", "status", "told")

    def __init__(self) -> None:
        self.generation = self.incarnation = 0
        self.status = ALIVE
        self.told = 0.0  # when it was last told what is said of it (ms)

    def claim(self, name: str, by: str = "") -> Claim:
        """It as a claim."""
        return Claim(name, self.generation, self.incarnation, self.status, by)


def claim_effect(held: MemberState, claim: Claim, joins: bool = False) -> ClaimEffect:
    """Which counts. A death found by others is looked into; one that ``joins`` and knows nothing takes it."""
    mine, theirs = (held.generation, held.incarnation), (claim.generation, claim.incarnation)
    if theirs < mine or claim.status > DEAD:
        return ClaimEffect.STALE
    newer = theirs > mine
    if claim.status == ALIVE:
        return ClaimEffect.TAKE if newer else ClaimEffect.STALE
    if claim.status == SUSPECTED:
        if newer or held.status == ALIVE:
            return ClaimEffect.TAKE
        return ClaimEffect.CONFIRM if held.status == SUSPECTED else ClaimEffect.STALE
    if claim.by == claim.name or held.status == DEAD:
        return ClaimEffect.TAKE if newer or held.status != DEAD else ClaimEffect.STALE
    return ClaimEffect.TAKE if joins and held.generation == 0 and held.status == ALIVE else ClaimEffect.DOUBT
