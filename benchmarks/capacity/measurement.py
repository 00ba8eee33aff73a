"""What is measured: figures, the points they are measured at, and one measurement."""

from __future__ import annotations

from enum import Enum

import msgspec


class Role(Enum):
    """The part of the system that pays for a figure."""

    SENDER = "sender"
    CONTROL = "control machine"
    RELAY = "relay of the log"
    CLIENT = "client side"
    DESTINATION = "destination side"
    DISK = "disk"


class Kind(Enum):
    """How a figure comes about."""

    MEASURED = "measured"
    SIMULATED = "simulated"
    DERIVED = "derived"


class Axis(Enum):
    """A quantity that a figure can depend on; the value is the field of a point."""

    SENDERS = "senders"
    DESTINATIONS = "destinations"
    DOWN = "down"
    BACKLOG = "backlog"


class Point(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A size of the system."""

    senders: int
    destinations: int
    down: float = 0.0  # share of the destinations
    backlog: int = 0  # undelivered events at one sender

    def along(self, axis: Axis) -> float:
        """The size along one axis."""
        return float(getattr(self, axis.value))


class Figure(msgspec.Struct, frozen=True):
    """One quantity. ``terms`` are names in ``fit.TERMS``; a derived figure has a formula in their place."""

    name: str  # an identifier: formulas use it
    unit: str
    role: Role
    what: str  # one line for the page
    axes: tuple[Axis, ...] = ()
    terms: tuple[str, ...] = ("1",)
    kind: Kind = Kind.MEASURED
    budget: float | None = None
    formula: str = ""
    mechanism: str = ""  # what carries it at the target, or "missing"


class Measurement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A value of a figure (by name) at a point."""

    figure: str
    point: Point
    value: float
    method: str
    holdout: bool = False  # kept out of the fit, to check its prediction


TARGET = Point(senders=490, destinations=70_000, down=0.015, backlog=7_300_000_000 // 490)
