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
    until: float


@dataclass(frozen=True, slots=True)
class Read:
    """Tell once what is applied here is at least as new as all that was told anywhere before now."""

    ticket: int
    until: float


@dataclass(frozen=True, slots=True)
class Change:
    """Let ``name`` vote, or no longer. Taken by the leader only."""

    ticket: int
    name: str
    votes: bool
    until: float


@dataclass(frozen=True, slots=True)
class Late:
    """The own loop ran so many ms late."""

    ms: float


@dataclass(frozen=True, slots=True)
class Copies:
    """Names of all copies there are."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Leave:
    """This process is about to stop: hand leadership on."""


@dataclass(frozen=True, slots=True)
class InForce:
    """The decision module of this copy has been told all of this version. A plain core passes it over."""

    version: int


Fact = Received | Written | WriteFailed | Propose | Read | Change | Late | Copies | Leave | InForce


class How(StrEnum):
    """How what was asked for ended. UNKNOWN: it may or may not come into the log, also later."""

    AGREED = "agreed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Outcome:
    """How, where in the log, what came of it, or why not."""

    how: How
    index: int = 0
    result: bytes = b""
    why: str = ""


@dataclass(frozen=True, slots=True)
class Post:
    """Send."""

    to: str
    envelope: Envelope


@dataclass(frozen=True, slots=True)
class Write:
    """Make durable, in order. ``whole``: these records stand in place of all before."""

    token: int
    records: tuple[Record, ...]
    whole: bool = False


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
class Told:
    """How what was asked for under a ticket ended."""

    ticket: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Step again at this time at the latest."""

    at: float


Step = Post | Write | Applied | Restored | Told | WakeAt
