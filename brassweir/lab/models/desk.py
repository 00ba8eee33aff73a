"""What a destination can do now: capacity after a cold return, a limit, and when it is pushed over. Pure.

The stand-ins on sockets and the modelled ones on simulated time ask the same state; times are seconds from
any origin, and only ever passed in.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

LIES = 2.0  # seconds for which one that was pushed over lies


@dataclass(frozen=True, slots=True)
class Manner:
    """How a partner works. Times in seconds, rates in calls a second."""

    service: float = 0.03
    workers: int = 8
    queue: int = 40
    rate: float = 0.0  # plain limit, 0 for none
    span: float = 0.0  # if set, the limit is a count in each such span
    tells_wait: float = 0.8  # share of its refusals that say how long
    reports: bool = False  # RateLimit fields in each answer
    connections: int = 200
    cold: float = 5.0
    start_capacity: float = 0.25
    tip_multiple: float = 2.0
    tip_span: float = 1.5
    window: float = 20.0  # repeated ids of keyed messages are dropped for so long
    asynchronous: bool = False
    counts_refused: bool = True  # refused calls count against a limit by count
    sigma: float = 0.0  # of the logarithm of call times; 0: even, from half to one and a half times the mean
    tail_share: float = 0.0  # of calls take tail_factor times as long
    tail_factor: float = 10.0


class Desk:
    """The state of one destination."""

    def __init__(self, manner: Manner) -> None:
        self.manner = manner
        self.allowance, self.stamp = manner.rate * 0.25, 0.0
        self.span_start, self.span_count = 0.0, 0
        self.back = -1e9  # end of the last cold outage
        self.recent: deque[tuple[float, str]] = deque()  # calls by sender since the return
        self.fallen = -1e9  # it lies until then

    def returned(self, now: float) -> None:
        """A cold outage is over."""
        self.back = now
        self.recent.clear()

    def capacity(self, now: float) -> float:
        """Share of the full capacity that it has now."""
        into = max(0.0, now - self.back) / self.manner.cold
        return min(1.0, self.manner.start_capacity + (1.0 - self.manner.start_capacity) * into)

    def tips(self, now: float, sender: str) -> dict[str, int] | None:
        """If this call pushes it over: the calls of each sender that did. Only while it comes back."""
        manner = self.manner
        if now - self.back > manner.cold or now < self.fallen:
            return None
        self.recent.append((now, sender))
        while self.recent and self.recent[0][0] < now - manner.tip_span:
            self.recent.popleft()
        room = self.capacity(now) * manner.workers / manner.service * manner.tip_span * manner.tip_multiple
        if len(self.recent) <= max(room, 3.0):
            return None
        by: dict[str, int] = {}
        for _, name in self.recent:
            by[name] = by.get(name, 0) + 1
        self.fallen = now + LIES
        self.back = self.fallen
        self.recent.clear()
        return by

    def limited(self, now: float, factor: float = 1.0) -> float:
        """Seconds until the limit, times ``factor``, has room again; 0 if it has, and then it is used."""
        manner = self.manner
        rate = manner.rate * factor
        if rate <= 0:
            return 0.0
        if manner.span > 0:
            start = now - now % manner.span
            if start != self.span_start:
                self.span_start, self.span_count = start, 0
            over = self.span_count >= rate * manner.span
            if not over or manner.counts_refused:
                self.span_count += 1
            return start + manner.span - now if over else 0.0
        self.allowance = min(rate * 0.5 + 1.0, self.allowance + (now - self.stamp) * rate)
        self.stamp = now
        if self.allowance < 1.0:
            return (1.0 - self.allowance) / rate
        self.allowance -= 1.0
        return 0.0

    def service(self, normal: float, even: float, now: float) -> float:
        """Seconds that a call takes; ``normal`` and ``even`` are draws from N(0, 1) and U(0, 1)."""
        manner = self.manner
        if manner.sigma:
            span = manner.service * math.exp(manner.sigma * normal)
            if manner.tail_share and even < manner.tail_share:
                span *= manner.tail_factor
        else:
            span = manner.service * (0.5 + even)
        return span / self.capacity(now)
