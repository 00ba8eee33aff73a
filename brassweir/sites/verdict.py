"""What a copy thinks of each site: well, suspected, lost, returning.

Who decides what: own endings, backed by witnesses and by silence, decide on the site's **endpoints**: that
is the word, and it alone moves load. The site's **copies** may be silent while its endpoints serve, and
the reverse: silence alone never makes a site lost, it only shortens the doubt where calls fail as well.
The agreed log, where it was reached within a lease, adds its word; the worse of the two is acted on.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from brassweir.sites.evidence import LEAST, WINDOW, Evidence
from brassweir.sites.facts import SEVERITY, Facts, PeerState, Setup, State
from brassweir.sites.parts import LEASE
from brassweir.sites.slow_start import DOWN

LOSING = 0.2  # share of bad endings from which a site is not well: it may serve and lose its answers
CLEAR = 0.1  # share under which a suspected site is well again
CALM = 2000.0  # ms that it stays under it first
CONFIRM = 3000.0  # ms of failing until a copy on its own takes a site for lost
BACKED = 1000.0  # ms, where a witness of a third site or the silence of the site's copies agrees
UNREACHED = 1.5  # x both, with the agreed log out of reach: a lone copy is to be the surer
GENERAL = 0.6  # x the share here: the best other site failing so much as well means a general slowdown
AT_ONCE = 3000.0  # ms within which all other sites went: then this copy is the one cut off
UNANSWERED = 1000.0  # ms without an answer of the log until this is not just the time that one takes
FRESH = 2000.0  # ms that a witness's word counts
TRIALS = 1.0  # passes, own and witnesses', that a lost site shows before it returns
RELAPSE = 0.3  # share of bad endings that sends a returning site back
# ms after a loss before its return is looked at; doubled by each point of distrust after the first
WAIT = 2000.0
MOST_WAIT = 60_000.0  # ms, the most of that
MOST_DISTRUST = 4.0  # points; one for each loss or relapse
DISTRUST_HALF = 300_000.0  # ms in which distrust halves


@dataclass(slots=True)
class SiteRecord:
    """What is known of one site. ``own`` rests on own endings; ``word`` is what is acted on."""

    own: State = State.WELL
    state: State = State.WELL
    since: float = 0.0  # of ``own``
    bad_since: float | None = None  # calls fail since
    calm_since: float | None = None
    distrust: float = 0.0
    distrust_at: float = 0.0
    trials: float = 0.0  # own passes since it was lost or last failed: few calls go there
    failed: bool = False  # it failed as a whole while suspected: cold if it is well again
    gone_at: float | None = None  # when calls began to fail, or its copies fell silent


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
        """Points of distrust now: they decay, so that an old trouble is forgiven."""
        one = self.sites[site]
        return one.distrust * math.exp2(-(now - one.distrust_at) / DISTRUST_HALF)

    def wait(self, now: float, site: str) -> float:
        """Ms after a loss before a return is looked at."""
        return min(MOST_WAIT, WAIT * math.exp2(max(0.0, self.distrust(now, site) - 1.0)))

    def step(self, now: float, facts: Facts, full: Mapping[str, bool]) -> list[str]:
        """Take in facts; ``full``: this copy's ramp at a returning site is done. Returns sites whose word
        changed."""
        self.evidence.step(now, facts.endings)
        agreed = facts.agreed
        self.reached = agreed is not None and now - agreed.as_of < LEASE
        shares = {site: self.evidence.share(site) for site in self.sites}
        silent = {site: self._silent(site, facts.peers) for site in self.sites}
        self._look_at_self(now, shares, silent, agreed.as_of if agreed is not None else -math.inf)
        changed = []
        for site, one in self.sites.items():
            self._own(now, site, facts, shares, silent[site], full.get(site, False))
            state = one.own
            if self.reached and agreed is not None:
                said = agreed.states.get(site, State.WELL)
                if said is State.LOST and one.own not in (State.LOST, State.RETURNING):
                    self._lose(now, one)  # the fleet has seen it: be ready for its return, as all are
                elif said is State.RETURNING and one.own is State.LOST and not self.evidence.failing(site):
                    self._to(now, one, State.RETURNING)
                state = max((said, one.own), key=SEVERITY.__getitem__)
            if state is not one.state:
                one.state = state
                changed.append(site)
        return changed

    def _silent(self, site: str, peers: Mapping[str, PeerState]) -> bool:
        """Are most copies of a site silent? Not if it has none; who is not told of counts as alive."""
        gone = sum(
            state is not PeerState.ALIVE and self.site_of.get(name) == site for name, state in peers.items()
        )
        return gone * 2 > self.copies_at[site]

    def _look_at_self(
        self, now: float, shares: Mapping[str, float | None], silent: Mapping[str, bool], asked: float
    ) -> None:
        """All other sites that were there gone at once, and the agreed log with them: it is this copy that
        is cut off. Two sites in all cannot tell which of them went, so the log is to say it."""
        others = [
            one
            for site, one in self.sites.items()
            if site != self.setup.own.site and one.own not in (State.LOST, State.RETURNING)
        ]
        for site, one in self.sites.items():
            gone = self.evidence.failing(site) or (shares[site] is None and silent[site])
            one.gone_at = (one.gone_at if one.gone_at is not None else now) if gone else None
        times = [one.gone_at for one in others]
        gone_all = [at for at in times if at is not None]
        together = len(gone_all) == len(others) > 0 and max(gone_all) - min(gone_all) <= AT_ONCE
        # Once cut off it stays so until a site or the log is heard: time alone proves nothing. An answer
        # of the log to a question from before they went proves nothing either, though its lease lasts.
        unheard = together and asked < max(gone_all)
        if unheard and now - max(gone_all) >= UNANSWERED:
            self.doubt_until = now + WINDOW  # what failed while it was cut off is still counted so long
        self.unanswered = now < self.doubt_until
        self.cut_off = unheard or self.unanswered

    def _own(
        self,
        now: float,
        site: str,
        facts: Facts,
        shares: Mapping[str, float | None],
        silent: bool,
        full: bool,
    ) -> None:
        """Move the word that rests on own endings."""
        one, share = self.sites[site], shares[site]
        bad = share or 0.0
        for ending in facts.endings if one.own is State.LOST else ():
            if self.evidence.site_of(ending.endpoint) == site:
                failed = ending.failures + ending.timeouts > ending.passes
                one.trials = 0.0 if failed else one.trials + ending.passes
        doubtful = facts.late or self.cut_off or self._general(site, bad, shares)
        failing = self.evidence.failing(site) and not doubtful
        one.bad_since = (one.bad_since if one.bad_since is not None else now) if failing else None
        one.calm_since = (one.calm_since if one.calm_since is not None else now) if bad < CLEAR else None
        if one.own is State.WELL and bad >= LOSING and not doubtful:
            self._to(now, one, State.SUSPECTED)
        if one.own is State.SUSPECTED:
            one.failed = one.failed or failing
            if one.bad_since is not None and now - one.bad_since >= self._confirm(now, site, facts, silent):
                self._lose(now, one)
            elif one.calm_since is not None and now - one.calm_since >= CALM:
                self._to(now, one, State.RETURNING if one.failed else State.WELL)
        elif one.own is State.LOST and now - one.since >= self.wait(now, site):
            passes, fails = self._pooled(site, facts)
            passes += one.trials
            if passes >= TRIALS and fails < LOSING * (passes + fails):
                self._to(now, one, State.RETURNING)
        elif one.own is State.RETURNING:
            if bad >= RELAPSE and share is not None and now - one.since > WINDOW / 2 and not doubtful:
                self._lose(now, one)
            elif full:
                self._to(now, one, State.WELL)

    def _general(self, site: str, bad: float, shares: Mapping[str, float | None]) -> bool:
        """Do all other sites of which calls say anything fail alike? Then no site is to blame."""
        seen = [
            share
            for other, share in shares.items()
            if other != site and share is not None and self.sites[other].own is not State.LOST
        ]
        if not seen and any(other != site and one.own is not State.WELL for other, one in self.sites.items()):
            return bad < DOWN  # nothing is left to compare with: only a site that is down is lost
        return bool(seen) and min(seen) >= max(GENERAL * bad, CLEAR)

    def _confirm(self, now: float, site: str, facts: Facts, silent: bool) -> float:
        """Ms of failing that are asked: less where others see it as well, and less at each further loss."""
        backed = silent or any(
            one.about == site
            and one.age <= FRESH
            and one.state in (State.SUSPECTED, State.LOST)
            and self.site_of.get(one.copy, site) not in (site, self.setup.own.site)
            for one in facts.witnesses
        )
        span = (BACKED if backed else CONFIRM) * (1.0 if self.reached else UNREACHED)
        return span / (1.0 + self.distrust(now, site) / 2.0)

    def _pooled(self, site: str, facts: Facts) -> tuple[float, float]:
        """The window's trials of witnesses, and own failures: of many copies each tries rarely."""
        passes, fails = 0.0, self.evidence.counts(site)[1]
        for one in facts.witnesses:
            if one.about == site and one.age <= FRESH and one.copy in self.site_of:
                passes, fails = passes + one.passes, fails + one.failures
        return passes, fails

    def _lose(self, now: float, one: SiteRecord) -> None:
        kept = one.distrust * math.exp2(-(now - one.distrust_at) / DISTRUST_HALF)
        one.distrust, one.distrust_at = min(MOST_DISTRUST, kept + 1.0), now
        self._to(now, one, State.LOST)

    def _to(self, now: float, one: SiteRecord, state: State) -> None:
        one.own, one.since, one.bad_since, one.calm_since = state, now, None, None
        one.trials, one.failed = 0.0, False

    def own_report(self, site: str) -> State | None:
        """The word for others: own endings alone; None where they say nothing."""
        (passes, bad), own = self.evidence.counts(site), self.sites[site].own
        few = passes + bad < LEAST if own in (State.WELL, State.SUSPECTED) else passes + bad <= 0.0
        # Lost by others' word while own calls pass: that is no word of its own.
        return None if self.cut_off or few or (own is State.LOST and passes > bad) else own
