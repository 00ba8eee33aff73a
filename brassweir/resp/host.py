"""The interface between a client's connection and the front that accepted it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from brassweir.resp.admission import Admission, ClientState
from brassweir.resp.counts import Counts
from brassweir.resp.input_budget import InputBudget
from brassweir.resp.submitter import Submitter


class ConnectionFront(Protocol):
    """What a connection needs of the front that accepted it; see Front."""

    admission: Admission
    input_budget: InputBudget
    submitter: Submitter
    counts: Counts
    read_buffer: memoryview
    log_event: Callable[[str, dict[str, object]], None]

    def admit(self, connection: Any) -> ClientState | None:
        """Registers a new connection's client; returns None if it is not accepted."""

    def limit_input(self) -> None:
        """Discards commands in part while the clients' unprocessed bytes are over the limit."""

    def remove(self, client: ClientState) -> None:
        """Removes a disconnected client."""
