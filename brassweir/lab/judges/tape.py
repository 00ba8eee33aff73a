"""What clients, partners and the publisher of the list saw, in the order seen. Times are wall seconds.

The checker reads a tape and nothing else: no log, metric or state of a sender is on it.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class HandIn:
    """A client begins to post a message; ``left`` is how many seconds it gives it."""

    at: float
    client: str
    sender: str
    ident: str
    payment: str
    class_name: str
    key: str
    partner: str
    attempt: int
    left: float


@dataclass(frozen=True, slots=True)
class Answered:
    """A client has an answer (delivered, refused, failed, rejected, accepted) or none (lost, dropped)."""

    at: float
    client: str
    ident: str
    payment: str
    answer: str
    attempt: int
    retry_after: float = 0.0
    by_receipt: bool = False
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A whole request has come to a partner's endpoint."""

    at: float
    number: int
    partner: str
    endpoint: str
    sender: str
    ident: str
    payment: str


@dataclass(frozen=True, slots=True)
class Effect:
    """A partner has carried a payment out."""

    at: float
    partner: str
    payment: str
    ident: str


@dataclass(frozen=True, slots=True)
class Ended:
    """What a partner made of an arrival: its answer, ``waited`` the seconds it told, or how it was spoilt."""

    at: float
    number: int
    partner: str
    sender: str
    how: str
    waited: float = 0.0


@dataclass(frozen=True, slots=True)
class Unheard:
    """An answer met a connection that its caller's end had broken: what it told, nobody was told."""

    at: float
    partner: str
    number: int


@dataclass(frozen=True, slots=True)
class Outage:
    """A partner's outage has begun, or, with ``over``, ended.

    ``cold`` says that it comes back cold; ``hidden`` that it cannot see who calls it meanwhile.
    """

    at: float
    partner: str
    over: bool
    cold: bool
    hidden: bool = False


@dataclass(frozen=True, slots=True)
class Tipped:
    """A returning partner fell over; ``by`` counts the calls of each sender in the span that pushed it."""

    at: float
    partner: str
    by: dict[str, int]


@dataclass(frozen=True, slots=True)
class Published:
    """The list was written: endpoints by state."""

    at: float
    states: dict[str, str]


Seen = HandIn | Answered | Arrival | Effect | Ended | Unheard | Outage | Tipped | Published


@dataclass(slots=True)
class Tape:
    """All that was seen."""

    seen: list[Seen] = field(default_factory=list)

    def add(self, one: Seen) -> None:
        """Note one thing."""
        self.seen.append(one)
