"""One copy's verdict on each site: well, suspected, lost or returning.

The outcomes of the copy's own calls decide on the site's **endpoints**, confirmed by witnesses and by the
silence of the site's copies. That state alone moves load. The site's **copies** may be silent while its
endpoints serve, and the reverse, so silence alone never makes a site lost: it only shortens the confirmation
where calls fail as well. The agreed log, if reached within a lease, adds its state, and the worse of the two
is acted on.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from brassweir.sites.evidence import MIN_CALLS, WINDOW_MS, Evidence
from brassweir.sites.facts import SEVERITY, Facts, PeerState, Setup, State
from brassweir.sites.parts import LEASE_MS
from brassweir.sites.slow_start import DOWN

SUSPECT = 0.2  # share of failed calls from which a site is suspected
CLEAR = 0.1  # share of failed calls under which a suspected site recovers
CALM_MS = 2000.0  # for which the share must stay under CLEAR
CONFIRM_MS = 3000.0  # of failing until a copy holds a site for lost without confirmation by others
CONFIRMED_MS = 1000.0  # the same, if a witness of a third site or the silence of its copies confirms it
UNREACHED = 1.5  # x both, if the agreed log is out of reach
GENERAL = 0.6  # x a site's failed share: if the best other site fails as much, the failure is general
TOGETHER_MS = 3000.0  # within which all other sites failed: then this copy is the one cut off
UNANSWERED_MS = 1000.0  # longer than an answer of the log takes
FRESH_MS = 2000.0  # for which a witness's report counts
MIN_TRIALS = 1.0  # calls that passed, of this copy and witnesses, before a lost site is returning
RELAPSE = 0.3  # share of failed calls at which a returning site is lost again
WAIT_MS = 2000.0  # after a loss until a return is considered; doubled by each point of distrust but the first
MAX_WAIT_MS = 60_000.0
MAX_DISTRUST = 4.0  # points; each loss or relapse adds one
DISTRUST_HALF_LIFE_MS = 300_000.0


@dataclass(slots=True)
class SiteRecord:
    """What is known of one site. ``own`` is the state by this copy's calls; ``state`` is the one acted on."""

    own: State = State.WELL
    state: State = State.WELL
    since: float = 0.0  # when ``own`` last changed
    failing_since: float | None = None  # since when calls fail
    clear_since: float | None = None
    distrust: float = 0.0
    distrust_at: float = 0.0
    trial_passes: float = 0.0  # own calls that passed since it was lost or last failed
    failed: bool = False  # it failed completely while suspected, so it is cold afterwards
    unreachable_since: float | None = None  # since when its calls fail, or its copies are silent


