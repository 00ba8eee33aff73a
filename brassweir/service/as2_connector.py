"""AS2 in a process: its front, its receipts, and its carrier."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from brassweir.as2.carrier import As2Carrier
from brassweir.as2.front import As2Front
from brassweir.as2.partnership import Partnerships
from brassweir.as2.pending_receipts import PendingReceipts
from brassweir.as2.receipts import Receipts
from brassweir.core.engine import Engine
from brassweir.core.ledger import Waiter
from brassweir.core.ports import Carrier, Submission
from brassweir.net.server import Server
from brassweir.service.connector import ConnectorContext
from brassweir.service.wiring import partnerships


class As2Connector:
    """Clients and partners over AS2. Raises ConfigError where a key or certificate cannot be read."""

    def __init__(self, parts: ConnectorContext) -> None:
        sender = parts.config.sender
        self.parts = parts
        self.book: Partnerships = replace(
            partnerships(parts.config, parts.base), listed=parts.endpoints.numbers.listed
        )
        self.receipts = Receipts()
        self.pending_receipts = PendingReceipts(parts.pools, parts.note)
        self.carrier = As2Carrier(
            self.book,
            parts.endpoints,
            parts.pools,
            self.receipts,
            parts.offload,
            parts.note,
            sender.name,
            sender.linger_ms,
        )
        kinds = ["", *(kind.name for kind in parts.config.kinds if kind.carrier == "as2")]
        self.carriers: Mapping[str, Carrier] = {name: self.carrier for name in kinds}
        self.front: As2Front | None = None
        self.server: Server | None = None
        self.port = 0

    def create_front(self, engine: Engine) -> None:
        """Make the front."""
        parts = self.parts
        self.front = As2Front(
            self.book,
            engine,
            self.receipts,
            self.pending_receipts,
            parts.offload,
            parts.note,
            answer_margin_ms=parts.config.sender.answer_margin_ms,
            max_layer_bytes=parts.limits.body_bytes,
            receipt_delivered=parts.receipt_delivered,
        )
        self.server = Server(self.front, parts.limits, parts.report_bad_request)

    async def start(self) -> dict[str, object]:
        """Listen, if the settings say where."""
        listen = self.parts.config.sender.listen
        if listen is not None and self.server is not None:
            host, _, port = listen.rpartition(":")
            self.port = await self.server.listen(host, int(port))
        return {
            "listen": listen,
            "port": self.port,
            "partners": len(self.book.partners),
            "clients": len(self.book.clients),
        }

    def restored_waiter(self, message: int, submission: Submission) -> Waiter | None:
        """The client's receipt URL, if it has one still."""
        return self.front.restored_waiter(message, submission) if self.front is not None else None

    def stop_accepting(self) -> None:
        """Nothing yet: partners bring receipts to the same address, until nothing waits for one."""

    def drain(self) -> None:
        """Take no new connection, and close each after its answer."""
        if self.server is not None:
            self.server.drain()

    async def flush(self, span: float) -> None:
        """Bring the receipts that are owed."""
        await self.pending_receipts.settle(span)

    @property
    def connections(self) -> int:
        """Connections that stand."""
        return len(self.server.connections) if self.server is not None else 0

    def abort(self) -> None:
        """Drop every connection."""
        if self.server is not None:
            self.server.abort()
