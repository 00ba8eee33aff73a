"""What truly happened in the site world, judged from its tape: a figure each, or what was broken."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial

from brassweir.lab.models.sitetypes import STEP, Fault, Second, World
from brassweir.sites.admission import admitted_rates
from brassweir.sites.facts import Demand, State

EPS = 1e-6
SECOND = int(1000.0 / STEP)


def by_second(tape: list[Second], figure: Callable[[Second], float | None]) -> list[tuple[float, float]]:
    """When, and the mean of any second in which the figure was there throughout; seconds slide."""
    found = []
    for i in range(len(tape) - SECOND + 1):
        values = [figure(one) for one in tape[i : i + SECOND]]
        known = [value for value in values if value is not None]
        if len(known) == len(values):
            found.append((tape[i].at, sum(known) / len(known)))
    return found


def peak_at_takers(tape: list[Second], faults: Iterable[Fault]) -> float:
    """The most that a site which took spilled load carried in any second, of what it bears. A site that is
    struck itself is looked at ten seconds on: until then load is on its way that was right before."""
    struck = [one for one in faults if one.kind in ("lost", "endpoints", "half", "answers")]

    def ratio(second: Second, site: str) -> float | None:
        took = sum(rate for (_, taker), rate in second.spilled.items() if taker == site)
        new = any(one.site == site and one.start <= second.at < one.start + 10_000.0 for one in struck)
        if took <= EPS or new or second.bears[site] <= EPS:
            return None
        return second.offered.get(site, 0.0) / second.bears[site]

    return max(
        (value for site in tape[0].bears for _, value in by_second(tape, partial(ratio, site=site))),
        default=0.0,
    )


def peak_returning(tape: list[Second], grace: float = 0.0) -> float:
    """The most that a cold site was offered in any second, of what it bore then, by all copies. ``grace`` ms
    after it went are let pass: what fell and rose within them was met by load that was on its way."""
    worst = 0.0
    for site in tape[0].warm:
        went: dict[float, float] = {}  # by step: when the site last went
        for before, second in zip([tape[0], *tape], tape, strict=False):
            fell = second.warm[site] == 0.0 < before.warm[site] or second.whole[site] < before.whole[site]
            went[second.at] = second.at if fell else went.get(before.at, -math.inf)

        def ratio(second: Second, site: str = site, went: dict[float, float] = went) -> float | None:
            if not 0.0 < second.warm[site] < 1.0 or second.at - went[second.at] < grace:
                return None
            return second.offered.get(site, 0.0) / (second.whole[site] * second.warm[site])

        worst = max([worst, *(value for _, value in by_second(tape, ratio))])
    return worst


def most_spilled(tape: list[Second], world: World) -> float:
    """The most of a site's demand that went elsewhere in any second, of the stated share."""

    def share(second: Second, home: str) -> float | None:
        went = sum(rate for (one, _), rate in second.spilled.items() if one == home)
        return went / (world.spill * second.demand[home]) if second.demand.get(home) else None

    return max(value for home in world.capacity for _, value in by_second(tape, partial(share, home=home)))


def refused_wrongly(tape: list[Second]) -> list[str]:
    """Where a copy refused something before what stands lower, or starved one of equal standing."""
    broken = []
    for second in tape:
        bounds = [*second.by_copy, len(second.refused)]
        for begin, end in zip(bounds, bounds[1:], strict=False):
            broken += _wrong(second.at, second.refused[begin:end])
    return broken


def _wrong(at: float, lines: list[tuple[Demand, float]]) -> list[str]:
    broken = []
    for line, let_in in lines:
        if line.pinned or let_in >= line.rate * (1.0 - EPS):
            continue
        for other, other_in in lines:
            if other.home != line.home or other.pinned or other is line or other_in <= EPS:
                continue
            worse = other.worth / other.calls_per_message < 0.98 * line.worth / line.calls_per_message
            equal = abs(other.worth / other.calls_per_message - line.worth / line.calls_per_message) < EPS
            if worse and other_in > EPS:
                broken.append(f"{at:.0f}: {line.class_name}/{line.customer} cut before {other.class_name}")
            if equal and let_in <= EPS and other_in >= other.rate * (1.0 - EPS):
                broken.append(f"{at:.0f}: {line.class_name}/{line.customer} starved beside {other.customer}")
    return broken


def false_losses(tape: list[Second], faults: Iterable[Fault], after: float = 30_000.0) -> list[str]:
    """Sites taken for lost by some copy though nothing of their own had befallen them."""
    own = ("lost", "endpoints", "half", "answers")
    struck = [one for one in faults if one.kind in own]
    broken = []
    for second in tape:
        for site, words in second.words.items():
            near = any(one.site == site and one.start <= second.at < one.end + after for one in struck)
            if words.get(State.LOST) and not near:
                broken.append(f"{second.at:.0f}: {site} by {words[State.LOST]}")
    return broken


def verdict_after(tape: list[Second], fault: Fault, share: float = 0.95) -> float | None:
    """Ms until so many of the live copies took a lost site for lost."""
    for second in tape:
        words = second.words.get(fault.site, {})
        if second.at >= fault.start and words and words.get(State.LOST, 0) >= share * sum(words.values()):
            return second.at - fault.start
    return None


def whole_after(tape: list[Second], fault: Fault, share: float = 0.97) -> float | None:
    """Ms from a site's true return until it had its whole load again, to the end of the tape."""
    for second in reversed(tape):
        load = second.offered.get(fault.site, 0.0)
        if load < share * second.demand[fault.site] or second.at < fault.end:
            return None if second is tape[-1] else second.at + STEP - fault.end
    return None


def called_while_down(tape: list[Second], site: str, after: float = 7000.0) -> float:
    """The most calls a second at a site that has been down for so long, of its capacity."""
    worst, since = 0.0, 0.0
    for second in tape:
        if second.warm[site] > 0.0:
            since = second.at
        elif second.at - since >= after:
            worst = max(worst, second.offered.get(site, 0.0) / second.whole[site])
    return worst


def lost_in(tape: list[Second], site: str, start: float, end: float) -> float:
    """Calls at a site that brought nothing."""
    return sum(one.lost_calls.get(site, 0.0) for one in tape if start <= one.at < end)


def worth(tape: list[Second]) -> float:
    """What was delivered, of what was asked, by worth."""
    return sum(one.worth for one in tape) / sum(one.asked for one in tape)


def best(tape: list[Second], world: World) -> float:
    """The worth that one who knew what each site bears at every moment could have had delivered: all room is
    used, at home and, within the stated share, elsewhere, the most worthy first. An upper bound."""
    got = asked = 0.0
    for second in tape:
        lines: dict[Demand, float] = {}
        for line, _ in second.refused:
            kind = replace(line, rate=0.0)
            lines[kind] = lines.get(kind, 0.0) + line.rate
        whole = [replace(line, rate=rate) for line, rate in lines.items()]
        asked += sum(line.rate * line.worth for line in whole)
        over = {
            home: min(max(0.0, rate - second.bears[home]), world.spill * rate)
            for home, rate in second.demand.items()
        }
        room = sum(max(0.0, bears - second.demand.get(site, 0.0)) for site, bears in second.bears.items())
        share = min(1.0, room / (sum(over.values()) or 1.0))
        for home in second.demand:
            here = [line for line in whole if line.home == home]
            rates = admitted_rates(here, second.bears[home], over[home] * share, 0.0)
            got += sum(rate * line.worth for rate, line in zip(rates, here, strict=True))
    return got / asked
