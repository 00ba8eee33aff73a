"""How much a copy may call at a site that is cold, or may be, so that the sum over all copies stays within
what the site can serve.

Every rate here is this copy's ``1 / listed`` share. So the sum over any set of copies, restarted, cut off or
late, is at most what one ramp allows that began when the **first** copy saw the site serve. It does not
depend on what other copies do:

- A ramp advances only while this copy's calls pass. It starts again when none passed for ``LAPSE_MS``, or too
  many failed.
- A copy that has not seen the site become warm, because it just started or was away, begins at the cold
  share.
- A copy that never saw the loss made no calls then (else it saw them fail), so what it knew of the site has
  expired. Without the agreed log it may then only grow by ``GROWTH`` a window from what passes.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from brassweir.sites.evidence import WINDOW_MS
from brassweir.sites.facts import State

SAFE = 0.8  # of what a cold site can serve: load varies, and its warmth is known by time alone
TRIAL = 0.1  # of the cold capacity that all copies together use to try a lost site
GROWTH = 1.25  # x what passed in the last window
DOWN = 0.95  # share of failed calls from which a site is down rather than slow
LAPSE_MS = 5000.0  # without a call that passed, until a site no longer counts as warm
MAX_STRETCH = 8.0  # x the cold time, the slowest ramp of a distrusted site


@dataclass(slots=True)
class Ramp:
    """One copy's slow start at one site. ``part``: its share of the site's capacity; ``cold``: ms until
    the site can serve all; ``start``: share of its capacity that the cold site can serve."""

    part: float
    cold: float
    start: float
    warm: bool = False  # by this copy's calls, or by the agreed log
    down_at: float | None = None  # since then almost nothing passed: cold afterwards
    maybe_cut_off: bool = False  # this copy, rather than the site, may have been away
    progress_ms: float = 0.0  # ms of the ramp completed while calls passed
    stretch: float = 1.0
    at: float | None = None

    def step(
        self,
        now: float,
        state: State,
        last_pass: float,
        failed: float,
        log_says_well: bool,
        distrust: float,
        cut_off: bool = False,
        led_since: float = math.inf,
    ) -> None:
        """Advance to ``now``.

        ``failed``: share of failed calls in the window; ``log_says_well``: the agreed log says well, within a
        lease; ``led_since``: since when the log has had a leader without interruption.
        """
        elapsed = 0.0 if self.at is None else now - self.at
        self.at = now
        self.stretch = min(MAX_STRETCH, math.exp2(max(0.0, distrust - 1.0)))
        if state is State.LOST or now - last_pass > LAPSE_MS or failed >= 0.5:
            # The site may have been down since: start again.
            self.progress_ms, self.warm = 0.0, False
        elif state is State.RETURNING and last_pass > now - WINDOW_MS:
            self.warm = False
            self.progress_ms = min(self.progress_ms + elapsed, self.cold * self.stretch)
        elif state in (State.WELL, State.SUSPECTED) and last_pass > now - WINDOW_MS:
            self.progress_ms = min(self.progress_ms + elapsed, self.cold * self.stretch)
            self.warm = self.warm or self.full
        if failed >= DOWN and self.down_at is None:
            self.down_at, self.maybe_cut_off = now, False
        self.maybe_cut_off = self.maybe_cut_off or cut_off
        # A log that had a leader throughout would know if all copies had lost the site.
        known = self.maybe_cut_off and self.down_at is not None and led_since < self.down_at and failed < DOWN
        if self.full or (log_says_well and known):
            self.down_at = None
        if log_says_well and state is State.WELL and self.down_at is None:
            self.warm = True

    @property
    def full(self) -> bool:
        """Whether the site had all its time to warm up, as far as this copy saw it serve."""
        return self.progress_ms >= self.cold * self.stretch

    def share(self) -> float:
        """Share of its capacity that the site can serve, by what this copy has seen."""
        progress = self.progress_ms / max(self.cold * self.stretch, 1.0)
        return SAFE * min(1.0, self.start + (1.0 - self.start) * progress)

    def allowed(self, state: State, reached: bool, failing: bool, passes: float) -> float:
        """Calls a second that this copy may make there; infinite if nothing is in doubt. ``passes``: calls
        a second that passed in the last window; ``reached``: the agreed log is reached."""
        trial_rate = TRIAL * self.start * self.part  # the limit where nothing passes, whatever the state
        if state is State.LOST or (failing and passes < trial_rate):
            return trial_rate
        if state is State.RETURNING or not self.warm:
            return self.share() * self.part
        if failing or not reached:
            return max(SAFE * self.start * self.part, GROWTH * passes)
        return math.inf

    def left(self) -> float:
        """Ms until the ramp is complete, if all goes well."""
        return max(0.0, self.cold * self.stretch - self.progress_ms)
