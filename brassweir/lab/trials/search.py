"""Worst days for a version: a seeded search over a deployment's draws, then around the worst, then shrunk.

What is sought is a low share of worth, or any broken rule, which is worse than any worth. A found day is
shrunk to the few strikes that matter (for a broken rule to few messages, too) and kept as a file for CI.
"""

from __future__ import annotations

import multiprocessing
import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

import msgspec
import numpy as np

from brassweir.lab.models.day import Day, Order, Strike, decode, encode
from brassweir.lab.models.deployment import Deployment
from brassweir.lab.models.drawing import draw
from brassweir.lab.simulated import runs

RULES = tuple(f"rule_{rule}_broken" for rule in range(1, 7))
NEIGHBOURS = 8  # tried at each step
KEEPS = 0.9  # of the loss that the strikes explain must stay when a day is shrunk


def badness(tree: dict[str, Any]) -> float:
    """How bad a run was: what is missing of its worth, and one for each broken rule."""
    return float(1.0 - tree["worth"] + sum(tree[name] > 0 for name in RULES))


def judged(data: bytes) -> dict[str, Any]:
    """Play a day given as bytes; for workers."""
    return runs.summary(runs.play(decode(data)))


@dataclass(frozen=True, slots=True)
class Found:
    """A bad day, and its run's figures."""

    day: Day
    tree: dict[str, Any]

    @property
    def badness(self) -> float:
        """How bad."""
        return badness(self.tree)


def _moved(day: Day, rng: np.random.Generator) -> Day:
    """A neighbour: one strike at another time, longer, elsewhere, or once more."""
    strikes = list(day.strikes)
    if not strikes:
        return day
    at = int(rng.integers(len(strikes)))
    one = strikes[at]
    span = one.end - one.start
    change = int(rng.integers(4))
    if change == 0:
        shift = float(rng.uniform(-3000.0, 3000.0))
        start = min(max(day.warm, one.start + shift), day.end * 0.75)
        new = msgspec.structs.replace(one, start=start, end=start + span)
    elif change == 1:
        new = msgspec.structs.replace(one, end=one.start + span * float(rng.uniform(0.7, 1.5)))
    elif change == 2:
        # At a target that another strike has: two troubles at one destination.
        other = strikes[int(rng.integers(len(strikes)))]
        alike = (other.kind in SENDER_KINDS) == (one.kind in SENDER_KINDS)
        new = msgspec.structs.replace(one, targets=other.targets if alike else one.targets)
    else:
        start = min(one.start + float(rng.uniform(0.0, 4000.0)), day.end * 0.75)
        strikes.append(msgspec.structs.replace(one, start=start, end=start + span))
        new = one
    strikes[at] = new
    return msgspec.structs.replace(day, strikes=sorted(strikes, key=lambda x: (x.start, x.kind, x.targets)))


SENDER_KINDS = frozenset({"sender_crash", "sender_roll", "stale_list"})


def search(
    deployment: Deployment,
    seed: int,
    draws: int,
    steps: int,
    jobs: int | None = None,
    say: Callable[[str], None] = lambda _: None,
) -> Found:
    """The worst of so many draws, made worse by rounds of neighbours. The same seed finds the same."""
    rng = np.random.default_rng([seed, 18])
    with ProcessPoolExecutor(jobs or os.cpu_count() or 1, multiprocessing.get_context("spawn")) as pool:
        days = [draw(deployment, seed * 100_000 + i) for i in range(draws)]
        trees = list(pool.map(judged, [encode(day) for day in days]))
        worst = max(
            (Found(day, tree) for day, tree in zip(days, trees, strict=True)), key=lambda one: one.badness
        )
        say(f"worst of {draws} days drawn: {worst.badness:.4f} (seed {worst.day.seed})")
        for step in range(steps):
            days = [_moved(worst.day, rng) for _ in range(NEIGHBOURS)]
            trees = list(pool.map(judged, [encode(day) for day in days]))
            best = max(
                (Found(day, tree) for day, tree in zip(days, trees, strict=True)), key=lambda one: one.badness
            )
            if best.badness > worst.badness:
                worst = best
                say(f"step {step + 1}: {worst.badness:.4f}")
    return worst


def shrink(found: Found, say: Callable[[str], None] = lambda _: None) -> Found:
    """The same day with only the strikes that matter, and of its messages those around them."""
    calm = judged(encode(msgspec.structs.replace(found.day, strikes=[])))
    wanted = badness(calm) + KEEPS * (found.badness - badness(calm))
    rules = {name for name in RULES if found.tree[name]}

    def still(day: Day) -> Found | None:
        tree = judged(encode(day))
        if rules:
            return Found(day, tree) if any(tree[name] for name in rules) else None
        return Found(day, tree) if badness(tree) >= wanted else None

    best = found
    for strike in list(best.day.strikes):
        left = [one for one in best.day.strikes if one is not strike]
        smaller = still(msgspec.structs.replace(best.day, strikes=left))
        if smaller is not None:
            best = smaller
    say(f"{len(found.day.strikes)} strikes shrunk to {len(best.day.strikes)}")
    if rules:  # worth is a matter of the whole load; a broken rule may need little of it
        best = _fewer_orders(best, still)
        say(f"{len(found.day.orders)} messages shrunk to {len(best.day.orders)}")
    return best


def _fewer_orders(found: Found, still: Callable[[Day], Found | None]) -> Found:
    best, size = found, max(1, len(found.day.orders) // 4)
    while size >= max(1, len(best.day.orders) // 64):
        at = 0
        while at < len(best.day.orders):
            left: list[Order] = best.day.orders[:at] + best.day.orders[at + size :]
            smaller = still(msgspec.structs.replace(best.day, orders=left)) if left else None
            if smaller is not None:
                best = smaller
            else:
                at += size
        size //= 2
    return best


def explained(found: Found) -> dict[str, Any]:
    """What an incident's page needs."""
    strikes: list[Strike] = found.day.strikes
    losses = {
        name.removeprefix("lost_to_"): value
        for name, value in found.tree.items()
        if name.startswith("lost_to_") and value
    }
    return {
        "digest": found.day.digest(),
        "deployment": found.day.deployment,
        "seed": found.day.seed,
        "worth": found.tree["worth"],
        "rules_broken": [name for name in RULES if found.tree[name]],
        "messages": len(found.day.orders),
        "lost_to": losses,
        "strikes": [
            {
                "kind": one.kind,
                "targets": one.targets,
                "from_s": one.start / 1000.0,
                "to_s": one.end / 1000.0,
                "share": one.share,
                "factor": one.factor,
            }
            for one in strikes
        ],
    }


class Kept(msgspec.Struct, frozen=True):
    """A found day in few bytes: what it was drawn from, its strikes, and what it came to."""

    deployment: str
    seed: int
    strikes: list[Strike]
    digest: str
    worth: float
    why: str = ""


def keep(found: Found, why: str = "") -> bytes:
    """A found day as a small file; its messages are those of its draw."""
    day = found.day
    return msgspec.json.format(
        msgspec.json.encode(
            Kept(day.deployment, day.seed, day.strikes, day.digest(), found.tree["worth"], why)
        )
    )


def replay(data: bytes, deployment: Deployment) -> tuple[Day, Kept]:
    """The day of a small file. Raises ValueError if its deployment draws another by now."""
    kept = msgspec.json.decode(data, type=Kept)
    day = msgspec.structs.replace(draw(deployment, kept.seed), strikes=kept.strikes)
    if day.digest() != kept.digest:
        raise ValueError(f"{kept.deployment} has changed: it draws another day than the one that was kept")
    return day, kept
