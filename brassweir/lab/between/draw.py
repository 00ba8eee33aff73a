"""Draws a schedule of faults from a seed: hard cases one after another, weather over them. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Any

from brassweir.lab.between.schedule import Fault, Schedule
from brassweir.lab.between.sites import Stand

QUIET = 3.0  # s at the start without faults: the group finds its first leader
# s at the end: the longest that the group may need to find itself again, with room for the judge's polls
CALM = 10.0
LONGEST = 5.0  # s that one copy may be away: clients ask on for longer than that
# What may strike, how long (s, least and most), and how often compared with others.
KINDS = (
    ("stall", 1.0, 5.0, 3),
    ("kill", 0.5, 3.0, 3),
    ("lose", 0.5, 2.0, 2),
    ("restore", 0.5, 2.0, 2),
    ("full", 1.0, 3.0, 2),
    ("clock", 1.0, 4.0, 1),
    ("isolate", 2.0, 5.0, 3),
    ("oneway", 2.0, 5.0, 3),
    ("cut", 2.0, 5.0, 2),
    ("restart_all", 0.5, 1.0, 1),
    ("rolling", 2.0, 5.0, 1),
    ("move", 0.0, 0.0, 1),
)
ROLL = 5.0  # s that a rolling restart may take beyond its time
REMAKES = ("lose", "restore")


def draw(seed: int, seconds: float, stands: Sequence[Stand], clock_ms: float) -> Schedule:
    """One seeded schedule. ``clock_ms``: the most that a clock may be off.

    Folders are lost or put back one copy at a time: a group keeps its word while fewer than half of
    its voters forget at once, and the rig does not ask for more.
    """
    rng = Random(f"between/{seed}")
    names = [one.name for one in stands]
    sites, regions = ([*dict.fromkeys(getattr(one, field) for one in stands)] for field in ("site", "region"))
    faults = [_weather(rng, QUIET, seconds - CALM - QUIET)]
    at, remade = QUIET + rng.uniform(0.0, 1.0), False
    while True:
        what, low, high = _kind(rng)
        lasts = round(rng.uniform(low, high), 2)
        if at + lasts > seconds - CALM:
            break
        if what in REMAKES and remade:
            what = "kill"  # one a run: a second while the first still learns would be two at once
        remade = remade or what in REMAKES
        tree: dict[str, Any] = {"at": round(at, 2), "what": what, "for": lasts}
        if what in ("cut", "oneway"):
            tree["between"] = tuple(rng.sample(names, 2))
        elif what == "isolate":
            tree["who"] = rng.choice([*sites, "leader"])
        elif what == "move":
            tree["who"] = rng.choice(regions)
        elif what not in ("restart_all", "rolling"):
            tree["who"] = "leader" if rng.random() < 0.4 else rng.choice(names)
        if what == "clock":
            tree["by_ms"] = round(rng.choice((-1.0, 1.0)) * rng.uniform(0.3, 0.8) * clock_ms)
        if what == "restore":
            tree["age"] = 3.0
        faults.append(Fault.model_validate(tree))
        at += lasts * rng.uniform(0.3, 1.2) + rng.uniform(0.2, 1.0)
    return Schedule(faults=tuple(apart(faults)))


def _weather(rng: Random, at: float, lasts: float) -> Fault:
    return Fault.model_validate(
        {
            "at": at,
            "what": "weather",
            "for": max(0.1, round(lasts, 2)),
            "lose": round(rng.uniform(0.0, 0.2), 3),
            "double": round(rng.uniform(0.0, 0.1), 3),
            "swap": round(rng.uniform(0.0, 0.1), 3),
            "spoil": round(rng.uniform(0.0, 0.02), 3),
            "delay": round(rng.uniform(0.0, 0.3), 3),
            "delay_ms": round(rng.uniform(20.0, 200.0)),
        }
    )


def _kind(rng: Random) -> tuple[str, float, float]:
    found = rng.choices(KINDS, weights=[weight for *_, weight in KINDS])[0]
    return found[0], found[1], found[2]


def apart(faults: list[Fault]) -> list[Fault]:
    """Leave out what would strike a process beside another that strikes processes: one at a time is handled,
    and cuts lie over them."""
    kept: list[Fault] = []
    busy = 0.0
    for fault in faults:
        if fault.what in ("cut", "oneway", "isolate", "weather", "move"):
            kept.append(fault)
        elif fault.at >= busy:
            kept.append(fault)
            busy = fault.ends + 0.3
            busy += ROLL if fault.what == "rolling" else 0.0
    return kept
