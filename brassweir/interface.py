"""Types, events and actions of the decision module; times are milliseconds, rates calls a second."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class SettingsError(ValueError):
    """A setting is missing or makes no sense."""


class MisuseError(ValueError):
    """The caller broke the contract of the interface (duplicate id, unknown class)."""


class Effect(Enum):
    """What a repeat of a message would do at its destination."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Result(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    NO_CONNECTION = "no_connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


class State(Enum):
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


@dataclass(frozen=True, slots=True)
class MessageClass:
    """A class of message; ``group`` is the reach of an idempotency key, ``all`` or ``zone``."""

    name: str
    aim: float
    deadline: float
    effect: Effect
    worth: float = 1.0
    late_worth: float = 0.0
    group: str = "all"
    window: float = 0.0
    in_order: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and the messages a second, over all senders, that lie within its share."""

    name: str
    share: float
    rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of destination: separate routes or one limit, messages in one call."""

    name: str
    apart: bool = False
    batch: int = 1


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a sender is told at start."""

    classes: tuple[MessageClass, ...]
    slots: int
    max_open: int
    senders: int = 1
    kinds: tuple[Kind, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    max_attempts: int = 6
    connect_timeout: float = 1000.0
    idle_close: float = 0.0  # idle connections close by themselves after this; 0 if unknown
    max_retry_after: float = 0.0
    tick: float = 1.0
    probes: bool = False
    cancelling: bool = False
    second_copies: bool = False
    ask_list: bool = False
    ask_within: float = 10000.0
    weights: str = "none"
    over_share_worth: float = 1.0
    by_half: bool = False  # worth halves with each further aim; else it falls evenly
    zones: tuple[str, ...] = ()
    zone_fees: tuple[float, ...] = ()
    cold: float = 10000.0
    start_capacity: float = 0.2
    tip_multiple: float = 1.5
    order_pause: float = 0.0

    def __post_init__(self) -> None:
        """Refuse settings that make no sense, in one clear error."""
        if min(self.slots, self.max_open, self.max_attempts, self.senders, len(self.classes)) < 1:
            raise SettingsError("slots, max_open, max_attempts, senders and classes must be 1 or more")
        times = (self.connect_timeout, self.idle_close, self.cold, self.order_pause, self.max_retry_after)
        if min(times) < 0:
            raise SettingsError("times must not be negative")
        for cls in self.classes:
            if cls.deadline <= 0 or cls.aim < 0 or cls.window < 0:
                raise SettingsError(f"class {cls.name}: times must not be negative, its deadline above 0")


@dataclass(frozen=True, slots=True)
class EndpointInfo:
    """One entry of the endpoint list; ``rate`` is the rate its destination takes from all senders."""

    name: str
    destination: int
    kind: str
    zone: str = ""
    state: State = State.READY
    rate: float = 0.0


@dataclass(frozen=True, slots=True)
class ListNews:
    """News of the endpoint list."""

    kind: ListKind
    entries: tuple[EndpointInfo, ...] = ()


@dataclass(frozen=True, slots=True)
class NewMessage:
    """A client hands in a message; ``left`` is the time in which it may still be delivered."""

    id: int
    class_name: str
    destination: int
    left: float
    tenant: str = ""
    key: str = ""


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
class ProbeEnded:
    """A probe has its outcome."""

    endpoint: str
    result: Result
    latency: float


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Nobody waits for this message any more."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer that the module set has come due."""


Event = ListNews | NewMessage | AttemptEnded | ProbeEnded | Withdrawn | TimerDue


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
class Probe:
    """Check an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    id: int
    attempt: int


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


Action = Send | Refuse | Fail | Probe | CancelAttempt | CloseIdle | WatchList | SetTimer
