"""How much a copy may call at a site that is cold, or may be: paced so that the sum over all copies holds.

Every figure here is this copy's ``1 / listed`` of what a cold site bears. So the sum over any set of
copies, restarted, cut off or late, is at most what one ramp allows that began when the **first** copy saw
the site serve. Nothing rests on what another copy is doing:

- a ramp moves only while own calls pass, and starts over when none did for ``LAPSE`` or too many failed;
- a copy that has not shown the site to be warm (it has just started, or was away) begins at the cold part;
- a copy that never saw the loss made no calls then (else it saw them fail), so its proof has lapsed; without
  the agreed log it may then only grow by ``GROW`` a window from what passes.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from brassweir.sites.evidence import WINDOW
from brassweir.sites.facts import State

SAFE = 0.8  # of what a cold site bears: loads move within a second, and its warming is known by time alone
TRIAL = 0.1  # of its cold part that all copies together try a lost site with
GROW = 1.25  # x what passed in the last window: a cold site gains more in that time at its start
DOWN = 0.95  # share of bad endings from which a site is not slow but down
LAPSE = 5000.0  # ms without a pass after which a proof of warmth is none any more
MOST_STRETCH = 8.0  # x the cold time, the most that distrust slows a ramp


@dataclass(slots=True)
class Ramp:
    """One copy's way back to one site. ``part``: its part of the site's capacity, by copies listed."""

    part: float
    cold: float
    start: float
    warm: bool = False  # shown by own calls, or told by the agreed log
    down_at: float | None = None  # next to nothing passed since: cold when it is back, verdict or not
    excused: bool = False  # it may have been this copy that was cut off
    passed: float = 0.0  # ms of the ramp that passes have proven
    stretch: float = 1.0
    at: float | None = None

    def step(
        self,
        now: float,
        state: State,
        last_pass: float,
        bad: float,
        told_well: bool,
        distrust: float,
        cut_off: bool = False,
        led_since: float = math.inf,
    ) -> None:
        """``bad``: share of bad endings of the window; ``told_well``: the agreed log says well, within a
        lease."""
        span = 0.0 if self.at is None else now - self.at
        self.at = now
        self.stretch = min(MOST_STRETCH, math.exp2(max(0.0, distrust - 1.0)))
        if state is State.LOST or now - last_pass > LAPSE or bad >= 0.5:
            # Passed or failing: what was proven says nothing of a site that was away since.
            self.passed, self.warm = 0.0, False
        elif state is State.RETURNING and last_pass > now - WINDOW:
            self.warm = False
            self.passed = min(self.passed + span, self.cold * self.stretch)
        elif state in (State.WELL, State.SUSPECTED) and last_pass > now - WINDOW:
            self.passed = min(self.passed + span, self.cold * self.stretch)
            self.warm = self.warm or self.full
        if bad >= DOWN and self.down_at is None:
            self.down_at, self.excused = now, False
        self.excused = self.excused or cut_off
        # A log that was led throughout would know if the site had been lost to all; one that was not may not.
        known = self.excused and self.down_at is not None and led_since < self.down_at and bad < DOWN
        if self.full or (told_well and known):
            self.down_at = None
        if told_well and state is State.WELL and self.down_at is None:
            self.warm = True

    @property
    def full(self) -> bool:
        """Has the site had all its time to warm, as far as this copy has seen it serve?"""
        return self.passed >= self.cold * self.stretch

    def share(self) -> float:
        """Of its capacity that the site bears, by what this copy has seen."""
        into = self.passed / max(self.cold * self.stretch, 1.0)
        return SAFE * min(1.0, self.start + (1.0 - self.start) * into)

    def allowed(self, state: State, reached: bool, failing: bool, passes: float) -> float:
        """Calls a second that this copy may make there; infinite where nothing is in doubt. ``passes`` a
        second, in the last window."""
        tried = TRIAL * self.start * self.part  # so little where nothing passes, verdict or not
        if state is State.LOST or (failing and passes < tried):
            return tried
        if state is State.RETURNING or not self.warm:
            return self.share() * self.part
        if failing or not reached:
            return max(SAFE * self.start * self.part, GROW * passes)
        return math.inf

    def left(self) -> float:
        """Ms until the ramp is done, if all goes well."""
        return max(0.0, self.cold * self.stretch - self.passed)
