"""What a sender needs of its endpoint list, wherever that comes from: a file, or the agreed log."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from brassweir.service.resolved_list import DestinationNumbers


class EndpointSource(Protocol):
    """Tells the decision module of the endpoints, and knows where each one is."""

    numbers: DestinationNumbers
    scale: Callable[[], float]  # the part of each listed rate that is ours

    def url(self, endpoint: str) -> str | None:
        """Where an endpoint is."""

    async def open(self) -> None:
        """Tell the first list, before anything runs. Raises ConfigError."""

    async def watch(self) -> None:
        """Tell each change, for ever."""

    def again(self) -> None:
        """What is made of the list has changed: tell it anew."""
