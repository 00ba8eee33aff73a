"""Scripts of days: what is handed in when, and what goes wrong where; and how their parts are drawn."""

from __future__ import annotations

from dataclasses import dataclass, field

import numpy as np

from brassweir.forward.message import Mode
from brassweir.lab.rigs.plan import ClassPlan, FleetPlan
from brassweir.lab.standins.client import Order
from brassweir.lab.standins.shipper import ACK_TIMEOUT, Load
from brassweir.lab.standins.works import Trouble


@dataclass(slots=True)
class Day:
    """One day. ``lists`` are changes of endpoints' states, ``drains`` senders drained and restarted."""

    name: str
    seconds: float
    plan: FleetPlan
    orders: list[tuple[int, Order]] = field(default_factory=list)  # client, order
    troubles: dict[str, list[Trouble]] = field(default_factory=dict)
    lists: list[tuple[float, dict[str, str]]] = field(default_factory=list)
    drains: list[tuple[float, int]] = field(default_factory=list)
    kills: list[tuple[float, int]] = field(default_factory=list)  # senders ended with SIGKILL and restarted
    loads: list[tuple[int, Load]] = field(default_factory=list)  # shipper, chunk
    storms: list[float] = field(default_factory=list)  # all shippers drop their connections at once
    answer_grace: float = 1.0  # seconds that a final answer may take beyond a message's time


def add_orders(day: Day, rng: np.random.Generator, rate: float, until: float, shares: np.ndarray) -> None:
    """Messages at random over the day, by a Poisson process; keys are few, so that they meet."""
    at, number = 0.5, 0
    names = list(day.plan.partners)
    while True:
        at += rng.exponential(1.0 / rate)
        if at > until:
            break
        number += 1
        partner = names[int(rng.choice(len(names), p=shares))]
        cls = day.plan.classes[int(rng.choice(3, p=[0.35, 0.35, 0.3]))]
        add_order(day, rng, at, f"p-{number}", cls, partner, bool(rng.random() < 0.04))
    day.orders.sort(key=lambda one: one[1].at)


def add_order(
    day: Day,
    rng: np.random.Generator,
    at: float,
    payment: str,
    cls: ClassPlan,
    partner: str,
    drops: bool = False,
) -> None:
    """One message of a client's, handed to any sender, or to the one that keeps its key's order."""
    client = int(rng.integers(day.plan.clients))
    sender = int(rng.integers(day.plan.senders))
    key = ""
    if cls.in_order:
        key = f"{partner}-{int(rng.integers(3))}".replace(" ", "_")
        sender = int(rng.integers(day.plan.senders)) if not key else hash_of(key) % day.plan.senders
    near_drain = any(abs(at - when) < 10.0 and sender == who for when, who in day.drains)
    day.orders.append(
        (
            client,
            Order(
                at,
                payment,
                cls.name,
                cls.effect,
                partner,
                key,
                cls.deadline,
                sender,
                drops and not near_drain,
            ),
        )
    )


def hash_of(text: str) -> int:
    """The same small number for a text in every process."""
    return sum((i + 1) * byte for i, byte in enumerate(text.encode()))


def add_load(day: Day, rng: np.random.Generator, at: float, payment: str, cls: ClassPlan, home: str) -> None:
    """One chunk of a shipper's."""
    shipper = int(rng.integers(day.plan.shippers))
    # Each shipper has one sender, as shippers do; a key's order is kept by one sender.
    key = f"{home}.k{int(rng.integers(3))}" if cls.in_order else ""
    mode = list(Mode)[int(rng.integers(4))]
    tag = f"{cls.name}.{key or home}.{payment}"
    day.loads.append(
        (
            shipper,
            Load(
                at,
                payment,
                cls.name,
                cls.effect,
                home,
                tag,
                shipper % day.plan.senders,
                ACK_TIMEOUT,
                mode,
                int(rng.integers(1, 40)),
                key=key,
            ),
        )
    )


def add_trouble(
    day: Day,
    rng: np.random.Generator,
    free: dict[str, float],
    among: list[str],
    kind: str,
    span: float,
    share: float,
    factor: float,
) -> None:
    """Put a trouble where there is room soonest, at random among the first two: so they overlap in time."""
    order = sorted(among, key=lambda name: free[name])
    name = order[int(rng.integers(min(2, len(order))))]
    start = free[name] + float(rng.uniform(0.5, 2.5))
    if start + span > day.seconds - 10.0:
        start = max(free[name], day.seconds - 10.0 - span)
    day.troubles.setdefault(name, []).append(Trouble(kind, start, start + span, share, factor))
    free[name] = start + span + 3.0
