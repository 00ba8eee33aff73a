"""The days that the laboratory plays over sockets. One seed, one day."""

from __future__ import annotations

from dataclasses import replace

import numpy as np

from brassweir.lab.models.desk import Manner
from brassweir.lab.rigs.plan import FleetPlan
from brassweir.lab.rigs.script import Day, add_load, add_order, add_orders, add_trouble
from brassweir.lab.standins.works import Trouble

# A kind of trouble: what it does, how long it may last, share of calls struck, factor. First, those of all.
ANYWHERE = (
    ("lost", 4.0, 7.0, 0.5, 1.0),
    ("hang", 4.0, 7.0, 1.0, 1.0),
    ("slow", 5.0, 8.0, 1.0, 6.0),
    ("fast_errors", 4.0, 7.0, 0.6, 1.0),
    ("reset", 3.0, 6.0, 0.6, 1.0),
    ("refuse", 4.0, 7.0, 1.0, 1.0),
)
# Every kind of the bad day.
BAD_DAY = (
    *ANYWHERE,
    ("shut", 4.0, 6.0, 1.0, 1.0),
    ("shut", 4.0, 6.0, 1.0, 0.0),
    ("bad_mic", 3.0, 5.0, 0.5, 1.0),
    ("wrong_signer", 3.0, 5.0, 0.5, 1.0),
    ("unsigned", 3.0, 5.0, 0.5, 1.0),
    ("other_message", 3.0, 5.0, 0.5, 1.0),
    ("garbage", 3.0, 5.0, 0.5, 1.0),
    ("cut_head", 3.0, 5.0, 0.5, 1.0),
    ("reset_after", 3.0, 5.0, 0.5, 1.0),
)
ASYNC_ONLY = (
    ("early_receipt", 4.0, 6.0, 0.7, 1.0),
    ("second_receipt", 4.0, 6.0, 0.7, 1.0),
    ("late_receipt", 4.0, 6.0, 0.5, 1.0),
)


# What a forward destination can do wrong; garbage and bad_mic (an ack for another chunk) come after the work.
SINK_DAY = (
    *ANYWHERE,
    ("garbage", 3.0, 5.0, 0.5, 1.0),
    ("bad_mic", 3.0, 5.0, 0.5, 1.0),
    ("cut_head", 3.0, 5.0, 0.5, 1.0),
    ("reset_after", 3.0, 5.0, 0.5, 1.0),
)


def demo(seed: int) -> Day:
    """A short bad day: one sender, three partners, some hundred messages in a dozen seconds."""
    rng = np.random.default_rng(seed)
    partners = {"ferry-line": Manner(), "rail-cargo": Manner(rate=15.0), "harbour": Manner(asynchronous=True)}
    day = Day("demo", 12.0, FleetPlan(partners=partners, drain_grace=5.0))
    day.troubles = {
        "ferry-line": [Trouble("lost", 2.0, 4.0, 0.5), Trouble("refuse", 6.0, 8.5)],
        "rail-cargo": [Trouble("shut", 4.0, 6.0, factor=1.0), Trouble("bad_mic", 8.0, 9.0, 0.5)],
        "harbour": [Trouble("second_receipt", 1.0, 4.0), Trouble("late_receipt", 7.0, 8.0, 0.5)],
    }
    day.lists = [(3.0, {"rail-cargo-b": "draining"}), (7.0, {"rail-cargo-b": "ready"})]
    add_orders(day, rng, 12.0, 10.5, np.array([0.4, 0.3, 0.3]))
    return day


def bad(seed: int, seconds: float = 66.0) -> Day:
    """The scripted bad day: four senders, eight partners, every trouble, several at a time."""
    rng = np.random.default_rng(seed)
    partners = {
        "north-bank": Manner(workers=2, service=0.04),
        "south-bank": Manner(workers=2, service=0.04, rate=8.0, reports=True),
        "ferry-line": Manner(workers=3, service=0.05, rate=6.0, span=2.0),
        "rail-cargo": Manner(workers=2, service=0.04, connections=12),
        "harbour": Manner(workers=2, service=0.04, asynchronous=True),
        "customs": Manner(workers=2, service=0.05, asynchronous=True, rate=6.0),
        "post-office": Manner(workers=2, service=0.04, tells_wait=0.0, rate=6.0),
        "airfreight": Manner(workers=2, service=0.06),
    }
    day = Day("bad", seconds, FleetPlan(senders=4, clients=3, partners=partners, slots=24, max_open=300))
    names = list(partners)
    day.drains = [(float(rng.uniform(0.45, 0.6)) * seconds, int(rng.integers(4)))]
    drained = names[int(rng.integers(len(names)))]
    moved = names[int(rng.integers(len(names)))]
    at = float(rng.uniform(0.2, 0.3)) * seconds
    day.lists = [
        (at, {f"{drained}-a": "draining"}),
        (at + 4.0, {f"{drained}-a": "gone"}),
        (at + 14.0, {f"{drained}-a": "ready"}),
        (at + 20.0, {f"{moved}-b": "draining"}),
        (at + 30.0, {f"{moved}-b": "ready"}),
    ]
    # A receipt is lost while its endpoint drains.
    day.troubles[drained] = [Trouble("lost", at - 1.0, at + 2.0, 0.6)]
    free = {name: 3.0 for name in names}
    free[drained] = at + 4.0
    for kind, low, high, share, factor in BAD_DAY:
        add_trouble(day, rng, free, names, kind, float(rng.uniform(low, high)), share, factor)
    waiting = [name for name in names if partners[name].asynchronous]
    for kind, low, high, share, factor in ASYNC_ONLY:
        add_trouble(day, rng, free, waiting, kind, float(rng.uniform(low, high)), share, factor)
    shares = np.array([0.2, 0.12, 0.12, 0.14, 0.14, 0.08, 0.08, 0.12])
    add_orders(day, rng, 26.0, seconds - 8.0, shares)
    # Bursts for a partner that has just told everybody to wait, and one in the middle of the drain.
    shut = next(
        (
            (name, one)
            for name, found in day.troubles.items()
            for one in found
            if one.kind == "shut" and one.factor
        ),
        None,
    )
    bursts = [(day.drains[0][0] - 0.3, names[0])] + ([(shut[1].start + 0.8, shut[0])] if shut else [])
    for number, (when, partner) in enumerate(bursts):
        for i in range(24):
            add_order(day, rng, when + i * 0.02, f"p-burst{number}-{i}", day.plan.classes[i % 3], partner)
    day.orders.sort(key=lambda one: one[1].at)
    return day


