"""A response as a client's caller gets it."""

from __future__ import annotations

from dataclasses import dataclass

from brassweir.net.headers import Headers


@dataclass(slots=True)
class Reply:
    """A response: complete, or only its status and some fields (see HttpPool.decisive_statuses).

    ``connection`` and ``earlier_calls`` say which connection of this process carried the call, and how many
    calls it had carried before. ``answer_ms`` is the time from the request's last byte to the first byte of
    the response.
    """

    status: int
    headers: Headers
    body: bytes
    connection: int = 0
    earlier_calls: int = 0
    answer_ms: float = 0.0

    @property
    def reused(self) -> bool:
        """Whether the connection had carried calls before."""
        return self.earlier_calls > 0
