"""A copy's view of all sites: the sum of verdict, parts, return and refusals. ``(now, facts) -> steps``.

What is sent where stays the decision module's: see ``steps``.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import replace
from random import Random

from brassweir.interface import EndpointInfo, EntryState
from brassweir.sites import admission, planning
from brassweir.sites.evidence import WINDOW
from brassweir.sites.facts import Facts, LogState, Plan, Setup, State
from brassweir.sites.parts import ALONE, LEASE, Part, alone
from brassweir.sites.slow_start import SAFE, Ramp
from brassweir.sites.steps import AdmissionLimit, EndpointUpdate, OwnStateChanged, SiteStateChanged, Step
from brassweir.sites.verdict import CALM, FRESH, SiteVerdicts

STEP = 0.02  # a smaller change of a rate is not worth telling: the decisions look at each entry anew
SPREAD = 0.5  # of the time to come back that is drawn on top: those refused together are not to come together


class SitesView:
    """One copy. ``home`` and ``spill`` are what it may call now: by site, and by home and taker."""

    def __init__(self, setup: Setup, rng: Random) -> None:
        self.setup, self.rng = setup, rng
        self.verdicts = SiteVerdicts(setup)
        self.listed = len(setup.copies)
        self.capacity = {site: setup.capacity(site) for site in setup.sites}
        self.ramps = {
            site: Ramp(rate / self.listed, setup.cold, setup.start_capacity)
            for site, rate in self.capacity.items()
        }
        self.parts = {site: Part() for site in setup.sites}
        self.shares = Part()  # of what is left of a site that lost endpoints
        self.home = {site: math.inf for site in setup.sites}
        self.spill: dict[tuple[str, str], float] = {}
        self.plan: Plan | None = None
        self.agreed: LogState | None = None
        self.told = {one.name: one for one in setup.endpoints}
        self.proposed: dict[str, State | None] = {}
        self.short: set[tuple[str, str, str]] = set()  # lines of which some were refused

    def step(self, now: float, facts: Facts) -> list[Step]:
        """One step; facts may be none."""
        verdicts = self.verdicts
        before = {site: one.own for site, one in verdicts.sites.items()}
        changed = verdicts.step(now, facts, {site: ramp.full for site, ramp in self.ramps.items()})
        steps: list[Step] = [
            SiteStateChanged(site, verdicts.sites[site].state, not verdicts.reached) for site in changed
        ]
        if facts.agreed is not None:
            self._heard(now, facts.agreed)
        for site, one in verdicts.sites.items():
            if one.own is State.RETURNING and before[site] is State.LOST:
                verdicts.evidence.forget(site)
            self._home(now, site, facts)
            if (own_report := verdicts.own_report(site)) != self.proposed.get(site):
                self.proposed[site] = own_report
                steps.append(OwnStateChanged(site, own_report))
        demand: dict[str, float] = {}
        for line in facts.demand:
            demand[line.home] = demand.get(line.home, 0.0) + line.rate * line.calls_per_message
        self._spill(now, demand)
        return steps + self._entries() + self._admit(now, facts, demand)

    def state(self, site: str) -> State:
        """What is acted on."""
        return self.verdicts.sites[site].state

    def come_back(self, now: float, site: str) -> float:
        """Ms after which a refused message may find room: a guess that is told, and drawn apart where it
        is."""
        one, ramp = self.verdicts.sites[site], self.ramps[site]
        if one.state is State.LOST:
            waits = max(0.0, self.verdicts.wait(now, site) - (now - one.since))
            return waits + ramp.cold * ramp.stretch / 2.0
        return ramp.left() / 2.0 if one.state is State.RETURNING else CALM

    def _heard(self, now: float, agreed: LogState) -> None:
        """Parts by the agreed log; an answer whose lease is over, or an older one, changes nothing."""
        if now - agreed.as_of >= LEASE or (self.agreed is not None and agreed.version < self.agreed.version):
            return
        held = self.agreed is not None and now - self.agreed.as_of < LEASE
        self.agreed = agreed
        if agreed.plan is not None:
            self.plan = agreed.plan
        there = sum(copy.site not in agreed.silent for copy in self.setup.copies)
        weight = 0.0 if self.setup.own.site in agreed.silent or not there else 1.0 / there
        self.shares.take(now, agreed.version, 1.0 - ALONE, weight, held)
        flows = self._flows(agreed.states, {})
        for site, part in self.parts.items():
            whole = sum(rate for (_, taker), rate in flows.items() if taker == site)
            part.take(now, agreed.version, (1.0 - ALONE) * whole, weight, held)

    def _flows(
        self, states: Mapping[str, State], left: Mapping[str, float]
    ) -> Mapping[tuple[str, str], float]:
        """The plan's case for these words."""
        if self.plan is None:
            return {}
        parts = {site: 0.0 for site, state in states.items() if state in (State.LOST, State.RETURNING)}
        for site, part in left.items():
            if site not in parts and part <= planning.HALF + 0.25:
                parts[site] = planning.HALF
        return self.plan.cases.get(planning.case_of(parts), {})

    def _home(self, now: float, site: str, facts: Facts) -> None:
        """What this copy may call at a site of the load that belongs there."""
        verdicts, ramp = self.verdicts, self.ramps[site]
        one, evidence = verdicts.sites[site], verdicts.evidence
        passes, bad = evidence.counts(site)
        told_well = (
            verdicts.reached
            and self.agreed is not None
            and self.agreed.states.get(site, State.WELL) is State.WELL
            # A log that was led for less would not know of a site that came back with it.
            and now - self.agreed.led_since >= self.setup.cold
            # Nor does it say all that witnesses do: a copy that has just started hears both.
            and (
                ramp.warm
                or all(
                    said.about != site or said.age > FRESH or said.state in (None, State.WELL)
                    for said in facts.witnesses
                )
            )
        )
        ramp.step(
            now,
            one.state,
            evidence.last_pass[site],
            bad / (passes + bad) if bad else 0.0,
            told_well,
            verdicts.distrust(now, site),
            verdicts.unanswered,
            self.agreed.led_since if self.agreed is not None else math.inf,
        )
        allowed = ramp.allowed(one.state, verdicts.reached, evidence.failing(site), passes * 1000.0 / WINDOW)
        left = evidence.left(site)
        if one.state in (State.WELL, State.SUSPECTED) and 0.0 < left < 1.0:
            # What stands of it is shared as a taker's headroom is. If all is dead: see the ramp.
            share = alone(1.0, self.listed) + (self.shares.now(now) if verdicts.reached else 0.0)
            share = max(planning.FILL * left * share, SAFE * ramp.start / self.listed)
            allowed = min(allowed, share * self.capacity[site])
        elif one.state is State.RETURNING and 0.0 < left:
            allowed *= left
        self.home[site] = allowed

    def _spill(self, now: float, demand: Mapping[str, float]) -> None:
        """What of each site's load may go to which taker: the agreed part while the log is reached, and
        the part that a copy has alone, by its own view; never more than the stated share of its own
        demand."""
        verdicts, found = self.verdicts, dict[tuple[str, str], float]()
        agreed = self.agreed if verdicts.reached else None
        own = self._flows(
            {site: one.state for site, one in verdicts.sites.items()},
            {site: verdicts.evidence.left(site) for site in verdicts.sites},
        )
        ruled = self._flows(agreed.states, {}) if agreed is not None else {}
        for taker in self.setup.sites:
            whole_there = verdicts.evidence.left(taker) == 1.0 and self.ramps[taker].warm
            if self.state(taker) is not State.WELL or not whole_there:
                continue  # what goes there stops at once; it is not pushed on to others
            for flows, mine in ((own, None), (ruled, self.parts[taker].now(now))):
                whole = sum(rate for (_, to), rate in flows.items() if to == taker)
                for (home, to), rate in flows.items():
                    if to == taker:
                        part = alone(whole, self.listed) if mine is None else mine
                        found[home, taker] = found.get((home, taker), 0.0) + part * rate / whole
        for home in {home for home, _ in found}:
            asked = demand.get(home, 0.0)
            most = min(max(0.0, asked - self.home[home]), self.setup.spill * asked)
            total = sum(rate for (one, _), rate in found.items() if one == home)
            if total > most:
                for pair in [pair for pair in found if pair[0] == home]:
                    found[pair] *= most / total
        self.spill = found

    def _entries(self) -> list[Step]:
        """List entries that differ from what was told."""
        steps: list[Step] = []
        for place, listed in enumerate(self.setup.endpoints):
            info = self._entry(listed, place)
            told = self.told[listed.name]
            if info.state is not told.state or abs(info.rate - told.rate) > STEP * listed.rate:
                self.told[listed.name] = info
                steps.append(EndpointUpdate(info))
        return steps

    def _entry(self, listed: EndpointInfo, place: int) -> EndpointInfo:
        site = listed.zone
        if self.state(site) is State.LOST:
            # One endpoint each is tried, another by each copy; all others take nothing new.
            names = self.verdicts.evidence.at_site[site]
            mine = names[sum(self.setup.own.name.encode()) % len(names)] == listed.name
            rate = self.home[site] * self.listed if mine else listed.rate
            return replace(listed, state=EntryState.READY if mine else EntryState.DRAINING, rate=rate)
        if self.home[site] == math.inf:
            return listed
        taken = sum(rate for (_, taker), rate in self.spill.items() if taker == site)
        share = (self.home[site] + taken) * self.listed / (self.capacity[site] or 1.0)
        return replace(listed, rate=listed.rate * min(1.0, share))

    def _admit(self, now: float, facts: Facts, demand: Mapping[str, float]) -> list[Step]:
        """Lines that have too little room, and those that have enough again."""
        steps: list[Step] = []
        for home, asked in demand.items():
            if home not in self.home:
                continue
            lines = [line for line in facts.demand if line.home == home]
            away = sum(rate for (one, _), rate in self.spill.items() if one == home)
            back = self.come_back(now, home)
            if asked <= self.home[home]:
                rates = [line.rate for line in lines]
            else:
                rates = admission.admitted_rates(lines, self.home[home], away, back)
            for line, rate in zip(lines, rates, strict=True):
                key = (line.class_name, line.customer, line.home)
                if rate < line.rate * (1.0 - 1e-9):
                    self.short.add(key)
                    steps.append(AdmissionLimit(line, rate, back * (1.0 + SPREAD * self.rng.random())))
                elif key in self.short:
                    self.short.discard(key)
                    steps.append(AdmissionLimit(line, math.inf, 0.0))
        return steps
