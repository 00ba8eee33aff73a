"""Webhooks in a sender process: carriers only, since no client submits messages over this protocol."""

from __future__ import annotations

from collections.abc import Mapping

from brassweir.core.engine import Engine
from brassweir.core.ledger import Waiter
from brassweir.core.ports import Carrier, Submission
from brassweir.service.connector import ConnectorContext
from brassweir.service.keyfiles import load_signing_keys
from brassweir.webhook.carrier import WebhookCarrier


class WebhookConnector:
    """Carriers of webhook destinations. Raises ConfigError if a signing key cannot be read."""

    connections = 0

    def __init__(self, context: ConnectorContext) -> None:
        sender = context.config.sender
        self.carriers: Mapping[str, Carrier] = {
            kind.name: WebhookCarrier(
                context.endpoints,
                context.pools,
                load_signing_keys(kind, context.base),
                context.note,
                sender.name,
                sender.linger_ms,
            )
            for kind in context.config.kinds
            if kind.carrier == "webhook"
        }

    def create_front(self, engine: Engine) -> None:
        """Do nothing: there is no front."""

    async def start(self) -> dict[str, object]:
        """Do nothing: there is no server."""
        return {}

    def restored_waiter(self, message: int, submission: Submission) -> Waiter | None:
        """Return None: nobody waits."""
        return None

    def stop_accepting(self) -> None:
        """Do nothing: there is no front."""

    def drain(self) -> None:
        """Do nothing: there are no client connections."""

    async def flush(self, span: float) -> None:
        """Do nothing: there are no receipts."""

    def abort(self) -> None:
        """Do nothing: there are no client connections."""
