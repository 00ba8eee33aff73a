"""What was seen of a run with idle destinations, and the six rules judged from it."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from brassweir.lab.judges.checker import judge
from brassweir.lab.judges.tape import (
    Arrival,
    Effect,
    Ended,
    Outage,
    Overloaded,
    Tape,
)
from brassweir.lab.judges.verdict import ClassFigures
from brassweir.lab.rigs.idle_setup import Plan
from brassweir.lab.rigs.load import Latency


@dataclass(slots=True)
class Seen:
    """What clients saw of a run."""

    busy: Latency = field(default_factory=Latency)
    first: Latency = field(default_factory=Latency)
    answers: Counter[str] = field(default_factory=Counter)
    stalls: Latency = field(default_factory=Latency)
    tape: Tape = field(default_factory=Tape)
    short: int = 0  # times that the system refused a descriptor


CLASSES = {
    "status": ClassFigures("safe"),
    "order": ClassFigures("keyed", 8.0, True),
    "payment": ClassFigures("unsafe"),
}


def judge_run(plan: Plan, seen: Seen, report: dict[str, Any]) -> dict[str, Any]:
    """The six rules, from what clients, receivers and the list saw."""
    tape = seen.tape
    for kind, at, *rest in report["tape"]:
        if kind == "arrival":
            call, number, letter, ident = rest
            tape.add(Arrival(at, call, f"hook-{number}", f"hook-{number}-{letter}", "idle", ident, ident))
        elif kind == "ended":
            call, number, how, wait = rest
            tape.add(Ended(at, call, f"hook-{number}", "idle", how, wait))
        elif kind == "effect":
            tape.add(Effect(at, f"hook-{rest[0]}", rest[1], rest[1]))
        else:
            tape.add(Overloaded(at, f"hook-{rest[0]}", {"idle": rest[1]}))
    for one in plan.strikes:
        if one.kind == "hang":
            for number in range(one.first, min(one.last, plan.mix.busy + plan.mix.idle)):
                tape.add(Outage(report["began"] + one.start, f"hook-{number}", False, True))
                tape.add(Outage(report["began"] + one.end, f"hook-{number}", True, True))
    verdict = judge(tape, CLASSES)
    broken = {str(rule): len(found) for rule, found in verdict.broken.items()}
    breaks = [what for found in verdict.broken.values() for what in found]
    return {
        "broken_rules": broken,
        "breaks": breaks[:20],
        "rules_tested": {str(rule): count for rule, count in verdict.tested.items()},
        "bad_signatures": report["bad_signatures"],
    }
