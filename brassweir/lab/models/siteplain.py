"""A copy without a plan, beside the view: everyone spills evenly at once, and returns in full at once."""

from __future__ import annotations

import math
from random import Random

from brassweir.sites.facts import Facts, Setup, State
from brassweir.sites.steps import Step
from brassweir.sites.verdict import SiteVerdicts

SEEN = 1000.0  # ms of failing until a site is left
TRY = 2000.0  # ms until it is tried again, with all that belongs there


class Plain:
    """Leaves a site where most calls fail, sends its load evenly to all others, and comes back in full."""

    def __init__(self, setup: Setup, rng: Random) -> None:
        self.setup, self.verdicts = setup, SiteVerdicts(setup)
        self.home = dict.fromkeys(setup.sites, math.inf)
        self.spill: dict[tuple[str, str], float] = {}
        self.bad_since: dict[str, float] = {}
        self.left_at: dict[str, float] = {}

    def state(self, site: str) -> State:
        """Lost or well."""
        return State.LOST if site in self.left_at else State.WELL

    def step(self, now: float, facts: Facts) -> list[Step]:
        """Own endings alone."""
        self.verdicts.evidence.step(now, facts.outcomes)
        for site in self.setup.sites:
            if site in self.left_at:
                if now - self.left_at[site] >= TRY:
                    del self.left_at[site]
            elif self.verdicts.evidence.failing(site):
                if now - self.bad_since.setdefault(site, now) >= SEEN:
                    self.left_at[site] = now
                    del self.bad_since[site]
            else:
                self.bad_since.pop(site, None)
            self.home[site] = 0.0 if site in self.left_at else math.inf
        well = [site for site in self.setup.sites if site not in self.left_at]
        self.spill = {}
        for line in facts.demand:
            if line.home in self.left_at and not line.pinned:
                for site in well:
                    pair = (line.home, site)
                    self.spill[pair] = self.spill.get(pair, 0.0) + line.rate / len(well)
        return []
