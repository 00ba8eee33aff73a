"""What a protocol brings to a process, and what it is given: the seam that a new front is written against.

docs/write-a-front.md goes through one from the first byte to the last.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from brassweir.config.model import Config
from brassweir.core.engine import Engine
from brassweir.core.ledger import Waiter
from brassweir.core.offload import Offload
from brassweir.core.ports import Carrier, Submission
from brassweir.interface import MessageClass
from brassweir.net.limits import Limits
from brassweir.net.pool_manager import PoolManager
from brassweir.observe.metrics import Metrics
from brassweir.service.endpointsource import EndpointSource

Note = Callable[[str, dict[str, object]], None]


@dataclass(frozen=True, slots=True)
class ConnectorContext:
    """What all connectors of one process share. Paths of the settings count from ``base``."""

    config: Config
    base: Path
    classes: Mapping[str, MessageClass]
    endpoints: EndpointSource
    pools: PoolManager
    offload: Offload
    limits: Limits
    metrics: Metrics
    note: Note
    report_bad_request: Callable[[str, int, str], None]  # peer, status, reason
    receipt_delivered: Callable[[int], None]  # the receipt owed for a message was brought


class Connector(Protocol):
    """One protocol: the carriers of its kinds of destinations, and its front if clients come over it."""

    carriers: Mapping[str, Carrier]  # by kind of destination

    def create_front(self, engine: Engine) -> None:
        """The engine is there: make the front. Nothing is listened to yet."""

    async def start(self) -> dict[str, object]:
        """Listen; returns what the log is to say of it. Raises OSError."""

    def restored_waiter(self, message: int, submission: Submission) -> Waiter | None:
        """Who waits for the answer of a message of this connector from before a restart."""

    def stop_accepting(self) -> None:
        """The drain begins: nothing new from now on, as far as that can be told here."""

    def drain(self) -> None:
        """All is answered: close every connection as soon as its answer is written."""

    async def flush(self, span: float) -> None:
        """Wait up to so many seconds for what is still owed, then drop it."""

    @property
    def connections(self) -> int:
        """Clients' connections that stand."""

    def abort(self) -> None:
        """End everything at once."""
