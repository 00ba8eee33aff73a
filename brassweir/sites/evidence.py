"""Outcomes of this copy's calls over a sliding window, by endpoint and by site."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from brassweir.interface import EndpointInfo
from brassweir.sites.facts import Outcomes

WINDOW_MS = 2000.0  # about ten calls of a copy at common loads
FAILING = 0.5  # share of failed calls from which an endpoint counts as failed, a site as failing
MIN_CALLS = 3.0  # calls in the window needed for a statement


class Evidence:
    """Sums over the window, updated incrementally: the cost depends on the outcomes reported, not on the
    endpoints listed."""

    def __init__(self, endpoints: Iterable[EndpointInfo]) -> None:
        self.listed = {endpoint.name: endpoint for endpoint in endpoints}
        self.recent: deque[tuple[float, Outcomes]] = deque()
        self.by_endpoint = {name: [0.0, 0.0] for name in self.listed}
        self.by_site = {endpoint.zone: [0.0, 0.0] for endpoint in self.listed.values()}
        self.at_site: dict[str, list[str]] = {site: [] for site in self.by_site}
        for endpoint in self.listed.values():
            self.at_site[endpoint.zone].append(endpoint.name)
        # endpoints whose last calls failed; they get few calls, so this holds until some pass
        self.failed_endpoints: set[str] = set()
        self.last_pass = dict.fromkeys(self.by_site, -math.inf)

    def step(self, now: float, reported: Iterable[Outcomes]) -> None:
        """Add outcomes and drop those older than the window; outcomes of endpoints that are not listed are
        ignored."""
        while self.recent and self.recent[0][0] <= now - WINDOW_MS:
            self._add(self.recent.popleft()[1], -1.0)
        for outcomes in reported:
            if outcomes.endpoint not in self.listed:
                continue
            self.recent.append((now, outcomes))
            passes, failed = self._add(outcomes, 1.0)
            if outcomes.passes > 0.0:
                self.last_pass[self.listed[outcomes.endpoint].zone] = now
            if passes + failed >= MIN_CALLS / 3 and failed >= FAILING * (passes + failed):
                self.failed_endpoints.add(outcomes.endpoint)
            elif outcomes.passes > 0.0 and failed < FAILING * (passes + failed):
                self.failed_endpoints.discard(outcomes.endpoint)

    def _add(self, outcomes: Outcomes, sign: float) -> list[float]:
        # Time-outs count as failures.
        passes, failed = sign * outcomes.passes, sign * (outcomes.failures + outcomes.timeouts)
        both = self.by_endpoint[outcomes.endpoint], self.by_site[self.listed[outcomes.endpoint].zone]
        for sums in both:
            sums[0], sums[1] = max(0.0, sums[0] + passes), max(0.0, sums[1] + failed)
        return both[0]

    def site_of(self, endpoint: str) -> str:
        """The site of an endpoint; "" if it is not listed."""
        return self.listed[endpoint].zone if endpoint in self.listed else ""

    def counts(self, site: str) -> tuple[float, float]:
        """Calls that passed and that failed in the window."""
        passes, failed = self.by_site[site]
        return passes, failed

    def share(self, site: str) -> float | None:
        """Share of failed calls in the window; None if there were too few."""
        passes, failed = self.by_site[site]
        return failed / (passes + failed) if passes + failed >= MIN_CALLS else None

    def failing(self, site: str) -> bool:
        """Whether most calls fail, at endpoints with most of the listed rate of those called.

        So half a failed site does not count as a failing site.
        """
        share = self.share(site)
        if share is None or share < FAILING:
            return False
        called = [
            self.listed[name]
            for name in self.at_site[site]
            if name in self.failed_endpoints or sum(self.by_endpoint[name]) > 0.0
        ]
        failed_rate = sum(endpoint.rate for endpoint in called if endpoint.name in self.failed_endpoints)
        return failed_rate * 2 > sum(endpoint.rate for endpoint in called)

    def left(self, site: str) -> float:
        """The share of a site's listed rate at endpoints that have not failed."""
        failed_rate = sum(
            self.listed[name].rate for name in self.at_site[site] if name in self.failed_endpoints
        )
        return 1.0 - failed_rate / (sum(self.listed[name].rate for name in self.at_site[site]) or 1.0)

    def forget(self, site: str) -> None:
        """A site returns: all its endpoints are to be tried again."""
        self.failed_endpoints.difference_update(self.at_site[site])
