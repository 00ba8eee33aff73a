"""What is refused first where the room does not do for all, and what becomes of held messages.

The order, testable as it stands in ``order``:

1. what is pinned to the site and cannot be delivered there in its time: refused whole;
2. the rest by worth lost per unit of room, the least first;
3. lines of equal standing (worth per room within ``EQUAL``) share what is left for them so that the least
   served gets the most possible: none is starved while another is whole, and a customer that asks for more
   takes nothing from the others.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum

from brassweir.interface import Effect, MessageClass
from brassweir.sites.facts import Demand

EQUAL = 0.99  # of the worth per room of the first of a standing, down to which others stand alike


def density(line: Demand) -> float:
    """Worth lost per unit of room."""
    return line.worth / line.calls_per_message


def equal_groups(lines: Sequence[Demand]) -> list[list[Demand]]:
    """Lines of equal standing together, the most worth per room first."""
    groups: list[list[Demand]] = []
    for line in sorted(lines, key=density, reverse=True):
        if groups and density(line) >= EQUAL * density(groups[-1][0]):
            groups[-1].append(line)
        else:
            groups.append([line])
    return groups


def order(lines: Sequence[Demand], come_back: float) -> list[list[Demand]]:
    """In which order lines are refused, first first; those in one list share."""
    late = [line for line in lines if line.pinned and line.window < come_back]
    rest = [line for line in lines if not (line.pinned and line.window < come_back)]
    return ([late] if late else []) + equal_groups(rest)[::-1]


def fill(asked: Sequence[float], room: float) -> list[float]:
    """Give each as much as it asks, or all others' equal at most: the least served gets the most possible."""
    given, left = [0.0] * len(asked), room
    ranked = sorted(range(len(asked)), key=lambda i: asked[i])
    for done, i in enumerate(ranked):
        given[i] = min(asked[i], max(0.0, left) / (len(ranked) - done))
        left -= given[i]
    return given


def admitted_rates(lines: Sequence[Demand], home: float, away: float, come_back: float) -> list[float]:
    """The rate of each line that has room: ``home`` calls a second at its own site, which pinned lines
    need, and ``away`` elsewhere, which the others use first. ``come_back``: ms until the site does."""
    given = dict.fromkeys(range(len(lines)), 0.0)
    numbers = {id(line): i for i, line in enumerate(lines)}
    for group in reversed(order(lines, come_back)):
        if group[0].pinned and group[0].window < come_back:
            continue
        asked = [line.rate * line.calls_per_message for line in group]
        level = fill(asked, home + away)
        fixed = [i for i, line in enumerate(group) if line.pinned]
        if sum(level[i] for i in fixed) > home:
            # The pinned ones cannot all have their level at home: they share that, the others the rest.
            for i, rate in zip(fixed, fill([asked[i] for i in fixed], home), strict=True):
                level[i] = rate
            free = [i for i, line in enumerate(group) if not line.pinned]
            rest = home + away - sum(level[i] for i in fixed)
            for i, rate in zip(free, fill([asked[i] for i in free], rest), strict=True):
                level[i] = rate
        for i, line in enumerate(group):
            given[numbers[id(line)]] = level[i] / line.calls_per_message
        pinned = sum(level[i] for i in fixed)
        free_use = sum(level) - pinned
        home -= pinned + max(0.0, free_use - away)
        away -= min(away, free_use)
    return [given[i] for i in range(len(lines))]


class Held(Enum):
    """What becomes of a message that is held for a lost site."""

    MOVE = "move"
    WAIT = "wait"
    END = "end"


def held(cls: MessageClass, never_ran: bool, pinned: bool, left: float, come_back: float) -> Held:
    """A held message: what surely has not run moves, if it may; else its class says. The decision module
    ends it: this is what the list tells it. ``left``: ms in which it may still be delivered."""
    if pinned:
        return Held.WAIT if never_ran and left >= come_back else Held.END
    if never_ran or cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group == "all"):
        return Held.MOVE
    return Held.END
