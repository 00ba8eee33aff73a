"""Events that the core takes and actions that it returns. Times are monotonic milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from brassweir.agreed.messages import Envelope
from brassweir.agreed.records import Record


@dataclass(frozen=True, slots=True)
class Received:
    """A message arrived; ``sender`` is the copy name that its seal authenticates."""

    sender: str
    envelope: Envelope


@dataclass(frozen=True, slots=True)
class Written:
    """The write with this token, and all writes before it, are durable."""

    token: int


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """A write failed. What the disk holds is unknown: the core stops until it is started from it again."""

    why: str


@dataclass(frozen=True, slots=True)
class Propose:
    """Propose a command. It ends as refused or unknown at ``deadline``."""

    ticket: int
    command: bytes
    deadline: float


@dataclass(frozen=True, slots=True)
class ReadCurrent:
    """Linearizable read: completes once this copy has applied all that was committed before the request."""

    ticket: int
    deadline: float


@dataclass(frozen=True, slots=True)
class ChangeVoter:
    """Make ``name`` a voter (``votes``), or no longer one. Only the leader accepts this."""

    ticket: int
    name: str
    votes: bool
    deadline: float


@dataclass(frozen=True, slots=True)
class LoopStalled:
    """The event loop of this process ran ``ms`` late."""

    ms: float


@dataclass(frozen=True, slots=True)
class CopiesChanged:
    """Names of all copies of the group, voters and learners."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Transfer leadership, if this member leads: its process is about to stop."""


@dataclass(frozen=True, slots=True)
class VersionInForce:
    """The decision module of this copy has received all of this version. A plain core ignores the event."""

    version: int


Event = (
    Received
    | Written
    | WriteFailed
    | Propose
    | ReadCurrent
    | ChangeVoter
    | LoopStalled
    | CopiesChanged
    | TransferLeadership
    | VersionInForce
)


class OutcomeKind(StrEnum):
    """How a request ended. UNKNOWN: the proposal may or may not be committed, also later."""

    AGREED = "agreed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a request ended: log index and result of the command, or ``why`` there is none."""

    how: OutcomeKind
    index: int = 0
    result: bytes = b""
    why: str = ""


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a copy."""

    to: str
    envelope: Envelope


@dataclass(frozen=True, slots=True)
class Write:
    """Make records durable, in order. ``replaces_all``: they replace all records written before."""

    token: int
    records: tuple[Record, ...]
    replaces_all: bool = False


@dataclass(frozen=True, slots=True)
class Applied:
    """A command took effect on this copy's machine, for the first time."""

    index: int
    command: bytes
    result: bytes


@dataclass(frozen=True, slots=True)
class Restored:
    """The machine was restored from the snapshot at this index."""

    index: int


@dataclass(frozen=True, slots=True)
class Completed:
    """The request with this ticket ended."""

    ticket: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Step the core again at this time at the latest."""

    at: float


Action = Send | Write | Applied | Restored | Completed | WakeAt