def mixed(seed: int, seconds: float = 66.0) -> Day:
    """The bad day with both fronts: shippers and forward destinations beside clients and partners, everybody
    sending to everybody, and shippers that reconnect all at once."""
    day = bad(seed, seconds)
    rng = np.random.default_rng([seed, 17])
    sinks = {
        "log-store": Manner(workers=3, service=0.04),
        "metrics-hub": Manner(workers=2, service=0.04),
        "audit-trail": Manner(workers=2, service=0.05, connections=12),
    }
    day.plan.sinks, day.plan.shippers = sinks, 4
    names = list(sinks)
    free = {name: 3.0 for name in names}
    for kind, low, high, share, factor in SINK_DAY:
        add_trouble(day, rng, free, names, kind, float(rng.uniform(low, high)), share, factor)
    day.lists = sorted(
        [
            *day.lists,
            (0.35 * seconds, {"log-store-b": "draining"}),
            (0.5 * seconds, {"log-store-b": "ready"}),
        ],
        key=lambda one: one[0],
    )
    day.storms = [float(rng.uniform(0.3, 0.4)) * seconds, float(rng.uniform(0.6, 0.7)) * seconds]
    at, number = 0.5, 0
    homes = [*names, *day.plan.partners]
    shares = np.array([0.2] * len(names) + [0.4 / len(day.plan.partners)] * len(day.plan.partners))
    allowed = [cls for cls in day.plan.classes if cls.effect != "unsafe"]
    while (at := at + float(rng.exponential(1.0 / 14.0))) < seconds - 12.0:
        number += 1
        cls = allowed[int(rng.integers(len(allowed)))]
        add_load(
            day, rng, at, f"p-f{number}", cls, homes[int(rng.choice(len(homes), p=shares / shares.sum()))]
        )
    for i in range(40):  # a burst right after each storm, for one destination
        at = day.storms[i % 2] + 0.3 + 0.02 * i
        add_load(day, rng, at, f"p-fburst{i}", allowed[i % len(allowed)], names[i % 2])
    # AS2 clients send to forward destinations as well.
    for i in range(int(4.0 * (seconds - 10.0))):
        at = 0.5 + i / 4.0
        add_order(day, rng, at, f"p-x{i}", day.plan.classes[i % 3], names[int(rng.integers(len(names)))])
    day.orders.sort(key=lambda one: one[1].at)
    day.loads.sort(key=lambda one: one[1].at)
    return day


PATIENCE = 10.0  # seconds for which clients of a crash day go on asking


def crash(seed: int, kills: int, rate: float) -> Day:
    """Senders killed under load, again and again, at moments drawn; partners lose receipts meanwhile."""
    rng = np.random.default_rng(seed)
    partners = {
        "north-bank": Manner(workers=4, service=0.05),
        "south-bank": Manner(workers=4, service=0.05),
        "harbour": Manner(workers=4, service=0.05, asynchronous=True),
        "customs": Manner(workers=4, service=0.05, rate=10.0),
    }
    gap = 0.7  # seconds between two kills; each sender has some three to come back
    seconds = 4.0 + kills * gap + PATIENCE
    day = Day(
        "crash",
        seconds,
        FleetPlan(senders=4, clients=3, partners=partners, slots=24, max_open=300),
        answer_grace=PATIENCE + 2.0,
    )
    day.kills = [(3.0 + i * gap + float(rng.uniform(0.0, 0.5)), i % 4) for i in range(kills)]
    span = 3.0 + kills * gap
    day.troubles = {
        "north-bank": [Trouble("lost", 4.0 + 9.0 * i, 7.0 + 9.0 * i, 0.3) for i in range(int(span / 9))],
        "south-bank": [
            Trouble("shut", 6.0 + 12.0 * i, 8.5 + 12.0 * i, factor=1.0) for i in range(int(span / 12))
        ],
    }
    add_orders(day, rng, rate, span, np.array([0.3, 0.3, 0.25, 0.15]))
    day.orders = [(client, replace(order, patience=PATIENCE)) for client, order in day.orders]
    day.plan.sinks, day.plan.shippers = {"log-store": Manner(workers=4, service=0.05)}, 4
    day.troubles["log-store"] = [
        Trouble("lost", 5.0 + 11.0 * i, 8.0 + 11.0 * i, 0.3) for i in range(int(span / 11))
    ]
    allowed = [cls for cls in day.plan.classes if cls.effect != "unsafe"]
    at, number, homes = 1.0, 0, ["log-store", "log-store", "north-bank"]
    while (at := at + float(rng.exponential(2.0 / rate))) < span:
        number += 1
        add_load(day, rng, at, f"p-f{number}", allowed[number % 2], homes[int(rng.integers(3))])
    return day
