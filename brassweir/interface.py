"""Settings, events and actions of the decision module; times are milliseconds, rates calls a second."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class SettingsError(ValueError):
    """A setting is missing or has an invalid value."""


class MisuseError(ValueError):
    """The caller broke the contract of the interface (duplicate id, unknown class)."""


def _check(name: str, value: object, good: bool) -> None:
    """Raise SettingsError unless ``good``, a comparison that NaN fails as well."""
    if not good:
        raise SettingsError(f"setting {name} has the invalid value {value!r}")


class Effect(Enum):
    """What a repeated message does at its destination."""

    SAFE = "safe"  # no harm: the operation is idempotent
    KEYED = "keyed"  # no harm while the destination remembers the message's idempotency key
    UNSAFE = "unsafe"  # it may run twice


class Result(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # an answer that the call failed
    BUSY = "full"  # rejected by a rate limit or for overload, before it ran
    TIMEOUT = "timeout"
    NO_CONNECTION = "no_connection"
    CONNECTION_LIMIT = "crowded"  # a new connection was rejected: the endpoint takes no more of them
    RESET = "reset"  # the connection broke during the call
    CANCELLED = "cancelled"  # abandoned by this sender during the call
    NOT_STARTED = "moot"  # cancelled before the call started


# Results that prove that the message did not run, and those that mean a shortage of connections.
NEVER_RAN = frozenset({Result.BUSY, Result.NO_CONNECTION, Result.CONNECTION_LIMIT, Result.NOT_STARTED})
CONNECTION_SHORTAGE = frozenset({Result.NO_CONNECTION, Result.CONNECTION_LIMIT})


class EntryState(Enum):
    """The state of an endpoint in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"  # no new calls
    GONE = "gone"


class ListKind(Enum):
    """What an update of the endpoint list carries or says."""

    DELTA = "delta"  # changed entries only
    FULL = "full"  # all entries
    CACHED = "cached"  # all entries, from a stored copy
    FAILED = "failed"  # a request for the list failed
    UNCONFIRMED = "unconfirmed"  # the list may be outdated: no sends until USABLE
    USABLE = "usable"  # the list was confirmed, or its source has been silent for too long to wait for


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

    def __post_init__(self) -> None:
        """Raise SettingsError, naming the setting, for the first value that is invalid."""
        for name in ("slots", "max_open", "max_attempts", "senders"):
            _check(name, getattr(self, name), getattr(self, name) >= 1)
        for name in ("connect_timeout", "tick", "start_capacity", "tip_multiple"):
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


@dataclass(frozen=True, slots=True)
class EndpointInfo:
    """One entry of the endpoint list."""

    name: str
    destination: int
    kind: str
    zone: str = ""
    state: EntryState = EntryState.READY
    rate: float = 0.0  # calls a second that the destination takes from all senders; 0 if unknown


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """The endpoint list changed, or it became more or less reliable."""

    kind: ListKind
    entries: tuple[EndpointInfo, ...] = ()


@dataclass(frozen=True, slots=True)
class NewMessage:
    """A client submitted a message, or a restart brought one back."""

    id: int
    class_name: str
    destination: int
    left: float  # time left for its delivery
    key: str = ""  # orders the messages of classes with ``in_order``
    resent: bool = False  # the client marked it as a repeat
    admitted: bool = False  # accepted before a restart: not refused for the backlog


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended."""

    id: int
    attempt: int  # numbered from 0 for each message
    endpoint: str
    result: Result
    latency: float
    closed: bool = False  # the message has its final answer
    wait: float = 0.0  # requested by the destination, as with Retry-After
    limit_left: float | None = None  # reported share of the limit that is still unused
    limit: float | None = None  # reported limit, calls a second


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client no longer waits for this message."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set with SetTimer fired."""


@dataclass(frozen=True, slots=True)
class PastAttempt:
    """An attempt that ended before a restart; sent once, oldest first, after the endpoint list."""

    endpoint: str
    result: Result
    ago: float
    wait: float = 0.0  # requested by the destination at that time


@dataclass(frozen=True, slots=True)
class StopScheduled:
    """This sender stops at a time: calls in flight are cut off, open messages go on after a restart."""

    at: float


Event = ListUpdate | NewMessage | AttemptEnded | Withdrawn | TimerDue | PastAttempt | StopScheduled


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to an endpoint; abandon the attempt at ``abandon_at``."""

    id: int
    endpoint: str
    abandon_at: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not delivered, and a repeat after ``retry_after`` is harmless."""

    id: int
    retry_after: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the message may have run."""

    id: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class WatchList:
    """Request the endpoint list and its changes."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send TimerDue at this time."""

    at: float


Action = Send | Refuse | Fail | CloseIdle | WatchList | SetTimer
