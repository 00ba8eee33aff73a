"""Which demand is rejected first when capacity is short, and what becomes of queued messages.

The order, as ``order`` returns it:

1. demand pinned to the site that cannot be delivered there in time: rejected completely;
2. other demand by the worth lost per call, the least first;
3. demand of equal worth per call (within ``EQUAL``) shares the capacity by max-min fairness: nobody is
   starved while another is served in full, and a customer that asks for more takes nothing from the others.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum

from brassweir.interface import Effect, MessageClass
from brassweir.sites.facts import Demand

EQUAL = 0.99  # of the highest worth per call in a group, down to which others belong to it


def density(demand: Demand) -> float:
    """Worth lost per call."""
    return demand.worth / demand.calls_per_message


def equal_groups(demands: Sequence[Demand]) -> list[list[Demand]]:
    """Demand grouped by equal worth per call, the highest first."""
    groups: list[list[Demand]] = []
    for demand in sorted(demands, key=density, reverse=True):
        if groups and density(demand) >= EQUAL * density(groups[-1][0]):
            groups[-1].append(demand)
        else:
            groups.append([demand])
    return groups


def order(demands: Sequence[Demand], come_back: float) -> list[list[Demand]]:
    """The order in which demand is rejected, first to last; demand in one list shares."""
    too_late = [demand for demand in demands if demand.pinned and demand.window < come_back]
    others = [demand for demand in demands if not (demand.pinned and demand.window < come_back)]
    return ([too_late] if too_late else []) + equal_groups(others)[::-1]


def fill(asked: Sequence[float], capacity: float) -> list[float]:
    """Max-min fair division of ``capacity``: each gets what it asks for, but at most the common level."""
    granted, remaining = [0.0] * len(asked), capacity
    ranked = sorted(range(len(asked)), key=lambda i: asked[i])
    for served, i in enumerate(ranked):
        granted[i] = min(asked[i], max(0.0, remaining) / (len(ranked) - served))
        remaining -= granted[i]
    return granted


def admitted_rates(demands: Sequence[Demand], home: float, away: float, come_back: float) -> list[float]:
    """The rate of each demand that can be served.

    ``home``: calls a second at its own site, which pinned demand needs. ``away``: calls a second elsewhere,
    which other demand uses first. ``come_back``: ms until the site can serve again.
    """
    rates = dict.fromkeys(range(len(demands)), 0.0)
    index_of = {id(demand): i for i, demand in enumerate(demands)}
    for group in reversed(order(demands, come_back)):
        if group[0].pinned and group[0].window < come_back:
            continue
        asked = [demand.rate * demand.calls_per_message for demand in group]
        level = fill(asked, home + away)
        fixed = [i for i, demand in enumerate(group) if demand.pinned]
        if sum(level[i] for i in fixed) > home:
            # Pinned demand exceeds the home site: it shares that, and other demand shares what remains.
            for i, rate in zip(fixed, fill([asked[i] for i in fixed], home), strict=True):
                level[i] = rate
            free = [i for i, demand in enumerate(group) if not demand.pinned]
            remaining = home + away - sum(level[i] for i in fixed)
            for i, rate in zip(free, fill([asked[i] for i in free], remaining), strict=True):
                level[i] = rate
        for i, demand in enumerate(group):
            rates[index_of[id(demand)]] = level[i] / demand.calls_per_message
        pinned = sum(level[i] for i in fixed)
        free_use = sum(level) - pinned
        home -= pinned + max(0.0, free_use - away)
        away -= min(away, free_use)
    return [rates[i] for i in range(len(demands))]


class Held(Enum):
    """What becomes of a message that is queued for a lost site."""

    MOVE = "move"
    WAIT = "wait"
    END = "end"


def held(cls: MessageClass, never_ran: bool, pinned: bool, remaining: float, come_back: float) -> Held:
    """Decide on a queued message: one that surely has not run is moved if it may be; otherwise its class
    decides.

    The decision module ends the message. ``remaining``: ms in which it may still be delivered; ``come_back``:
    ms until the site can serve again.
    """
    if pinned:
        return Held.WAIT if never_ran and remaining >= come_back else Held.END
    if never_ran or cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group == "all"):
        return Held.MOVE
    return Held.END
