"""The interface of an endpoint list's source, a file or the agreed log."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from brassweir.service.resolved_list import DestinationNumbers


class EndpointSource(Protocol):
    """Passes endpoints to the decision module, and knows their URLs."""

    numbers: DestinationNumbers
    scale: Callable[[], float]  # share of each listed rate that this sender may use

    def url(self, endpoint: str) -> str | None:
        """Return the URL of an endpoint; None if it is unknown."""

    async def open(self) -> None:
        """Apply the first list, before anything runs. Raises ConfigError."""

    async def watch(self) -> None:
        """Apply each change until cancelled."""

    def reapply(self) -> None:
        """Apply the list again, because ``scale`` now returns another value."""
