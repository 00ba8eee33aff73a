"""Webhooks in a process: carriers only, nobody hands anything in over them."""

from __future__ import annotations

from collections.abc import Mapping

from brassweir.core.engine import Engine
from brassweir.core.ledger import Waiter
from brassweir.core.ports import Carrier, Submission
from brassweir.service.connector import Parts
from brassweir.service.keyfiles import secrets
from brassweir.webhook.carrier import WebhookCarrier


class WebhookConnector:
    """Raises ConfigError where a secret cannot be read."""

    connections = 0

    def __init__(self, parts: Parts) -> None:
        sender = parts.config.sender
        self.carriers: Mapping[str, Carrier] = {
            kind.name: WebhookCarrier(
                parts.list, parts.pools, secrets(kind, parts.base), parts.note, sender.name, sender.linger_ms
            )
            for kind in parts.config.kinds
            if kind.carrier == "webhook"
        }

    def open(self, engine: Engine) -> None:
        """Nothing to make."""

    async def start(self) -> dict[str, object]:
        """Nothing to listen to."""
        return {}

    def owing(self, message: int, submission: Submission) -> Waiter | None:
        """Nobody."""
        return None

    def stop_taking(self) -> None:
        """Nothing to stop."""

    def drain(self) -> None:
        """Nothing to close."""

    async def settle(self, span: float) -> None:
        """Nothing is owed."""

    def abort(self) -> None:
        """Nothing to drop."""
