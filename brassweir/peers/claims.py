"""Claims about a copy's status, and the rule that decides between two of them. Pure.

Claims are ordered by generation, then incarnation, then status. That is SWIM's order with the generation of
the process put before it, so that a restarted copy supersedes its older self at once. Only the copy itself
raises its incarnation.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from brassweir.peers.envelope import Number

ALIVE, SUSPECTED, DEAD = 0, 1, 2
STATUS_NAMES = ("alive", "suspected", "dead")


class Claim(msgspec.Struct, array_like=True, frozen=True):
    """One copy's status as ``reporter`` states it; a copy that leaves reports its own death."""

    name: str
    generation: Number
    incarnation: Number
    status: Number
    reporter: str = ""


class ClaimEffect(Enum):
    """What a claim changes in what is known of a copy."""

    STALE = "stale"  # nothing
    REPLACE = "take"  # it replaces what is known
    CONFIRM = "confirm"  # it adds a reporter to a suspicion
    VERIFY = "doubt"  # another copy reports a death: suspect here, with the shortest time-out


class MemberState:
    """What is known of one copy; ``generation`` 0: listed but never heard of, and taken for alive."""

    __slots__ = ("incarnation", "generation", "status", "notified")

    def __init__(self) -> None:
        self.generation = self.incarnation = 0
        self.status = ALIVE
        self.notified = 0.0  # when the copy was last sent the claim about itself (ms)

    def claim(self, name: str, reporter: str = "") -> Claim:
        """This state as a claim about the copy ``name``."""
        return Claim(name, self.generation, self.incarnation, self.status, reporter)


def claim_effect(member: MemberState, claim: Claim, joining: bool = False) -> ClaimEffect:
    """Compare a claim with what is known of its copy.

    A death that others report is verified here first. Only a copy that is ``joining`` and knows nothing of
    the dead one takes the report as it is.
    """
    known, claimed = (member.generation, member.incarnation), (claim.generation, claim.incarnation)
    if claimed < known or claim.status > DEAD:
        return ClaimEffect.STALE
    newer = claimed > known
    if claim.status == ALIVE:
        return ClaimEffect.REPLACE if newer else ClaimEffect.STALE
    if claim.status == SUSPECTED:
        if newer or member.status == ALIVE:
            return ClaimEffect.REPLACE
        return ClaimEffect.CONFIRM if member.status == SUSPECTED else ClaimEffect.STALE
    if claim.reporter == claim.name or member.status == DEAD:
        return ClaimEffect.REPLACE if newer or member.status != DEAD else ClaimEffect.STALE
    return (
        ClaimEffect.REPLACE
        if joining and member.generation == 0 and member.status == ALIVE
        else ClaimEffect.VERIFY
    )
