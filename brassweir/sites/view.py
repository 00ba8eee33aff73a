"""A copy's view of all sites: verdicts, shares, slow start and admission combined. ``(now, facts) -> steps``.

The decision module chooses the endpoint of each message; see ``steps`` for what it gets.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import replace
from random import Random

from brassweir.interface import EndpointInfo, EntryState
from brassweir.sites import admission, planning
from brassweir.sites.evidence import WINDOW_MS
from brassweir.sites.facts import Facts, LogState, Plan, Setup, State
from brassweir.sites.parts import ALONE, LEASE_MS, Part, alone
from brassweir.sites.slow_start import SAFE, Ramp
from brassweir.sites.steps import AdmissionLimit, EndpointUpdate, OwnStateChanged, SiteStateChanged, Step
from brassweir.sites.verdict import CALM_MS, FRESH_MS, SiteVerdicts

MIN_CHANGE = 0.02  # of the listed rate; a smaller change of a rate is not reported
JITTER = 0.5  # of the time to retry that is added at random, so that rejected clients do not return together


class SitesView:
    """One copy's view. ``home`` and ``spill`` are the rates that it may call now: by site, and by home
    site and taker."""

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
        self.reported = {endpoint.name: endpoint for endpoint in setup.endpoints}
        self.own_reports: dict[str, State | None] = {}
        self.limited: set[tuple[str, str, str]] = set()  # demand that was limited

    def step(self, now: float, facts: Facts) -> list[Step]:
        """Apply facts, which may be empty, and return what changed."""
        verdicts = self.verdicts
        before = {site: record.own for site, record in verdicts.sites.items()}
        changed = verdicts.step(now, facts, {site: ramp.full for site, ramp in self.ramps.items()})
        steps: list[Step] = [
            SiteStateChanged(site, verdicts.sites[site].state, not verdicts.reached) for site in changed
        ]
        if facts.agreed is not None:
            self._apply_log(now, facts.agreed)
        for site, record in verdicts.sites.items():
            if record.own is State.RETURNING and before[site] is State.LOST:
                verdicts.evidence.forget(site)
            self._update_home(now, site, facts)
            if (own_report := verdicts.own_report(site)) != self.own_reports.get(site):
                self.own_reports[site] = own_report
                steps.append(OwnStateChanged(site, own_report))
        demand: dict[str, float] = {}
        for line in facts.demand:
            demand[line.home] = demand.get(line.home, 0.0) + line.rate * line.calls_per_message
        self._update_spill(now, demand)
        return steps + self._entries() + self._admit(now, facts, demand)

    def state(self, site: str) -> State:
        """The state of a site that is acted on."""
        return self.verdicts.sites[site].state

    def come_back(self, now: float, site: str) -> float:
        """Estimated ms until a rejected message may find capacity, for its response."""
        record, ramp = self.verdicts.sites[site], self.ramps[site]
        if record.state is State.LOST:
            remaining = max(0.0, self.verdicts.wait(now, site) - (now - record.since))
            return remaining + ramp.cold * ramp.stretch / 2.0
        return ramp.left() / 2.0 if record.state is State.RETURNING else CALM_MS

    def _apply_log(self, now: float, agreed: LogState) -> None:
        """Update the shares by the agreed log. An answer whose lease is over, or an older one, changes
        nothing."""
        if now - agreed.as_of >= LEASE_MS or (
            self.agreed is not None and agreed.version < self.agreed.version
        ):
            return
        lease_lasts = self.agreed is not None and now - self.agreed.as_of < LEASE_MS
        self.agreed = agreed
        if agreed.plan is not None:
            self.plan = agreed.plan
        present = sum(copy.site not in agreed.silent for copy in self.setup.copies)
        weight = 0.0 if self.setup.own.site in agreed.silent or not present else 1.0 / present
        self.shares.update(now, agreed.version, 1.0 - ALONE, weight, lease_lasts)
        flows = self._flows(agreed.states, {})
        for site, part in self.parts.items():
            total = sum(rate for (_, taker), rate in flows.items() if taker == site)
            part.update(now, agreed.version, (1.0 - ALONE) * total, weight, lease_lasts)

    def _flows(
        self, states: Mapping[str, State], left: Mapping[str, float]
    ) -> Mapping[tuple[str, str], float]:
        """The flows of the plan's case for these states; ``left``: by site, the share of its rate that has
        not failed."""
        if self.plan is None:
            return {}
        parts = {site: 0.0 for site, state in states.items() if state in (State.LOST, State.RETURNING)}
        for site, part in left.items():
            if site not in parts and part <= planning.HALF + 0.25:
                parts[site] = planning.HALF
        return self.plan.cases.get(planning.case_of(parts), {})

    def _update_home(self, now: float, site: str, facts: Facts) -> None:
        """Set what this copy may call at a site, of the load that belongs there."""
        verdicts, ramp = self.verdicts, self.ramps[site]
        record, evidence = verdicts.sites[site], verdicts.evidence
        passes, failed = evidence.counts(site)
        log_says_well = (
            verdicts.reached
            and self.agreed is not None
            and self.agreed.states.get(site, State.WELL) is State.WELL
            # A log with a leader for less time would not know of a site that was lost meanwhile.
            and now - self.agreed.led_since >= self.setup.cold
            # The log may be behind the witnesses, which a copy that just started hears as well.
            and (
                ramp.warm
                or all(
                    witness.about != site or witness.age > FRESH_MS or witness.state in (None, State.WELL)
                    for witness in facts.witnesses
                )
            )
        )
        ramp.step(
            now,
            record.state,
            evidence.last_pass[site],
            failed / (passes + failed) if failed else 0.0,
            log_says_well,
            verdicts.distrust(now, site),
            verdicts.unanswered,
            self.agreed.led_since if self.agreed is not None else math.inf,
        )
        allowed = ramp.allowed(
            record.state, verdicts.reached, evidence.failing(site), passes * 1000.0 / WINDOW_MS
        )
        left = evidence.left(site)
        if record.state in (State.WELL, State.SUSPECTED) and 0.0 < left < 1.0:
            # The remaining capacity is shared as a taker's headroom is. If nothing remains, the ramp decides.
            share = alone(1.0, self.listed) + (self.shares.now(now) if verdicts.reached else 0.0)
            share = max(planning.FILL * left * share, SAFE * ramp.start / self.listed)
            allowed = min(allowed, share * self.capacity[site])
        elif record.state is State.RETURNING and 0.0 < left:
            allowed *= left
        self.home[site] = allowed

    def _update_spill(self, now: float, demand: Mapping[str, float]) -> None:
        """Set what part of each site's load may go to which taker.

        That is the agreed share while the log is reached, and by this copy's own view the share that it
        always has; never more than the configured share of its own demand.
        """
        verdicts, flows_out = self.verdicts, dict[tuple[str, str], float]()
        agreed = self.agreed if verdicts.reached else None
        own_flows = self._flows(
            {site: record.state for site, record in verdicts.sites.items()},
            {site: verdicts.evidence.left(site) for site in verdicts.sites},
        )
        agreed_flows = self._flows(agreed.states, {}) if agreed is not None else {}
        for taker in self.setup.sites:
            complete = verdicts.evidence.left(taker) == 1.0 and self.ramps[taker].warm
            if self.state(taker) is not State.WELL or not complete:
                continue  # its transferred load stops at once and is not moved on to others
            for flows, share in ((own_flows, None), (agreed_flows, self.parts[taker].now(now))):
                total = sum(rate for (_, to), rate in flows.items() if to == taker)
                for (home, to), rate in flows.items():
                    if to == taker:
                        part = alone(total, self.listed) if share is None else share
                        flows_out[home, taker] = flows_out.get((home, taker), 0.0) + part * rate / total
        for home in {home for home, _ in flows_out}:
            total_demand = demand.get(home, 0.0)
            limit = min(max(0.0, total_demand - self.home[home]), self.setup.spill * total_demand)
            total = sum(rate for (origin, _), rate in flows_out.items() if origin == home)
            if total > limit:
                for pair in [pair for pair in flows_out if pair[0] == home]:
                    flows_out[pair] *= limit / total
        self.spill = flows_out

    def _entries(self) -> list[Step]:
        """List entries that differ from the last ones reported."""
        steps: list[Step] = []
        for index, listed in enumerate(self.setup.endpoints):
            info = self._entry(listed, index)
            reported = self.reported[listed.name]
            if info.state is not reported.state or abs(info.rate - reported.rate) > MIN_CHANGE * listed.rate:
                self.reported[listed.name] = info
                steps.append(EndpointUpdate(info))
        return steps

    def _entry(self, listed: EndpointInfo, index: int) -> EndpointInfo:
        site = listed.zone
        if self.state(site) is State.LOST:
            # Each copy tries one endpoint, different copies different ones; all others get nothing new.
            names = self.verdicts.evidence.at_site[site]
            tried = names[sum(self.setup.own.name.encode()) % len(names)] == listed.name
            rate = self.home[site] * self.listed if tried else listed.rate
            return replace(listed, state=EntryState.READY if tried else EntryState.DRAINING, rate=rate)
        if self.home[site] == math.inf:
            return listed
        spilled_here = sum(rate for (_, taker), rate in self.spill.items() if taker == site)
        share = (self.home[site] + spilled_here) * self.listed / (self.capacity[site] or 1.0)
        return replace(listed, rate=listed.rate * min(1.0, share))

    def _admit(self, now: float, facts: Facts, demand: Mapping[str, float]) -> list[Step]:
        """Limits of demand that exceeds the capacity, and the end of limits no longer needed."""
        steps: list[Step] = []
        for home, total in demand.items():
            if home not in self.home:
                continue
            lines = [line for line in facts.demand if line.home == home]
            away = sum(rate for (origin, _), rate in self.spill.items() if origin == home)
            come_back = self.come_back(now, home)
            if total <= self.home[home]:
                rates = [line.rate for line in lines]
            else:
                rates = admission.admitted_rates(lines, self.home[home], away, come_back)
            for line, rate in zip(lines, rates, strict=True):
                key = (line.class_name, line.customer, line.home)
                if rate < line.rate * (1.0 - 1e-9):
                    self.limited.add(key)
                    steps.append(AdmissionLimit(line, rate, come_back * (1.0 + JITTER * self.rng.random())))
                elif key in self.limited:
                    self.limited.discard(key)
                    steps.append(AdmissionLimit(line, math.inf, 0.0))
        return steps
