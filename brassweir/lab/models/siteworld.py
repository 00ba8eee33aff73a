"""A seeded world of three sites or more, one of them lost: fluid rates in steps of a quarter second.

Each copy steps a real ``sites.view.View``; what it allows is offered, as a plain stand-in for the decision
module's sending. The world keeps a tape of what truly happened; ``sitejudges`` reads that and asks no copy.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from brassweir.interface import EndpointInfo
from brassweir.lab.models.sitelog import SiteLog
from brassweir.lab.models.siteoffer import (
    calls_by_site,
    client_lines,
    let_in_at_front,
    said_of_sites,
    step_limits,
    words_said,
)
from brassweir.lab.models.sitetypes import (
    FALL,
    GOSSIP,
    NOTICED,
    STEP,
    TRY,
    Fault,
    Kind,
    Second,
    Stepping,
    World,
)
from brassweir.sites.facts import Copy, Demand, Facts, LogState, Outcomes, PeerState, Setup, State, Witness
from brassweir.sites.view import SitesView


class SiteWorld:
    """Runs one day."""

    def __init__(
        self,
        world: World,
        faults: tuple[Fault, ...],
        seed: int,
        make: Callable[[Setup, Random], Stepping] = SitesView,
    ) -> None:
        self.world, self.faults, self.rng, self.make = world, faults, Random(seed), make
        self.copies = tuple(Copy(f"{site}{i}", site) for site in world.capacity for i in range(world.copies))
        self.endpoints = tuple(
            EndpointInfo(f"{site}-e{i}", i, "", zone=site, rate=rate / world.endpoints)
            for site, rate in world.capacity.items()
            for i in range(world.endpoints)
        )
        self.at_site = {site: [one for one in self.endpoints if one.zone == site] for site in world.capacity}
        self.views = {copy: self._fresh(copy) for copy in self.copies}
        self.heard: dict[Copy, LogState] = {}
        self.said: dict[Copy, dict[str, tuple[State | None, float, float]]] = {one: {} for one in self.copies}
        self.endings: dict[Copy, list[Outcomes]] = {copy: [] for copy in self.copies}
        self.weight = {copy: 1.0 + world.uneven * (2 * self.rng.random() - 1) for copy in self.copies}
        self.rank = {copy: self.rng.random() for copy in self.copies}  # who is struck by a share of copies
        self.log = SiteLog(world, self.copies)
        self.dead_since: dict[Copy, float] = {}
        self.fallen: dict[str, float] = {}  # until when a site that tipped over is down
        self.returned: dict[str, float] = {}
        self.over: dict[str, float] = {}  # ms that a site has been over its tipping point
        self.down_before: set[str] = set()
        self.restarted: set[tuple[Fault, Copy]] = set()
        self.mean: dict[Copy, float] = {}  # worth of a message that a copy lets in
        self.tape: list[Second] = []

    def _fresh(self, copy: Copy) -> Stepping:
        world = self.world
        setup = Setup(copy, self.copies, self.endpoints, world.cold, world.start_capacity, world.spill)
        return self.make(setup, Random(f"{copy.name}"))

    def run(self, seconds: float) -> list[Second]:
        """The tape of a day."""
        for number in range(int(seconds * 1000.0 / STEP)):
            self.tape.append(self._step(number * STEP))
        return self.tape

    def on(self, now: float, kind: Kind, site: str = "") -> Fault | None:
        """A fault of this kind that is on at this site now."""
        for one in self.faults:
            if one.kind == kind and one.start <= now < one.end and one.site in ("", site):
                return one
        return None

    def struck(self, now: float, kind: Kind, copy: Copy) -> bool:
        """Is this copy among the share that is struck?"""
        fault = self.on(now, kind, copy.site)
        return fault is not None and self.rank[copy] < fault.share

    def _step(self, now: float) -> Second:
        second = Second(now)
        live = self._alive(now)
        self._sites(now, second)
        cut = {copy for copy in live if self.struck(now, "cut", copy)}
        self.log.step(
            now,
            [copy for copy in live if copy not in cut],
            words_said({copy: self.said[copy] for copy in live if copy not in cut}, self.world),
            self._demand_by_site(now),
            self.on(now, "log") is not None,
        )
        silent = {copy.name: PeerState.DEAD for copy, at in self.dead_since.items() if now - at >= NOTICED}
        away = {
            site: {copy.name: PeerState.DEAD for copy in self.copies if copy.site != site}
            for site in self.world.capacity
        }
        talk = [copy for copy in live if copy not in cut]
        lines = self._demand(now, live)
        calls: dict[Copy, dict[str, float]] = {}
        for copy in live:
            if copy not in cut and self.log.reached:
                late = 2500.0 if self.struck(now, "late", copy) else 250.0
                self.heard[copy] = replace(
                    self.log.at(now - late), as_of=now - late, led_since=self.log.led_since
                )
            witnesses = tuple(
                Witness(other.name, about, word, STEP, passes, fails)
                for other in (self.rng.sample(talk, min(GOSSIP, len(talk))) if copy not in cut else ())
                if other != copy
                for about, (word, passes, fails) in self.said[other].items()
            )
            facts = Facts(
                tuple(self.endings[copy]),
                witnesses,
                away[copy.site] if copy in cut else silent,
                False,
                self.heard.get(copy),
                lines[copy],
            )
            calls[copy] = self._act(now, copy, facts, second)
        self._answer(now, calls, cut, second)
        return second

    def _alive(self, now: float) -> list[Copy]:
        live = []
        for copy in self.copies:
            if self.on(now, "lost", copy.site) or self.on(now, "copies", copy.site):
                self.dead_since.setdefault(copy, now)
                continue
            fault = self.on(now, "restart", copy.site)
            again = (
                fault is not None and self.rank[copy] < fault.share and (fault, copy) not in self.restarted
            )
            if copy in self.dead_since or again:  # it comes back, and knows nothing
                if fault is not None:
                    self.restarted.add((fault, copy))
                self.dead_since.pop(copy, None)
                self.heard.pop(copy, None)
                self.views[copy], self.endings[copy], self.said[copy] = self._fresh(copy), [], {}
            live.append(copy)
        return live

    def _sites(self, now: float, second: Second) -> None:
        """What each site bears now."""
        for site, capacity in self.world.capacity.items():
            down = (self.on(now, "lost", site) or self.on(now, "endpoints", site)) is not None
            down = down or now < self.fallen.get(site, -1.0)
            if site in self.down_before and not down:
                self.returned[site] = now
            self.down_before = self.down_before | {site} if down else self.down_before - {site}
            into = (now - self.returned.get(site, -1e9)) / self.world.cold
            start = self.world.start_capacity
            second.warm[site] = 0.0 if down else min(1.0, start + (1.0 - start) * into)
            slow, half = self.on(now, "slow", site), self.on(now, "half", site)
            second.whole[site] = capacity * (0.5 if half else 1.0)
            second.bears[site] = second.whole[site] * second.warm[site] * (slow.share if slow else 1.0)

    def _demand_by_site(self, now: float) -> dict[str, float]:
        burst = self.on(now, "burst")
        return {
            site: rate * self.world.load[site] * (1.0 + (burst.share if burst else 0.0))
            for site, rate in self.world.capacity.items()
        }

    def _demand(self, now: float, live: list[Copy]) -> dict[Copy, tuple[Demand, ...]]:
        """Clients of copies that are gone go to the others; each copy's demand moves by some per cent."""
        total = sum(self.weight[copy] for copy in live) or 1.0
        found = {}
        asked = self._demand_by_site(now)
        for copy in live:
            part = self.weight[copy] / total * (1.0 + 0.02 * (2 * self.rng.random() - 1))
            found[copy] = client_lines(self.world, asked, part)
        return found

    def _act(self, now: float, copy: Copy, facts: Facts, second: Second) -> dict[str, float]:
        """One copy steps, and offers what it may. Returns its calls by site."""
        view = self.views[copy]
        limits = step_limits(view, now, facts)
        self.said[copy] = said_of_sites(view, self.world, second)
        let_in = let_in_at_front(facts, limits, second)
        known = second.refused[second.by_copy[-1] :]
        total = sum(rate for _, rate in known) or 1.0
        self.mean[copy] = sum(rate * line.worth for line, rate in known) / total
        return calls_by_site(view, self.world, let_in, second)

    def _answer(
        self, now: float, calls: dict[Copy, dict[str, float]], cut: set[Copy], second: Second
    ) -> None:
        """Sites answer what was offered; each copy spreads its calls over endpoints as it knows them."""
        spread: dict[Copy, dict[str, float]] = {copy: {} for copy in calls}
        sums = {one.name: 0.0 for one in self.endpoints}
        for copy, by_site in calls.items():
            dead = self.views[copy].verdicts.evidence.failed_endpoints
            for site, rate in by_site.items():
                if copy in cut and site != copy.site:
                    continue
                weights = [one.rate * (TRY if one.name in dead else 1.0) for one in self.at_site[site]]
                for one, weight in zip(self.at_site[site], weights, strict=True):
                    spread[copy][one.name] = rate * weight / sum(weights)
                    sums[one.name] += spread[copy][one.name]
                second.offered[site] = second.offered.get(site, 0.0) + rate
        passing = {}
        for site, listed in self.at_site.items():
            half = self.on(now, "half", site) is not None
            for place, one in enumerate(listed):
                up = not (half and place % 2 == 0)
                bears = one.rate * second.bears[site] / second.whole[site] if up else 0.0
                passing[one.name] = min(1.0, bears / sums[one.name]) if sums[one.name] > 0.0 else float(up)
            self._tips(now, site, second)
        for copy, by_site in calls.items():
            self.endings[copy] = []
            for one in self.endpoints:
                away = copy in cut and one.zone != copy.site
                rate = by_site[one.zone] / self.world.endpoints if away else spread[copy].get(one.name, 0.0)
                if rate <= 0.0:
                    continue
                lost = self.on(now, "answers", one.zone)
                passes = 0.0 if away else rate * passing[one.name]
                heard = passes * (1.0 - (lost.share if lost else 0.0))
                count = STEP / 1000.0
                self.endings[copy].append(
                    Outcomes(one.name, heard * count, (rate - passes) * count, (passes - heard) * count)
                )
                second.worth += heard * self.mean[copy]
                second.lost_calls[one.zone] = second.lost_calls.get(one.zone, 0.0) + (rate - heard) * count

    def _tips(self, now: float, site: str, second: Second) -> None:
        bears = second.bears[site]
        if second.warm[site] < 1.0 and second.offered.get(site, 0.0) > self.world.tip * bears > 0.0:
            self.over[site] = self.over.get(site, 0.0) + STEP
            if self.over[site] >= 1000.0:
                self.fallen[site] = now + FALL
        else:
            self.over[site] = 0.0
