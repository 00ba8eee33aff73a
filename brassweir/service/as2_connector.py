"""AS2 in a sender process: server, pending receipts and carrier."""

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
from brassweir.service.wiring import load_partnerships


class As2Connector:
    """Serves AS2 clients and partners. Raises ConfigError if a key or certificate cannot be read."""

    def __init__(self, context: ConnectorContext) -> None:
        sender = context.config.sender
        self.context = context
        self.partnerships: Partnerships = replace(
            load_partnerships(context.config, context.base), listed=context.endpoints.numbers.listed
        )
        self.receipts = Receipts()
        self.pending_receipts = PendingReceipts(context.pools, context.note)
        self.carrier = As2Carrier(
            self.partnerships,
            context.endpoints,
            context.pools,
            self.receipts,
            context.offload,
            context.note,
            sender.name,
            sender.linger_ms,
        )
        kinds = ["", *(kind.name for kind in context.config.kinds if kind.carrier == "as2")]
        self.carriers: Mapping[str, Carrier] = {name: self.carrier for name in kinds}
        self.front: As2Front | None = None
        self.server: Server | None = None
        self.port = 0

    def create_front(self, engine: Engine) -> None:
        """Create the front and its server."""
        context = self.context
        self.front = As2Front(
            self.partnerships,
            engine,
            self.receipts,
            self.pending_receipts,
            context.offload,
            context.note,
            answer_margin_ms=context.config.sender.answer_margin_ms,
            max_layer_bytes=context.limits.body_bytes,
            receipt_delivered=context.receipt_delivered,
        )
        self.server = Server(self.front, context.limits, context.report_bad_request)

    async def start(self) -> dict[str, object]:
        """Listen, if the settings give an address; return fields for the log event ``started``."""
        listen = self.context.config.sender.listen
        if listen is not None and self.server is not None:
            host, _, port = listen.rpartition(":")
            self.port = await self.server.listen(host, int(port))
        return {
            "listen": listen,
            "port": self.port,
            "partners": len(self.partnerships.partners),
            "clients": len(self.partnerships.clients),
        }

    def restored_waiter(self, message: int, submission: Submission) -> Waiter | None:
        """Return a waiter that posts to the client's receipt URL; None if it has none any more."""
        return self.front.restored_waiter(message, submission) if self.front is not None else None

    def stop_accepting(self) -> None:
        """Do nothing: the server stays open, because partners post asynchronous receipts to it."""

    def drain(self) -> None:
        """Accept no new connection, and close each one after its answer."""
        if self.server is not None:
            self.server.drain()

    async def flush(self, span: float) -> None:
        """Wait up to ``span`` seconds for pending receipts to be delivered, then drop them."""
        await self.pending_receipts.settle(span)

    @property
    def connections(self) -> int:
        """The number of open client connections."""
        return len(self.server.connections) if self.server is not None else 0

    def abort(self) -> None:
        """Close every connection at once."""
        if self.server is not None:
            self.server.abort()
