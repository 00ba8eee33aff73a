"""What the core is told and what it asks for. Times are monotonic milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from brassweir.agreed.messages import Envelope
from brassweir.agreed.records import Record


@dataclass(frozen=True, slots=True)
class Received:
    """A message; ``sender`` is the name its seal proves."""

    sender: str
    envelope: Envelope


@dataclass(frozen=True, slots=True)
class Written:
    """The write of this token, and all before it, are durable."""

    token: int


@dataclass(frozen=True, slots=True)
class WriteFailed:
    """A write failed. What the disk holds is not known: only a new start from the folder goes on."""

    why: str


@dataclass(frozen=True, slots=True)
class Propose:
    """Agree on a command by ``until``."""

    ticket: int
    command: bytes
    deadline: float


@dataclass(frozen=True, slots=True)
class ReadCurrent:
    """Tell once what is applied here is at least as new as all that was told anywhere before now."""

    ticket: int
    deadline: float


@dataclass(frozen=True, slots=True)
class ChangeVoter:
    """Let ``name`` vote, or no longer. Taken by the leader only."""

    ticket: int
    name: str
    votes: bool
    deadline: float


@dataclass(frozen=True, slots=True)
class LoopStalled:
    """The own loop ran so many ms late."""

    ms: float


@dataclass(frozen=True, slots=True)
class CopiesChanged:
    """Names of all copies there are."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """This process is about to stop: hand leadership on."""


@dataclass(frozen=True, slots=True)
class VersionInForce:
    """The decision module of this copy has been told all of this version. A plain core passes it over."""

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
    """How what was asked for ended. UNKNOWN: it may or may not come into the log, also later."""

    AGREED = "agreed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Outcome:
    """How, where in the log, what came of it, or why not."""

    how: OutcomeKind
    index: int = 0
    result: bytes = b""
    why: str = ""


@dataclass(frozen=True, slots=True)
class Send:
    """Send."""

    to: str
    envelope: Envelope


@dataclass(frozen=True, slots=True)
class Write:
    """Make durable, in order. ``whole``: these records stand in place of all before."""

    token: int
    records: tuple[Record, ...]
    replaces_all: bool = False


@dataclass(frozen=True, slots=True)
class Applied:
    """A command took effect here, once."""

    index: int
    command: bytes
    result: bytes


@dataclass(frozen=True, slots=True)
class Restored:
    """The machine became what a snapshot of this index says."""

    index: int


@dataclass(frozen=True, slots=True)
class Completed:
    """How what was asked for under a ticket ended."""

    ticket: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Step again at this time at the latest."""

    at: float


Action = Send | Write | Applied | Restored | Completed | WakeAt
