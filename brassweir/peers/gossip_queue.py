"""What is still to be passed on, each piece a bounded number of times. Pure."""

from __future__ import annotations

import math
from heapq import nsmallest

from brassweir.peers.claims import SUSPECTED, Claim
from brassweir.peers.tuning import Tuning


class GossipQueue:
    """Claims by name and, for suspicions, by who suspects; each with how often it went out."""

    def __init__(self, tuning: Tuning) -> None:
        self.tuning = tuning
        self._claims: dict[str, dict[str, Claim]] = {}
        self._sent: dict[tuple[str, str], int] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def put(self, claim: Claim) -> None:
        """Pass it on, in place of what is older of the same copy."""
        for by, held in list(self._claims.get(claim.name, {}).items()):
            same = (held.generation, held.incarnation, held.status) == (
                claim.generation,
                claim.incarnation,
                SUSPECTED,
            )
            if claim.status != SUSPECTED or not same:
                self._forget((claim.name, by))
        by = claim.by if claim.status == SUSPECTED else ""
        self._claims.setdefault(claim.name, {})[by] = claim
        self._sent[claim.name, by] = 0

    def drop(self, name: str) -> None:
        """Forget a copy that is no longer listed."""
        for by in list(self._claims.get(name, ())):
            self._forget((name, by))

    def take(self, most: int, fleet: int) -> list[Claim]:
        """Up to ``most`` claims for one message, those that went out least first."""
        if not self._sent:
            return []
        limit = self.tuning.retransmit * max(1, math.ceil(math.log10(fleet + 1)))
        keys = nsmallest(most, self._sent, key=self._sent.__getitem__)
        claims = [self._claims[name][by] for name, by in keys]
        for key in keys:
            self._sent[key] += 1
            if self._sent[key] >= limit:
                self._forget(key)
        return claims

    def _forget(self, key: tuple[str, str]) -> None:
        name, by = key
        del self._sent[key]
        del self._claims[name][by]
        if not self._claims[name]:
            del self._claims[name]
