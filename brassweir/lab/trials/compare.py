"""The same day on both stages: simulated time and real sockets, side by side, and where they disagree.

What the sockets have and the model has not (cryptography, parsing, the interpreter) makes them slower by
some tens of milliseconds a message: that is allowed for. Beyond it, and beyond the luck of one day, the
model is wrong.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from brassweir.lab.judges.tape import Answered, HandIn, Tape
from brassweir.lab.models import worth
from brassweir.lab.models.day import Day
from brassweir.lab.rigs.fleet import Fleet
from brassweir.lab.rigs.plan import ClassPlan, FleetPlan
from brassweir.lab.rigs.play import play
from brassweir.lab.rigs.script import Day as SocketDay
from brassweir.lab.simulated import runs
from brassweir.lab.standins.client import Order as SocketOrder
from brassweir.lab.standins.works import Trouble

KINDS = {
    "crash": "refuse",
    "hang": "hang",
    "slow": "slow",
    "lost": "lost",
    "errors": "fast_errors",
    "reset": "reset",
    "shut": "shut",
}
OVERHEAD = 120.0  # ms more that a message may take over sockets, at the median: cryptography on both sides
APART = 0.06  # difference in a share (of worth, of answers) that one day's luck does not explain
FACTOR = 2.5  # of the 99th percentiles


@dataclass(frozen=True, slots=True)
class Line:
    """One figure on both stages."""

    name: str
    simulated: float
    sockets: float
    agrees: bool


def on_sockets(day: Day) -> tuple[SocketDay, list[str]]:
    """The day as the socket stage plays it, and what of it that stage has not."""
    classes = tuple(
        ClassPlan(
            one.name, one.effect, one.aim / 1000.0, one.deadline / 1000.0, one.window / 1000.0, one.in_order
        )
        for one in day.classes
    )
    plan = FleetPlan(
        senders=day.senders.count,
        clients=3,
        async_clients=0,
        partners={home.name: home.manner for home in day.homes},
        endpoints=max(len(home.endpoints) for home in day.homes),
        slots=day.senders.slots,
        max_open=day.senders.max_open,
        classes=classes,
    )
    made = SocketDay(day.deployment, day.end / 1000.0 + 2.0, plan)
    deadlines = {one.name: one.deadline / 1000.0 for one in day.classes}
    effects = {one.name: one.effect for one in day.classes}
    for number, order in enumerate(day.orders):
        home = day.homes[order.destination - 1]
        made.orders.append(
            (
                order.client % 3,
                SocketOrder(
                    order.at / 1000.0,
                    f"p-{number}",
                    order.class_name,
                    effects[order.class_name],
                    home.name,
                    order.key.replace(".", "-"),
                    deadlines[order.class_name],
                    order.sender,
                ),
            )
        )
    left_out = []
    for one in day.strikes:
        names = (
            [day.homes[target - 1].name for target in one.targets]
            if not one.kind.startswith("sender")
            else []
        )
        if one.kind in KINDS:
            for name in names:
                made.troubles.setdefault(name, []).append(
                    Trouble(KINDS[one.kind], one.start / 1000.0, one.end / 1000.0, one.share, one.factor)
                )
        elif one.kind in ("drain", "gone"):
            state = "draining" if one.kind == "drain" else "gone"
            made.lists += [
                (one.start / 1000.0, {f"{name}-a": state for name in names}),
                (one.end / 1000.0, {f"{name}-a": "ready" for name in names}),
            ]
        elif one.kind == "sender_crash":
            made.kills += [(one.start / 1000.0, target) for target in one.targets]
        elif one.kind == "sender_roll":
            made.drains += [(one.start / 1000.0, target) for target in one.targets]
        elif one.kind != "burst":  # that is in the orders already
            left_out.append(one.kind)
    made.lists.sort(key=lambda one: one[0])
    return made, left_out


def rows_of(day: Day, tape: Tape) -> list[dict[str, Any]]:
    """What became of each message on sockets, as the simulated stage tells it."""
    classes = {one.name: one for one in day.classes}
    first: dict[str, float] = {}
    last: dict[str, Answered] = {}
    for one in tape.seen:
        if isinstance(one, HandIn):
            first.setdefault(one.payment, one.at)
        elif isinstance(one, Answered) and one.answer in ("delivered", "refused", "failed"):
            last[one.payment] = one
    found = []
    for number, order in enumerate(day.orders):
        payment, cls = f"p-{number}", classes[order.class_name]
        got = last.get(payment)
        age = (got.at - first[payment]) * 1000.0 if got is not None else 0.0
        found.append(worth.row(order, number, cls, got.answer if got is not None else "", age, 0, 1, set()))
    return found


def figures(day: Day, rows: list[dict[str, Any]]) -> dict[str, float]:
    """What is compared: shares and percentiles over the messages after the warm-up."""
    counted = [row for row in rows if row["at_ms"] >= day.warm]
    ages = np.array([row["age_ms"] for row in counted if row["answer"] == "delivered"] or [0.0])
    full = sum(row["full_worth"] for row in counted) or 1.0
    tree = {"worth": sum(row["worth"] for row in counted) / full}
    for name in ("delivered", "refused", "failed"):
        tree[name] = sum(row["answer"] == name for row in counted) / max(1, len(counted))
    tree["p50_ms"], tree["p99_ms"] = (float(np.percentile(ages, at)) for at in (50, 99))
    return tree


def agree(simulated: dict[str, float], sockets: dict[str, float]) -> list[Line]:
    """Figure by figure, with whether they agree."""
    lines = []
    for name, model in simulated.items():
        real = sockets[name]
        if name == "p50_ms":
            good = -0.5 * OVERHEAD <= real - model <= OVERHEAD
        elif name == "p99_ms":
            good = model / FACTOR - OVERHEAD <= real <= model * FACTOR + OVERHEAD
        else:
            good = abs(real - model) <= APART
        lines.append(Line(name, round(model, 4), round(real, 4), good))
    return lines


async def compare(day: Day, folder: Path, model: Day | None = None) -> dict[str, Any]:
    """Play a day on both stages; ``model`` is played on simulated time in its place, to plant an error."""
    simulated = runs.play(model or day)
    script, left_out = on_sockets(day)
    fleet = Fleet(folder, script.plan, day.seed)
    report = await play(script, day.seed, folder, fleet=fleet)
    lines = agree(figures(day, simulated.rows), figures(day, rows_of(day, fleet.tape)))
    return {
        "day": day.digest(),
        "messages": len(day.orders),
        "agrees": all(line.agrees for line in lines),
        "figures": {
            line.name: {"simulated": line.simulated, "sockets": line.sockets, "agrees": line.agrees}
            for line in lines
        },
        "rules_broken": {
            "simulated": sum(map(len, simulated.verdict.broken.values())),
            "sockets": sum(map(len, report.verdict.broken.values())),
        },
        "not_on_sockets": left_out,
    }
