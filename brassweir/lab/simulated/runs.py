"""One simulated run and its summary: what experiments, searches and reports are made of."""

from __future__ import annotations

import json
import subprocess
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from brassweir.lab.judges.checker import judge
from brassweir.lab.judges.verdict import ClassFigures, Figures, Verdict
from brassweir.lab.models import worth
from brassweir.lab.models.day import Day, encode
from brassweir.lab.simulated.clients import PATIENCE
from brassweir.lab.simulated.stage import Stage


@dataclass(slots=True)
class Run:
    """A day played."""

    day: Day
    stage: Stage
    rows: list[dict[str, Any]]
    verdict: Verdict
    seconds: float  # real ones


def play(day: Day, trace: tuple[str, Path] | None = None) -> Run:
    """Play a day on the simulated stage; ``trace`` names a sender whose decisions are written to a file."""
    stage = Stage(day, trace)
    seconds = stage.run()
    classes = {one.name: one for one in day.classes}
    rows = [
        worth.row(
            fate.order,
            fate.number,
            classes[fate.order.class_name],
            fate.answer,
            fate.age,
            fate.tries,
            fate.attempts,
            fate.met,
        )
        for fate in stage.fates.values()
    ]
    broke = any(one.kind in ("sender_crash", "sender_roll") for one in day.strikes)
    # A client whose connection broke asks on beyond its message's time; the drain's grace has the list's
    # delay.
    figures = Figures(
        answer=1.0 + (PATIENCE / 1000.0 if broke else 0.0),
        drain=0.5 + max(day.list_delays) / 1000.0,
        again=2 if broke else 0,
    )
    classed = {one.name: ClassFigures(one.effect, one.window / 1000.0, one.in_order) for one in day.classes}
    return Run(day, stage, rows, judge(stage.tape, classed, figures), seconds)


def summary(run: Run) -> dict[str, Any]:
    """A run in figures, flat: one row of an experiment's table."""
    rows, warm = run.rows, run.day.warm
    counted = [row for row in rows if row["at_ms"] >= warm]
    full = sum(row["full_worth"] for row in counted)
    ages = np.array([row["age_ms"] for row in counted if row["answer"] == "delivered"] or [0.0])
    answers = Counter(row["answer"] or "unanswered" for row in counted)
    lost: Counter[str] = Counter()
    for row in counted:
        lost[row["lost_to"] or ""] += row["full_worth"] - row["worth"]
    tree: dict[str, Any] = {
        "day": run.day.digest(),
        "deployment": run.day.deployment,
        "seed": run.day.seed,
        "messages": len(counted),
        "worth": round(sum(row["worth"] for row in counted) / full, 6) if full else 1.0,
        "p50_ms": round(float(np.percentile(ages, 50)), 3),
        "p99_ms": round(float(np.percentile(ages, 99)), 3),
        "calls": sum(partner.calls for partner in run.stage.partners.values()),
        "simulated_s": run.day.end / 1000.0,
        "real_s": round(run.seconds, 3),
    }
    for name in ("delivered", "refused", "failed", "unanswered"):
        tree[name] = answers[name]
    for name in worth.LOSSES[1:]:
        tree["lost_to_" + name.replace(" ", "_")] = round(lost[name] / full, 6) if full else 0.0
    for rule, breaks in run.verdict.broken.items():
        tree[f"rule_{rule}_broken"] = len(breaks)
    return tree


def elsewhere(day: Day, code: Path, folder: Path) -> dict[str, Any]:
    """The summary of a day played by another checkout's code, in a process of its own.

    Raises RuntimeError with what that process said.
    """
    path = folder / f"{day.digest()}.day.json"
    path.write_bytes(encode(day))
    done = subprocess.run(
        [sys.executable, "-m", "brassweir", "lab", "sim", str(path), "--json"],
        cwd=code,
        capture_output=True,
        text=True,
        timeout=3600,
        check=False,
    )
    path.unlink()
    if not done.stdout.startswith("{"):
        raise RuntimeError(f"{code}: {done.stderr.strip()[-400:] or 'no answer'}")
    found: dict[str, Any] = json.loads(done.stdout)
    return found
