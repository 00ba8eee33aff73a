"""What is still to be passed on, each piece a bounded number of times. Pure."""

from __future__ import annotations

import math
from heapq import nsmallest

from brassweir.peers.claims import SUSPECTED, Claim
from brassweir.peers.tuning import Tuning


class News:
    """Claims by name and, for suspicions, by who suspects; each with how often it went out."""

    def __init__(self, tuning: Tuning) -> None:
        self.tuning = tuning
        self._claims: dict[tuple[str, str], Claim] = {}
        self._sent: dict[tuple[str, str], int] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def put(self, claim: Claim) -> None:
        """Pass it on, in place of what is older of the same copy."""
        for key in [one for one in self._claims if one[0] == claim.name]:
            held = self._claims[key]
            if claim.status != SUSPECTED or (held.life, held.inc, held.status) != (claim.life, claim.inc,
                                                                                  SUSPECTED):
                self._forget(key)
        key = (claim.name, claim.by if claim.status == SUSPECTED else "")
        self._claims[key], self._sent[key] = claim, 0

    def drop(self, name: str) -> None:
        """Forget a copy that is no longer listed."""
        for key in [one for one in self._claims if one[0] == name]:
            self._forget(key)

    def take(self, most: int, fleet: int) -> list[Claim]:
        """Up to ``most`` claims for one message, those that went out least first."""
        if not self._claims:
            return []
        limit = self.tuning.retransmit * max(1, math.ceil(math.log10(fleet + 1)))
        keys = nsmallest(most, self._sent, key=self._sent.__getitem__)
        claims = [self._claims[key] for key in keys]
        for key in keys:
            self._sent[key] += 1
            if self._sent[key] >= limit:
                self._forget(key)
        return claims

    def _forget(self, key: tuple[str, str]) -> None:
        del self._claims[key], self._sent[key]
