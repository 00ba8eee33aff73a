"""Claims that are still to be disseminated, each a bounded number of times. Pure."""

from __future__ import annotations

import math
from heapq import nsmallest

from brassweir.peers.claims import SUSPECTED, Claim
from brassweir.peers.tuning import Tuning


class GossipQueue:
    """Claims by name and, for suspicions, by reporter; each with how often it was sent."""

    def __init__(self, tuning: Tuning) -> None:
        self.tuning = tuning
        self._claims: dict[str, dict[str, Claim]] = {}
        self._sent: dict[tuple[str, str], int] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def add(self, claim: Claim) -> None:
        """Queue a claim in place of older ones about the same copy; suspicions of one incarnation add up."""
        for reporter, queued in list(self._claims.get(claim.name, {}).items()):
            same = (queued.generation, queued.incarnation, queued.status) == (
                claim.generation,
                claim.incarnation,
                SUSPECTED,
            )
            if claim.status != SUSPECTED or not same:
                self._remove((claim.name, reporter))
        reporter = claim.reporter if claim.status == SUSPECTED else ""
        self._claims.setdefault(claim.name, {})[reporter] = claim
        self._sent[claim.name, reporter] = 0

    def discard(self, name: str) -> None:
        """Remove all claims about a copy."""
        for reporter in list(self._claims.get(name, ())):
            self._remove((name, reporter))

    def take(self, max_claims: int, fleet_size: int) -> list[Claim]:
        """Claims for one message, those sent least often first; each is dropped once sent often enough."""
        if not self._sent:
            return []
        limit = self.tuning.retransmit_factor * max(1, math.ceil(math.log10(fleet_size + 1)))
        keys = nsmallest(max_claims, self._sent, key=self._sent.__getitem__)
        claims = [self._claims[name][reporter] for name, reporter in keys]
        for key in keys:
            self._sent[key] += 1
            if self._sent[key] >= limit:
                self._remove(key)
        return claims

    def _remove(self, key: tuple[str, str]) -> None:
        name, reporter = key
        del self._sent[key]
        del self._claims[name][reporter]
        if not self._claims[name]:
            del self._claims[name]
