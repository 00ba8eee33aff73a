"""Own endings at endpoints over a sliding window, by endpoint and by site."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from brassweir.interface import EndpointInfo
from brassweir.sites.facts import Outcomes

WINDOW = 2000.0  # ms of endings that count: some ten calls of a copy at common loads
OUT = 0.5  # share of calls that end badly from which an endpoint counts as out, a site as failing
LEAST = 3.0  # calls in the window from which they say anything


class Evidence:
    """Sums over the window, kept as they change: cost goes by endings told, not by endpoints listed."""

    def __init__(self, endpoints: Iterable[EndpointInfo]) -> None:
        self.listed = {one.name: one for one in endpoints}
        self.told: deque[tuple[float, Outcomes]] = deque()
        self.by_endpoint = {name: [0.0, 0.0] for name in self.listed}
        self.by_site = {one.zone: [0.0, 0.0] for one in self.listed.values()}
        self.at_site: dict[str, list[str]] = {site: [] for site in self.by_site}
        for one in self.listed.values():
            self.at_site[one.zone].append(one.name)
        # endpoints whose last calls failed; few go there, so it stays till some pass
        self.failed_endpoints: set[str] = set()
        self.last_pass = dict.fromkeys(self.by_site, -math.inf)

    def step(self, now: float, endings: Iterable[Outcomes]) -> None:
        """Take in what ended; endings of endpoints that are not listed are passed over."""
        while self.told and self.told[0][0] <= now - WINDOW:
            self._add(self.told.popleft()[1], -1.0)
        for one in endings:
            if one.endpoint not in self.listed:
                continue
            self.told.append((now, one))
            passes, bad = self._add(one, 1.0)
            if one.passes > 0.0:
                self.last_pass[self.listed[one.endpoint].zone] = now
            if passes + bad >= LEAST / 3 and bad >= OUT * (passes + bad):
                self.failed_endpoints.add(one.endpoint)
            elif one.passes > 0.0 and bad < OUT * (passes + bad):
                self.failed_endpoints.discard(one.endpoint)

    def _add(self, one: Outcomes, sign: float) -> list[float]:
        # A lost answer is no answer: time-outs count as failures do.
        passes, bad = sign * one.passes, sign * (one.failures + one.timeouts)
        both = self.by_endpoint[one.endpoint], self.by_site[self.listed[one.endpoint].zone]
        for sums in both:
            sums[0], sums[1] = max(0.0, sums[0] + passes), max(0.0, sums[1] + bad)
        return both[0]

    def site_of(self, endpoint: str) -> str:
        """Where an endpoint stands; empty for one that is not listed."""
        return self.listed[endpoint].zone if endpoint in self.listed else ""

    def counts(self, site: str) -> tuple[float, float]:
        """Passes and bad endings of the window."""
        passes, bad = self.by_site[site]
        return passes, bad

    def share(self, site: str) -> float | None:
        """Share of bad endings; None where too few calls say anything."""
        passes, bad = self.by_site[site]
        return bad / (passes + bad) if passes + bad >= LEAST else None

    def failing(self, site: str) -> bool:
        """Do most calls fail, and at most endpoints by rate of those called? Half a site is not the site."""
        share = self.share(site)
        if share is None or share < OUT:
            return False
        seen = [
            self.listed[name]
            for name in self.at_site[site]
            if name in self.failed_endpoints or sum(self.by_endpoint[name]) > 0.0
        ]
        dead = sum(one.rate for one in seen if one.name in self.failed_endpoints)
        return dead * 2 > sum(one.rate for one in seen)

    def left(self, site: str) -> float:
        """The share of a site's listed rate that stands at endpoints not known to be dead."""
        dead = sum(self.listed[name].rate for name in self.at_site[site] if name in self.failed_endpoints)
        return 1.0 - dead / (sum(self.listed[name].rate for name in self.at_site[site]) or 1.0)

    def forget(self, site: str) -> None:
        """A site returns: all its endpoints are to be tried anew."""
        self.failed_endpoints.difference_update(self.at_site[site])
