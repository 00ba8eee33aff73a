"""The day that is played over the copies: messages to partners that fail a little, and clients that ask the
other region too. Seeded."""

from __future__ import annotations

import numpy as np

from brassweir.lab.models.desk import Manner
from brassweir.lab.rigs.plan import ClassPlan, FleetPlan
from brassweir.lab.rigs.script import Day, hash_of
from brassweir.lab.standins.client import Order
from brassweir.lab.standins.works import Trouble

RATE_MOST = 30.0  # messages a second from all clients
PATIENCE = 8.0  # s beyond a message's time for which clients ask on; longer than one copy is ever away
CLASSES = (
    ClassPlan("payment", "unsafe", 1.5, 4.0),
    ClassPlan("order", "keyed", 1.5, 4.0, window=16.0, in_order=True),
    ClassPlan("status", "safe", 1.0, 4.0),
)
DROPS = 0.15  # share of messages whose client breaks off early, then asks both regions
LONGEST = max(cls.deadline for cls in CLASSES)


def day(seed: int, seconds: float, rate: float, regions: list[str]) -> Day:
    """One day. ``regions``: the region of each copy, by its number."""
    rng = np.random.default_rng([seed, 30])
    partners = {
        "north-bank": Manner(workers=4, service=0.04),
        "rail-cargo": Manner(workers=4, service=0.04),
        "harbour": Manner(workers=8, service=0.2, asynchronous=True),
    }
    plan = FleetPlan(
        senders=len(regions),
        clients=2,
        partners=partners,
        slots=24,
        max_open=300,
        drain_grace=5.0,
        classes=CLASSES,
    )
    made = Day("between", seconds, plan, answer_grace=PATIENCE + 2.0)
    made.troubles = {
        "north-bank": [Trouble("lost", 0.2 * seconds, 0.35 * seconds, 0.3)],
        "rail-cargo": [Trouble("shut", 0.4 * seconds, 0.4 * seconds + 2.0, factor=1.0)],
    }
    names, at, number = list(partners), 0.5, 0
    while (at := at + float(rng.exponential(1.0 / min(rate, RATE_MOST)))) < seconds - LONGEST:
        number += 1
        cls = CLASSES[int(rng.integers(3))]
        partner = names[int(rng.integers(3))]
        key = f"{partner}-{int(rng.integers(2))}" if cls.in_order else ""
        # Each message and each key has one copy in every region: repeats there meet its journal.
        lot = hash_of(key) if key else int(rng.integers(1 << 30))
        homes = [[i for i, where in enumerate(regions) if where == name] for name in dict.fromkeys(regions)]
        places = [group[lot % len(group)] for group in homes]
        first = lot // 7 % len(places)
        # A safe one has no owner: two regions that are asked would take it as two.
        elsewhere = places[(first + 1) % len(places)] if len(places) > 1 and cls.effect != "safe" else None
        made.orders.append(
            (
                int(rng.integers(plan.clients)),
                Order(
                    at,
                    f"p-{number}",
                    cls.name,
                    cls.effect,
                    partner,
                    key,
                    cls.deadline,
                    places[first],
                    drops=bool(rng.random() < DROPS),
                    patience=PATIENCE,
                    elsewhere=elsewhere,
                ),
            )
        )
    return made
