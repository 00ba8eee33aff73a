"""Webhooks in a process: carriers only, nobody hands anything in over them."""

from __future__ import annotations

from collections.abc import Mapping

from brassweir.core.engine import Engine
from brassweir.core.ledger import Waiter
from brassweir.core.ports import Carrier, Submission
from brassweir.service.connector import ConnectorContext
from brassweir.service.keyfiles import secrets
from brassweir.webhook.carrier import WebhookCarrier


class WebhookConnector:
    """Raises ConfigError where a secret cannot be read."""

    connections = 0

    def __init__(self, parts: ConnectorContext) -> None:
        sender = parts.config.sender
        self.carriers: Mapping[str, Carrier] = {
            kind.name: WebhookCarrier(
                parts.endpoints,
                parts.pools,
                secrets(kind, parts.base),
                parts.note,
                sender.name,
                sender.linger_ms,
            )
            for kind in parts.config.kinds
            if kind.carrier == "webhook"
        }

    def create_front(self, engine: Engine) -> None:
        """Nothing to make."""

    async def start(self) -> dict[str, object]:
        """Nothing to listen to."""
        return {}

    def restored_waiter(self, message: int, submission: Submission) -> Waiter | None:
        """Nobody."""
        return None

    def stop_accepting(self) -> None:
        """Nothing to stop."""

    def drain(self) -> None:
        """Nothing to close."""

    async def flush(self, span: float) -> None:
        """Nothing is owed."""

    def abort(self) -> None:
        """Nothing to drop."""
