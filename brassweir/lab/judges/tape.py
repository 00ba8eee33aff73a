"""The record of a run as clients, partners and the publisher of the endpoint list observed it.

Times (``at``) are in seconds of the wall clock. The checker reads only this record, which holds no log,
metric or state of a sender.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class HandIn:
    """A client starts to post a message, with ``left`` seconds until its deadline."""

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
    """A client received an answer (delivered, refused, failed, rejected, accepted) or none (lost, dropped).

    ``retry_after`` is in seconds; ``by_receipt`` marks an answer that came as a receipt (MDN).
    """

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
    """A partner's endpoint received a complete request."""

    at: float
    number: int
    partner: str
    endpoint: str
    sender: str
    ident: str
    payment: str


@dataclass(frozen=True, slots=True)
class Effect:
    """A partner executed a payment."""

    at: float
    partner: str
    payment: str
    ident: str


@dataclass(frozen=True, slots=True)
class Ended:
    """The end of a request at a partner.

    ``how`` is its answer or the fault that prevented one; ``waited`` is the requested wait in seconds.
    """

    at: float
    number: int
    partner: str
    sender: str
    how: str
    waited: float = 0.0


@dataclass(frozen=True, slots=True)
class UndeliveredAnswer:
    """The caller had closed the connection, so an answer, with any requested wait, did not reach it."""

    at: float
    partner: str
    number: int


@dataclass(frozen=True, slots=True)
class Outage:
    """A partner's outage started or, with ``over``, ended.

    ``cold`` marks a partner that returns cold; ``hidden`` one that cannot record who calls it
    during the outage.
    """

    at: float
    partner: str
    over: bool
    cold: bool
    hidden: bool = False


@dataclass(frozen=True, slots=True)
class Overloaded:
    """A returning partner was overloaded; ``by`` counts the calls per sender in the period before it."""

    at: float
    partner: str
    by: dict[str, int]


@dataclass(frozen=True, slots=True)
class Published:
    """The endpoint list was published; ``states`` maps each endpoint to its state."""

    at: float
    states: dict[str, str]


Seen = HandIn | Answered | Arrival | Effect | Ended | UndeliveredAnswer | Outage | Overloaded | Published


@dataclass(slots=True)
class Tape:
    """The observations of a run, in the order of recording."""

    seen: list[Seen] = field(default_factory=list)

    def add(self, one: Seen) -> None:
        """Record an observation."""
        self.seen.append(one)
