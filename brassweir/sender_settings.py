"""Settings of the decision module; times are milliseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class SettingsError(ValueError):
    """A setting is missing or has an invalid value."""


def _check(name: str, value: object, good: bool) -> None:
    """Raise SettingsError unless ``good``, a comparison that NaN fails as well."""
    if not good:
        raise SettingsError(f"setting {name} has the invalid value {value!r}")


class Effect(Enum):
    """What a repeated message does at its destination."""

    SAFE = "safe"  # no harm: the operation is idempotent
    KEYED = "keyed"  # no harm while the destination remembers the message's idempotency key
    UNSAFE = "unsafe"  # it may run twice


@dataclass(frozen=True, slots=True)
class MessageClass:
    """A class of messages with the same targets and the same effect of repeats."""

    name: str
    aim: float  # target latency; 0 for none
    deadline: float  # time allowed for the final answer
    effect: Effect
    late_worth: float = 0.0  # share of its worth that a message still has at its deadline
    group: str = "all"  # endpoints that share idempotency keys: "all", or those of one "zone"
    window: float = 0.0  # how long a destination remembers an idempotency key
    in_order: bool = False  # messages with the same key go one at a time


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """A kind of destination."""

    name: str
    separate_routes: bool = False  # each endpoint has limits and outages of its own
    batch: int = 1  # messages in one call, at most


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a sender, fixed at start."""

    classes: tuple[MessageClass, ...]
    slots: int  # calls in flight at a time
    max_open: int  # messages without final answer, the upper end of the backlog bound
    senders: int = 1  # number of senders that share the destinations
    kinds: tuple[DestinationKind, ...] = ()
    max_attempts: int = 6  # per message
    connect_timeout: float = 1000.0
    idle_close: float = 0.0  # idle time after which connections close by themselves; 0 if unknown
    few_connections: bool = False  # endpoints accept few connections: close idle ones early
    max_retry_after: float = 0.0  # upper bound of Refuse.retry_after
    tick: float = 1.0  # resolution of timers
    concurrent_attempts: bool = False  # a second attempt may start while the first is in flight
    request_list: bool = False  # the endpoint list must be requested with WatchList
    request_list_within: float = 10000.0  # time allowed for that request
    weights: str = "none"  # other than "none": EndpointInfo.rate is a usable estimate of the limit
    worth_halves: bool = False  # a late message's worth halves with each further aim; else it falls evenly
    cold: float = 10000.0  # duration of slow start after an outage
    start_capacity: float = 0.2  # share of its capacity that a destination has right after an outage
    tip_multiple: float = 1.5  # x capacity: rate of calls at which a destination collapses
    order_pause: float = 0.0  # pause of a key after an attempt that may still be running
    tip_after: float = 2000.0  # how long a destination bears ``tip_multiple`` before it collapses

    def __post_init__(self) -> None:
        """Raise SettingsError, naming the setting, for the first value that is invalid."""
        for name in ("slots", "max_open", "max_attempts", "senders"):
            _check(name, getattr(self, name), getattr(self, name) >= 1)
        for name in ("connect_timeout", "tick", "start_capacity", "tip_multiple", "tip_after"):
            _check(name, getattr(self, name), 0 < getattr(self, name) < math.inf)
        for name in ("idle_close", "cold", "order_pause", "max_retry_after", "request_list_within"):
            _check(name, getattr(self, name), 0 <= getattr(self, name) < math.inf)
        _check("classes", names := [cls.name for cls in self.classes], len({*names}) == len(names) >= 1)
        _check("kinds", names := [kind.name for kind in self.kinds], len({*names}) == len(names))
        for cls in self.classes:
            _check(f"{cls.name}.deadline", cls.deadline, 0 < cls.deadline < math.inf)
            for name in ("aim", "window", "late_worth"):
                _check(f"{cls.name}.{name}", getattr(cls, name), 0 <= getattr(cls, name) < math.inf)
        for kind in self.kinds:
            _check(f"{kind.name}.batch", kind.batch, kind.batch >= 1)
