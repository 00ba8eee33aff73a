"""A stand-in for the agreed log in the site world: words, silent sites and the plan, with a leader that
can be lost."""

from __future__ import annotations

import bisect

from brassweir.lab.models.sitetypes import World
from brassweir.sites import planning
from brassweir.sites.agreement import next_agreed_state
from brassweir.sites.facts import Copy, LogState, Plan, State

ELECTION = 2000.0  # ms without a log after the leader's site is lost
SILENT = 2000.0  # ms after which the log holds a site's copies for gone


class SiteLog:
    """One voter a site; all that most voters' sites reach is agreed at once, and told with the copy's
    delay."""

    def __init__(self, world: World, copies: tuple[Copy, ...]) -> None:
        self.world, self.copies = world, copies
        self.sites = list(world.capacity)
        self.leader = self.sites[0]
        self.reached, self.ready_at, self.led_since = True, 0.0, -1e9
        self.gone: dict[str, float] = {}
        self.rooms: tuple[planning.SiteLoad, ...] = ()
        self.plan: Plan | None = None
        words = dict.fromkeys(self.sites, State.WELL)
        self.states: list[LogState] = [LogState(0, 0.0, words)]
        self.times: list[float] = [-1e12]

    def at(self, now: float) -> LogState:
        """The state as it stood then."""
        return self.states[bisect.bisect_right(self.times, now) - 1]

    def step(
        self,
        now: float,
        live: list[Copy],
        said: dict[str, dict[str, State]],
        loads: dict[str, float],
        off: bool,
    ) -> None:
        """What copies that reach the log say now."""
        there = {copy.site for copy in live}
        if self.leader not in there:
            self.ready_at = now + ELECTION
            self.leader = next((site for site in self.sites if site in there), self.leader)
        before = self.reached
        self.reached = not off and len(there) * 2 > len(self.sites) and now >= self.ready_at
        if self.reached and not before:
            self.led_since = now
        for site in self.sites:
            if site in there:
                self.gone.pop(site, None)
            else:
                self.gone.setdefault(site, now)
        if not self.reached:
            return
        last = self.states[-1]
        words = {
            site: next_agreed_state(last.states[site], site, said[site], self.copies) for site in self.sites
        }
        silent = frozenset(site for site, at in self.gone.items() if now - at >= SILENT)
        rooms = tuple(
            planning.SiteLoad(site, loads[site], self.world.capacity[site], spill=self.world.spill)
            for site in self.sites
        )
        if not self.rooms or planning.plan_outdated(self.rooms, rooms):
            self.rooms, self.plan = rooms, planning.make_plan(last.version + 1, rooms)
        if words != last.states or silent != last.silent or self.plan is not last.plan:
            self.states.append(LogState(last.version + 1, now, words, silent, self.plan))
            self.times.append(now)
