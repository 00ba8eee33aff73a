"""What a fleet is to be: senders, clients, partners, classes."""

from __future__ import annotations

from dataclasses import dataclass, field

from brassweir.lab.models.desk import Manner
from brassweir.lab.standins.shipper import ACK_TIMEOUT


@dataclass(frozen=True, slots=True)
class ClassPlan:
    """A class as settings and checker need it; times in seconds."""

    name: str
    effect: str
    aim: float
    deadline: float
    window: float = 0.0
    in_order: bool = False


CLASSES = (
    ClassPlan("payment", "unsafe", 3.0, 8.0),
    ClassPlan("order", "keyed", 2.5, 8.0, window=10.0, in_order=True),
    ClassPlan("status", "safe", 1.5, 6.0),
)


@dataclass(slots=True)
class FleetPlan:
    """What to set up. ``asynchronous`` names how many clients and partners use asynchronous receipts."""

    senders: int = 1
    clients: int = 2
    partners: dict[str, Manner] = field(default_factory=dict)
    endpoints: int = 2  # of each partner
    async_clients: int = 1
    slots: int = 24
    max_open: int = 300
    drain_grace: float = 6.0
    kind: str = "rsa2048"
    sinks: dict[str, Manner] = field(default_factory=dict)  # forward destinations
    shippers: int = 0  # forward sources
    ack_timeout: float = ACK_TIMEOUT  # of sources, in seconds
    classes: tuple[ClassPlan, ...] = CLASSES
