"""What clients ask of a copy of the simulated sites, what its fronts let in, and what it offers each site."""

from __future__ import annotations

from collections.abc import Mapping

from brassweir.lab.models.sitetypes import Second, Stepping, World
from brassweir.sites.facts import Copy, Demand, Facts, State
from brassweir.sites.steps import AdmissionLimit

LineKey = tuple[str, str, str]  # class, customer, home
Said = dict[str, tuple[State | None, float, float]]  # by site: the word, and calls that passed and failed
LetIn = dict[str, tuple[float, float]]  # by home: rates that are pinned to it, and that may go elsewhere


def client_lines(world: World, asked: Mapping[str, float], part: float) -> tuple[Demand, ...]:
    """The lines of a copy that has this part of what is asked of each site."""
    return tuple(
        Demand(name, customer, site, rate * part * share, worth, 1.0, window, pinned)
        for site, rate in asked.items()
        for name, customer, share, worth, window, pinned in (
            ("news", "big", 0.5, 1.0, 60_000.0, False),
            ("pay", "big", 0.4 - world.pinned, 3.0, 30_000.0, False),
            ("pay", "small", 0.1, 3.0, 30_000.0, False),
            ("kept", "small", world.pinned, 2.0, 3_000.0, True),
        )
    )


def step_limits(view: Stepping, now: float, facts: Facts) -> dict[LineKey, float]:
    """Step the view; the rates of the lines that it says have too little room."""
    return {
        (step.line.class_name, step.line.customer, step.line.home): step.rate
        for step in view.step(now, facts)
        if isinstance(step, AdmissionLimit)
    }


def said_of_sites(view: Stepping, world: World, second: Second) -> Said:
    """What the copy says of each site it has evidence of; the words it acts on are counted on the tape."""
    said, verdicts = Said(), view.verdicts
    for site in world.capacity:
        if sum(counted := verdicts.evidence.counts(site)) > 0.0:
            said[site] = (verdicts.own_report(site), *counted)
        counts = second.words.setdefault(site, {})
        counts[view.state(site)] = counts.get(view.state(site), 0) + 1
    return said


def words_said(said: Mapping[Copy, Said], world: World) -> dict[str, dict[str, State]]:
    """The word of each copy that has one, by site."""
    return {
        site: {
            copy.name: word
            for copy, of_sites in said.items()
            if (word := of_sites.get(site, (None,))[0]) is not None
        }
        for site in world.capacity
    }


def let_in_at_front(facts: Facts, limits: Mapping[LineKey, float], second: Second) -> LetIn:
    """What the copy's fronts let in of its demand; both go on the tape."""
    let_in = LetIn()
    second.by_copy.append(len(second.refused))
    for line in facts.demand:
        rate = min(line.rate, limits.get((line.class_name, line.customer, line.home), line.rate))
        second.refused.append((line, rate))
        second.demand[line.home] = second.demand.get(line.home, 0.0) + line.rate
        second.asked += line.rate * line.worth
        fixed, free = let_in.get(line.home, (0.0, 0.0))
        let_in[line.home] = (fixed + rate, free) if line.pinned else (fixed, free + rate)
    return let_in


def calls_by_site(view: Stepping, world: World, let_in: LetIn, second: Second) -> dict[str, float]:
    """Calls to each site: at home what the view allows there, of the rest what it may bring elsewhere."""
    calls = dict.fromkeys(world.capacity, 0.0)
    for home, (fixed, free) in let_in.items():
        at_home = min(fixed + free, max(view.home[home], 0.0))
        rest = fixed + free - at_home
        calls[home] += at_home
        pairs = {pair: rate for pair, rate in view.spill.items() if pair[0] == home}
        total = sum(pairs.values())
        for pair, rate in pairs.items():
            goes = min(rest, total) * rate / total if total else 0.0
            calls[pair[1]] += goes
            second.spilled[pair] = second.spilled.get(pair, 0.0) + goes
    return calls