class SiteVerdicts:
    """All sites as one copy sees them."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.evidence = Evidence(setup.endpoints)
        self.sites = {site: SiteRecord() for site in setup.sites}
        self.site_of = {copy.name: copy.site for copy in setup.copies}
        self.copies_at = {site: sum(copy.site == site for copy in setup.copies) for site in setup.sites}
        self.cut_off = self.unanswered = False
        self.doubt_until = -math.inf
        self.reached = False  # the agreed log answered a question asked within a lease

    def distrust(self, now: float, site: str) -> float:
        """Current points of distrust of a site; they decay with a half-life."""
        record = self.sites[site]
        return record.distrust * math.exp2(-(now - record.distrust_at) / DISTRUST_HALF_LIFE_MS)

    def wait(self, now: float, site: str) -> float:
        """Ms after a loss before a return is considered."""
        return min(MAX_WAIT_MS, WAIT_MS * math.exp2(max(0.0, self.distrust(now, site) - 1.0)))

    def step(self, now: float, facts: Facts, full: Mapping[str, bool]) -> list[str]:
        """Apply facts. ``full``: by site, whether this copy's ramp there is complete. Returns the sites
        whose state changed."""
        self.evidence.step(now, facts.outcomes)
        agreed = facts.agreed
        self.reached = agreed is not None and now - agreed.as_of < LEASE_MS
        shares = {site: self.evidence.share(site) for site in self.sites}
        silent = {site: self._silent(site, facts.peers) for site in self.sites}
        self._check_own_isolation(now, shares, silent, agreed.as_of if agreed is not None else -math.inf)
        changed = []
        for site, record in self.sites.items():
            self._update_own(now, site, facts, shares, silent[site], full.get(site, False))
            state = record.own
            if self.reached and agreed is not None:
                log_state = agreed.states.get(site, State.WELL)
                if log_state is State.LOST and record.own not in (State.LOST, State.RETURNING):
                    self._mark_lost(now, record)  # as the group did: prepare for its return
                elif (
                    log_state is State.RETURNING
                    and record.own is State.LOST
                    and not self.evidence.failing(site)
                ):
                    self._set_own(now, record, State.RETURNING)
                state = max((log_state, record.own), key=SEVERITY.__getitem__)
            if state is not record.state:
                record.state = state
                changed.append(site)
        return changed

    def _silent(self, site: str, peers: Mapping[str, PeerState]) -> bool:
        """Whether most copies of a site are silent; a copy that no fact mentions counts as alive."""
        silent = sum(
            state is not PeerState.ALIVE and self.site_of.get(name) == site for name, state in peers.items()
        )
        return silent * 2 > self.copies_at[site]

    def _check_own_isolation(
        self, now: float, shares: Mapping[str, float | None], silent: Mapping[str, bool], asked: float
    ) -> None:
        """Detect that this copy is the one cut off: all other sites failed at once, and the agreed log with
        them.

        With two sites in all, the copy cannot tell which of them failed, so the log has to say it.
        """
        others = [
            record
            for site, record in self.sites.items()
            if site != self.setup.own.site and record.own not in (State.LOST, State.RETURNING)
        ]
        for site, record in self.sites.items():
            unreachable = self.evidence.failing(site) or (shares[site] is None and silent[site])
            record.unreachable_since = (
                (record.unreachable_since if record.unreachable_since is not None else now)
                if unreachable
                else None
            )
        times = [record.unreachable_since for record in others]
        failed_at = [at for at in times if at is not None]
        at_once = len(failed_at) == len(others) > 0 and max(failed_at) - min(failed_at) <= TOGETHER_MS
        # Once cut off it stays so until a site or the log answers. An answer of the log to a question
        # from before the failure does not count, though its lease lasts.
        unheard = at_once and asked < max(failed_at)
        if unheard and now - max(failed_at) >= UNANSWERED_MS:
            self.doubt_until = now + WINDOW_MS  # until the failures from then have left the window
        self.unanswered = now < self.doubt_until
        self.cut_off = unheard or self.unanswered

    def _update_own(
        self,
        now: float,
        site: str,
        facts: Facts,
        shares: Mapping[str, float | None],
        silent: bool,
        full: bool,
    ) -> None:
        """Update the state that rests on this copy's own calls."""
        record, share = self.sites[site], shares[site]
        failed_share = share or 0.0
        for outcomes in facts.outcomes if record.own is State.LOST else ():
            if self.evidence.site_of(outcomes.endpoint) == site:
                failed = outcomes.failures + outcomes.timeouts > outcomes.passes
                record.trial_passes = 0.0 if failed else record.trial_passes + outcomes.passes
        doubtful = facts.late or self.cut_off or self._general(site, failed_share, shares)
        failing = self.evidence.failing(site) and not doubtful
        record.failing_since = (
            (record.failing_since if record.failing_since is not None else now) if failing else None
        )
        record.clear_since = (
            (record.clear_since if record.clear_since is not None else now) if failed_share < CLEAR else None
        )
        if record.own is State.WELL and failed_share >= SUSPECT and not doubtful:
            self._set_own(now, record, State.SUSPECTED)
        if record.own is State.SUSPECTED:
            record.failed = record.failed or failing
            if record.failing_since is not None and now - record.failing_since >= self._confirmation_ms(
                now, site, facts, silent
            ):
                self._mark_lost(now, record)
            elif record.clear_since is not None and now - record.clear_since >= CALM_MS:
                self._set_own(now, record, State.RETURNING if record.failed else State.WELL)
        elif record.own is State.LOST and now - record.since >= self.wait(now, site):
            passes, fails = self._pooled(site, facts)
            passes += record.trial_passes
            if passes >= MIN_TRIALS and fails < SUSPECT * (passes + fails):
                self._set_own(now, record, State.RETURNING)
        elif record.own is State.RETURNING:
            if (
                failed_share >= RELAPSE
                and share is not None
                and now - record.since > WINDOW_MS / 2
                and not doubtful
            ):
                self._mark_lost(now, record)
            elif full:
                self._set_own(now, record, State.WELL)

    def _general(self, site: str, failed_share: float, shares: Mapping[str, float | None]) -> bool:
        """Whether all other sites with enough calls fail alike, so that no single site is to blame."""
        other_shares = [
            share
            for other, share in shares.items()
            if other != site and share is not None and self.sites[other].own is not State.LOST
        ]
        if not other_shares and any(
            other != site and record.own is not State.WELL for other, record in self.sites.items()
        ):
            return (
                failed_share < DOWN
            )  # no site is left to compare with: only a site that is down counts as lost
        return bool(other_shares) and min(other_shares) >= max(GENERAL * failed_share, CLEAR)

    def _confirmation_ms(self, now: float, site: str, facts: Facts, silent: bool) -> float:
        """How long a site must fail before it is lost: less if others confirm it, and less after each
        loss."""
        confirmed = silent or any(
            witness.about == site
            and witness.age <= FRESH_MS
            and witness.state in (State.SUSPECTED, State.LOST)
            and self.site_of.get(witness.copy, site) not in (site, self.setup.own.site)
            for witness in facts.witnesses
        )
        span = (CONFIRMED_MS if confirmed else CONFIRM_MS) * (1.0 if self.reached else UNREACHED)
        return span / (1.0 + self.distrust(now, site) / 2.0)

    def _pooled(self, site: str, facts: Facts) -> tuple[float, float]:
        """Calls that passed for witnesses, and failures of this copy and witnesses: each copy tries a lost
        site rarely."""
        passes, fails = 0.0, self.evidence.counts(site)[1]
        for witness in facts.witnesses:
            if witness.about == site and witness.age <= FRESH_MS and witness.copy in self.site_of:
                passes, fails = passes + witness.passes, fails + witness.failures
        return passes, fails

    def _mark_lost(self, now: float, record: SiteRecord) -> None:
        remaining = record.distrust * math.exp2(-(now - record.distrust_at) / DISTRUST_HALF_LIFE_MS)
        record.distrust, record.distrust_at = min(MAX_DISTRUST, remaining + 1.0), now
        self._set_own(now, record, State.LOST)

    def _set_own(self, now: float, record: SiteRecord, state: State) -> None:
        record.own, record.since, record.failing_since, record.clear_since = state, now, None, None
        record.trial_passes, record.failed = 0.0, False

    def own_report(self, site: str) -> State | None:
        """The state to report to others, by this copy's calls alone; None if they do not suffice."""
        (passes, failed), own = self.evidence.counts(site), self.sites[site].own
        few = passes + failed < MIN_CALLS if own in (State.WELL, State.SUSPECTED) else passes + failed <= 0.0
        # Lost by others' reports while its own calls pass: not this copy's own finding.
        return None if self.cut_off or few or (own is State.LOST and passes > failed) else own
