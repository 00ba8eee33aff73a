"""Judges liveness: the copies' own word on whom they take for alive, and when a leader was told. Pure.

This alone rests on what copies say of themselves over HTTP: nobody else knows whom they take for dead.
"""

from __future__ import annotations

from collections.abc import Sequence

from brassweir.lab.between.seen import Away, Finding, Told, away_at


def together_again(told: Sequence[Told], copies: Sequence[str], last_fault: float, within: float) -> Finding:
    """Within so many seconds after the last fault every copy takes every other for alive."""
    found = Finding()
    later = sorted((one for one in told if one.at >= last_fault), key=lambda one: one.at)
    slowest = 0.0
    for name in copies:
        found.tested += 1
        others = set(copies) - {name}
        good = [one.at for one in later if one.copy == name and others <= one.alive]
        if not good or good[0] > last_fault + within:
            missing = [sorted(others - one.alive) for one in later if one.copy == name]
            found.broken.append(
                f"{name} did not take all for alive by {last_fault + within:.1f} s; "
                f"it missed {', '.join(missing[-1]) if missing else 'all: it was silent'}"
            )
        else:
            slowest = max(slowest, good[0] - last_fault)
    found.figures["slowest_s"] = round(slowest, 2)
    return found


def leads_again(told: Sequence[Told], copies: Sequence[str], last_fault: float, within: float) -> Finding:
    """Within so many seconds after the last fault one copy leads, more than half of all name it, and the
    committed index has moved or stands alike at all."""
    found = Finding(tested=1)
    latest: dict[str, Told] = {}
    for one in sorted((one for one in told if one.at >= last_fault), key=lambda one: one.at):
        latest[one.copy] = one
        leaders = [now for now in latest.values() if now.role == "leader"]
        top = max(leaders, key=lambda now: now.term, default=None)
        if top is None:
            continue
        agree = sum(now.leader == top.copy and now.term == top.term for now in latest.values())
        if 2 * agree > len(copies):
            took = one.at - last_fault
            found.figures["took_s"] = round(took, 2)
            if took > within:
                found.broken.append(
                    f"a leader was known to most {took:.1f} s after the last fault, {within:g} s were allowed"
                )
            return found
    found.broken.append("no leader was known to most after the last fault")
    return found


def caught_up(told: Sequence[Told], copies: Sequence[str], lag: float) -> Finding:
    """At the end every copy takes part, knows grants and has applied all that was agreed ``lag`` s before."""
    found = Finding()
    last = {one.copy: one for one in sorted(told, key=lambda one: one.at)}
    for name in copies:
        found.tested += 1
        one = last.get(name)
        if one is None or one.trouble:
            found.broken.append(f"{name} takes no part at the end: {one.trouble if one else 'it was silent'}")
            continue
        due = max((other.commit for other in told if other.at <= one.at - lag), default=0)
        if one.applied < due:
            found.broken.append(f"{name} has applied {one.applied} at the end, {due} was agreed before")
        if not one.granted:
            found.broken.append(f"{name} knows of no grants at the end")
    return found


def voters_as_wanted(told: Sequence[Told], copies: Sequence[str], wanted: Sequence[str]) -> Finding:
    """At the end every copy shows those as voters that are wanted, and nobody else."""
    found = Finding()
    last = {one.copy: one for one in sorted(told, key=lambda one: one.at)}
    for name in copies:
        found.tested += 1
        shown = last[name].voters if name in last else frozenset()
        if shown != set(wanted):
            found.broken.append(
                f"{name} shows {', '.join(sorted(shown)) or 'nobody'} as voters at the end, "
                f"wanted are {', '.join(sorted(wanted))}"
            )
    return found


def no_false_death(
    told: Sequence[Told], away: Sequence[Away], cut: Sequence[tuple[str, str, float, float]], slack: float
) -> Finding:
    """Nobody is told dead that was neither away nor cut off from the one that tells, in the last ``slack`` s.

    ``cut``: (a, b, start, end), ways between two copies that a fault struck, either direction. A copy
    that was itself away learns anew for ``slack`` seconds as well.
    """
    found = Finding()
    false: set[tuple[str, str]] = set()
    for one in told:
        for name in one.dead:
            found.tested += 1
            since = one.at - slack
            excused = away_at(away, name, since, one.at) or away_at(away, one.copy, since, one.at)
            excused = excused or any(
                start <= one.at and since <= end and {a, b} == {name, one.copy} for a, b, start, end in cut
            )
            if not excused and (one.copy, name) not in false:
                false.add((one.copy, name))
                found.broken.append(f"{one.copy} told {name} dead at {one.at:.1f} s, and it was in reach")
    found.figures["false_deaths"] = len(false)
    return found
