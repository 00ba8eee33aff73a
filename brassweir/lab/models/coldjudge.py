"""Judges a destination's cold return by what arrived there: the sum over all senders."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from brassweir.lab.models.coldplan import SPAN, draw
from brassweir.lab.models.coldworld import World


@dataclass(frozen=True, slots=True)
class Judged:
    """What a world showed, from the return on: ``cold`` up to the end of the cold time, ``warm`` after it."""

    cold: float  # highest ratio of calls in a span to what is allowed then
    warm: float
    cold_falls: int  # spans over the allowed count and its chance, apart by a span at least
    warm_falls: int
    told_falls: int  # those of which over two thirds came from senders that had met the outage or been told
    served: int


def judge(world: World) -> Judged:
    """Count in spans that end with each call."""
    plan, ratio, falls, told, start = world.plan, [0.0, 0.0], [0, 0], 0, 0
    calls, last = [call for call in world.calls if call[0] >= world.plan.back], -math.inf
    for stop, (at, _) in enumerate(calls):
        while calls[start][0] <= at - SPAN:
            start += 1
        warm, count, allowed = at > plan.back + plan.cold, stop - start + 1, plan.allowed(at)
        ratio[warm] = max(ratio[warm], count / allowed)
        if count > allowed + 2.0 * math.sqrt(allowed) + 2.0 and at - last > SPAN:
            last = at
            falls[warm] += 1
            told += sum(copy.met for _, copy in calls[start : stop + 1]) * 3 > 2 * count
    return Judged(ratio[0], ratio[1], falls[0], falls[1], told, world.served)


def played(copies: int, seed: int, **changes: float) -> Judged:
    """A drawn world, played and judged."""
    return judge(World(replace(draw(copies, seed), **changes), seed).run())  # type: ignore[arg-type]
