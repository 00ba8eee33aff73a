"""Types, events and actions of the decision module; times are milliseconds, rates calls a second."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class SettingsError(ValueError):
    """A setting is missing or makes no sense."""


class MisuseError(ValueError):
    """The caller broke the contract of the interface (duplicate id, unknown class)."""


def _check(name: str, value: object, good: bool) -> None:
    """Not-a-number fails every comparison, so it is refused as well."""
    if not good:
        raise SettingsError(f"setting {name} has the bad value {value!r}")


class Effect(Enum):
    """What a repeat of a message would do at its destination."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Result(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    BUSY = "full"
    TIMEOUT = "timeout"
    NO_CONNECTION = "no_connection"
    CONNECTION_LIMIT = "crowded"  # answered on a new connection: the endpoint takes no more of them
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"


NEVER_RAN = frozenset({Result.BUSY, Result.NO_CONNECTION, Result.CONNECTION_LIMIT, Result.NOT_STARTED})
CONNECTION_SHORTAGE = frozenset({Result.NO_CONNECTION, Result.CONNECTION_LIMIT})


class EntryState(Enum):
    """What the endpoint list says of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """Which part of the endpoint list a piece of news carries."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"
    UNCONFIRMED = "unconfirmed"  # nobody vouches for the list now: nothing new may be sent until
    USABLE = "usable"  # it was confirmed, or its source stays silent and the last list has to do


@dataclass(frozen=True, slots=True)
class MessageClass:
    """A class of message; ``group`` is the reach of an idempotency key, ``all`` or ``zone``."""

    name: str
    aim: float
    deadline: float
    effect: Effect
    late_worth: float = 0.0
    group: str = "all"
    window: float = 0.0
    in_order: bool = False


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """A kind of destination: separate routes or one limit, messages in one call."""

    name: str
    separate_routes: bool = False
    batch: int = 1


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a sender is told at start."""

    classes: tuple[MessageClass, ...]
    slots: int
    max_open: int
    senders: int = 1
    kinds: tuple[DestinationKind, ...] = ()
    max_attempts: int = 6
    connect_timeout: float = 1000.0
    idle_close: float = 0.0  # idle connections close by themselves after this; 0 if unknown
    few_connections: bool = False  # the protocol says that endpoints hold only so many
    max_retry_after: float = 0.0
    tick: float = 1.0
    concurrent_attempts: bool = False
    request_list: bool = False
    request_list_within: float = 10000.0
    weights: str = "none"
    worth_halves: bool = False  # worth halves with each further aim; else it falls evenly
    cold: float = 10000.0
    start_capacity: float = 0.2
    tip_multiple: float = 1.5
    order_pause: float = 0.0

    def __post_init__(self) -> None:
        """Refuse settings that make no sense, in one error that names the setting."""
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
    """One entry of the endpoint list; ``rate`` is the rate its destination takes from all senders."""

    name: str
    destination: int
    kind: str
    zone: str = ""
    state: EntryState = EntryState.READY
    rate: float = 0.0


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """News of the endpoint list."""

    kind: ListKind
    entries: tuple[EndpointInfo, ...] = ()


@dataclass(frozen=True, slots=True)
class NewMessage:
    """A client hands in a message; ``left`` is the time in which it may still be delivered, ``resent`` says
    that the client marks it as another try, ``admitted`` that it was taken on before a restart."""

    id: int
    class_name: str
    destination: int
    left: float
    key: str = ""
    resent: bool = False
    admitted: bool = False


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has its outcome; ``wait`` is a told wait, ``limit_left`` and ``limit`` a report."""

    id: int
    attempt: int
    endpoint: str
    result: Result
    latency: float
    closed: bool = False
    wait: float = 0.0
    limit_left: float | None = None
    limit: float | None = None


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Nobody waits for this message any more."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer that the module set has come due."""


@dataclass(frozen=True, slots=True)
class PastAttempt:
    """How an attempt ended before a restart, so long ago; told once, oldest first, after the list."""

    endpoint: str
    result: Result
    ago: float
    wait: float = 0.0


@dataclass(frozen=True, slots=True)
class StopScheduled:
    """This sender ends at a time; what it holds goes on after a restart, and a call out then is cut."""

    at: float


Event = ListUpdate | NewMessage | AttemptEnded | Withdrawn | TimerDue | PastAttempt | StopScheduled


@dataclass(frozen=True, slots=True)
class Send:
    """Call an endpoint with a message; the attempt is given up at ``abandon_at``."""

    id: int
    endpoint: str
    abandon_at: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: undelivered, a later try is harmless; ``retry_after`` says when."""

    id: int
    retry_after: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing is promised."""

    id: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class WatchList:
    """Ask for changes of the endpoint list."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Wake the module at this time."""

    at: float


Action = Send | Refuse | Fail | CloseIdle | WatchList | SetTimer
