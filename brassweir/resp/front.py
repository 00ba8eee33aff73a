"""The platform's clients: who is connected, who must go, and what they are told together.

``+OK`` is written once the message is in the journal and the module holds it, before any attempt goes out; a
refusal in the module's first turn is ``-BUSY``. What is refused or fails later is told by a notice, which is
not this front's. A client that goes before its answer takes its message back.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from brassweir.core.engine import Engine
from brassweir.core.ledger import MessageRecord, Waiter
from brassweir.resp.admission import Admission, ClientState
from brassweir.resp.connection import Connection
from brassweir.resp.counts import Counts

BACKLOG = 512  # connections that wait to be accepted
Note = Callable[[str, dict[str, object]], None]
LOOK = 0.05  # seconds between two looks at who has been silent for too long


class Front:
    """Listens for clients. ``listed`` says which destinations exist; ``admission`` decides who must go."""

    def __init__(
        self,
        engine: Engine,
        admission: Admission,
        listed: Callable[[int], bool],
        owing: Callable[[MessageRecord], Waiter],
        told: Callable[[int], None],
        note: Note = lambda event, details: None,
    ) -> None:
        self.engine, self.admission, self.listed = engine, admission, listed
        self.owing, self.told, self.note = owing, told, note
        self.connections: dict[int, Connection] = {}
        self.last = 0
        self.closed = False
        self.listener: asyncio.Server | None = None
        self.looking: asyncio.TimerHandle | None = None
        self.counts = Counts()

    async def listen(self, host: str, port: int) -> int:
        """Start to listen and return the port. Raises OSError."""
        loop = asyncio.get_running_loop()
        # Bound here: a loop that is given a name starts threads to look it up, and this process needs none.
        bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)  # else TCP delays
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            bound.bind((host, port))
        except OSError:
            bound.close()
            raise
        self.listener = await loop.create_server(lambda: Connection(self, loop), sock=bound, backlog=BACKLOG)
        self.looking = loop.call_later(LOOK, self._look, loop)
        return int(self.listener.sockets[0].getsockname()[1])

    def _look(self, loop: asyncio.AbstractEventLoop) -> None:
        for ident in self.admission.expired(loop.time()):
            self.connections[ident].expire()
        self.looking = loop.call_later(LOOK, self._look, loop)

    def admit(self, connection: Connection) -> ClientState | None:
        """One more client, for whom another may have to go; None if there is no room for it, or no time."""
        if self.closed:
            return None
        self.last += 1
        self.counts.opened += 1
        go, victim = self.admission.admit(self.last, connection.loop.time())
        if victim is not None:
            self.connections[victim].drop("gave way to a new connection")
        if not go:
            self.counts.dropped += 1
            return None
        self.connections[self.last] = connection
        return self.admission.clients[self.last]

    def weigh(self, one: ClientState, weight: int) -> None:
        """A client keeps so many bytes here, for which another may have to go."""
        victim = self.admission.weigh(one, weight)
        if victim is not None:
            self.connections[victim].drop("kept too many bytes that were not taken up")

    def left(self, ident: int) -> None:
        """A client is gone."""
        self.admission.leave(ident)
        self.connections.pop(ident, None)

    def stop_listening(self) -> None:
        """Take no new connection; those that stand go on."""
        if self.listener is not None:
            self.listener.close()

    def close(self) -> None:
        """Close every connection as soon as it has its answers."""
        self.closed = True  # some may have been accepted that have not come by yet
        self.stop_listening()
        if self.looking is not None:
            self.looking.cancel()
        for connection in list(self.connections.values()):
            connection.end("the sender leaves")

    def withdraw_unanswered(self) -> None:
        """The process ends: who has no answer yet gets none, and what it handed in is not taken on."""
        for connection in list(self.connections.values()):
            connection.take_back()

    def open(self) -> int:
        """Commands that have no answer yet."""
        return sum(len(one.slots) for one in self.connections.values())
