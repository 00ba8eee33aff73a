"""What a client's connection needs of the front that has accepted it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from brassweir.core.engine import Engine
from brassweir.core.ledger import MessageRecord, Waiter
from brassweir.resp.admission import Admission, ClientState
from brassweir.resp.counts import Counts


class Host(Protocol):
    """The front that has accepted a connection, as the connection needs it."""

    engine: Engine
    admission: Admission
    counts: Counts
    listed: Callable[[int], bool]
    owing: Callable[[MessageRecord], Waiter]
    told: Callable[[int], None]
    note: Callable[[str, dict[str, object]], None]

    def admit(self, connection: Any) -> ClientState | None:
        """Keep a new connection, or None."""

    def weigh(self, one: ClientState, weight: int) -> None:
        """A client keeps so many bytes here."""

    def left(self, ident: int) -> None:
        """A client is gone."""
