"""A day: one seeded draw from a deployment, whole enough to be played without it, and its file (JSON)."""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec

from brassweir.lab.models.desk import Manner


class ClassPlan(msgspec.Struct, frozen=True):
    """A class. Times in ms."""

    name: str
    effect: str
    aim: float
    deadline: float
    window: float
    in_order: bool
    late_worth: float
    weight: float


class Home(msgspec.Struct, frozen=True, omit_defaults=True):  # so that days of before keep their digests
    """A destination; its number is its place in the list, from 1."""

    name: str
    kind: str
    manner: Manner
    endpoints: list[str]
    near: float  # ms one way
    far: float
    zone: int
    says_crowded: bool = False  # over its connections it answers so, and does not just refuse


class Order(msgspec.Struct, frozen=True, array_like=True):
    """A message handed in at ``at`` (ms): by which client, at which sender, for which destination."""

    at: float
    client: int
    sender: int
    class_name: str
    destination: int
    key: str


class Strike(msgspec.Struct, frozen=True):
    """A trouble, from ``start`` to ``end`` (ms), at destinations or, for those kinds, at senders."""

    kind: str
    targets: list[int]
    start: float
    end: float
    share: float = 1.0
    factor: float = 1.0


class SenderPlan(msgspec.Struct, frozen=True, omit_defaults=True):
    """What all senders are set to."""

    count: int
    slots: int
    max_open: int
    zones: int
    max_attempts: int
    connect_timeout: float
    max_retry_after: float
    order_pause: float
    cold: float
    start_capacity: float
    tip_multiple: float
    commit: float
    idle: float | None = None  # for which an unused connection stands; None: the stage's own
    few_connections: bool = False


class ClientPlan(msgspec.Struct, frozen=True):
    """What clients do."""

    tries: int
    honour_wait: float
    backoff: float
    moves: float


class Day(msgspec.Struct, frozen=True):
    """All of it. Times in ms from the day's start."""

    deployment: str
    seed: int
    end: float
    warm: float
    classes: list[ClassPlan]
    batches: dict[str, int]
    apart: list[str]
    homes: list[Home]
    senders: SenderPlan
    clients: ClientPlan
    orders: list[Order]
    strikes: list[Strike]
    list_delays: list[float]  # of each sender

    def digest(self) -> str:
        """The same for the same day, wherever it was drawn."""
        return hashlib.sha256(encode(self)).hexdigest()[:16]


def encode(day: Day) -> bytes:
    """A day as JSON."""
    return msgspec.json.encode(day)


def decode(data: bytes) -> Day:
    """Read one. Raises ValueError with the field."""
    try:
        return msgspec.json.decode(data, type=Day)
    except msgspec.DecodeError as error:
        raise ValueError(f"no day: {error}") from None


def summary(day: Day) -> dict[str, Any]:
    """What a day holds, in a few figures."""
    return {
        "deployment": day.deployment,
        "seed": day.seed,
        "digest": day.digest(),
        "seconds": day.end / 1000.0,
        "messages": len(day.orders),
        "destinations": len(day.homes),
        "senders": day.senders.count,
        "strikes": [
            f"{one.kind} at {one.targets[:5]} {one.start / 1000:.1f}-{one.end / 1000:.1f} s"
            for one in day.strikes
        ],
    }
