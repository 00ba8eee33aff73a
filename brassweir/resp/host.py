"""The interface between a client's connection and the front that accepted it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from brassweir.core.engine import Engine
from brassweir.core.ledger import MessageRecord, Waiter
from brassweir.resp.admission import Admission, ClientState
from brassweir.resp.counts import Counts


class ConnectionFront(Protocol):
    """What a connection needs of the front that accepted it; see Front."""

    engine: Engine
    admission: Admission
    counts: Counts
    destination_exists: Callable[[int], bool]
    notice_waiter: Callable[[MessageRecord], Waiter]
    mark_reported: Callable[[int], None]
    log_event: Callable[[str, dict[str, object]], None]

    def admit(self, connection: Any) -> ClientState | None:
        """Registers a new connection's client; returns None if it is not accepted."""

    def set_buffered(self, client: ClientState, buffered_bytes: int) -> None:
        """Updates a client's unprocessed bytes."""

    def remove(self, ident: int) -> None:
        """Removes a disconnected client."""
