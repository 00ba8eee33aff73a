"""Events and actions of the decision module; times are milliseconds, rates calls a second.

Its settings are in sender_settings.py, and can be imported from here as well.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from brassweir.sender_settings import (
    DestinationKind as DestinationKind,
)
from brassweir.sender_settings import (
    Effect as Effect,
)
from brassweir.sender_settings import (
    MessageClass as MessageClass,
)
from brassweir.sender_settings import (
    Settings as Settings,
)
from brassweir.sender_settings import (
    SettingsError as SettingsError,
)


class MisuseError(ValueError):
    """The caller broke the contract of the interface (duplicate id, unknown class)."""


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


class Recovery(Enum):
    """Whether a destination is held to be back from an outage; what of it must outlive the process."""

    NONE = "none"
    SUSPECTED = "suspected"  # it may be down; slow start begins with the next success
    CAUTIOUS_START = "cautious_start"  # slow start, since an outage may have happened
    SLOW_START = "slow_start"  # slow start after an outage


@dataclass(frozen=True, slots=True)
class RecoveryChange:
    """The recovery of a destination, or of one endpoint whose route is separate, has changed.

    ``endpoint`` is empty for a destination. ``ago`` is how long slow start has been on, else 0. A sender
    lists these changes after each batch of events; after a restart the last ones are handed back as events,
    after the endpoint list.
    """

    destination: int
    endpoint: str
    recovery: Recovery
    ago: float = 0.0


@dataclass(frozen=True, slots=True)
class StopScheduled:
    """This sender stops at a time: calls in flight are cut off, open messages go on after a restart."""

    at: float


Event = (
    ListUpdate
    | NewMessage
    | AttemptEnded
    | Withdrawn
    | TimerDue
    | PastAttempt
    | RecoveryChange
    | StopScheduled
)


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
