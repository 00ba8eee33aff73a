"""The interface between a process and the protocols it serves: what a connector provides and receives.

docs/write-a-front.md explains how to write a front.
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
    """What all connectors of one process share; paths in the settings are relative to ``base``."""

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
    receipt_delivered: Callable[[int], None]  # message whose asynchronous receipt was delivered


class Connector(Protocol):
    """One protocol: the carriers of its kinds of destinations, and its front if clients use the protocol."""

    carriers: Mapping[str, Carrier]  # by kind of destination

    def create_front(self, engine: Engine) -> None:
        """Create the front, if there is one; it does not listen yet."""

    async def start(self) -> dict[str, object]:
        """Listen; return fields for the log event ``started``. Raises OSError."""

    def restored_waiter(self, message: int, submission: Submission) -> Waiter | None:
        """Return the waiter for the answer of a message recovered from the journal; None if nobody waits."""

    def stop_accepting(self) -> None:
        """Begin the drain: accept no new messages, as far as the front can tell them apart."""

    def drain(self) -> None:
        """Close each connection as soon as its answers are written; all messages have their answer by now."""

    async def flush(self, span: float) -> None:
        """Wait up to ``span`` seconds for pending receipts to be delivered, then drop them."""

    @property
    def connections(self) -> int:
        """The number of open client connections."""

    def abort(self) -> None:
        """Close all client connections at once."""
