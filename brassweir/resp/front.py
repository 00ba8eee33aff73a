"""The RESP server: accepts the platform's clients and closes connections when capacity runs short.

``+OK`` is sent once the message is journaled and accepted by the decision module, before its first attempt.
``-BUSY`` is sent if the module refuses the message at once. Later refusals and failures are reported by
notices, outside this package. A message is withdrawn if its client disconnects before the reply.
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

BACKLOG = 512  # connections waiting to be accepted
LogEvent = Callable[[str, dict[str, object]], None]
EXPIRY_CHECK_SECONDS = 0.05  # between checks for inactive connections


class Front:
    """Listens for clients; ``admission`` decides which connections to close.

    ``notice_waiter`` returns the callback that sends a message's outcome in a notice. ``mark_reported``
    records, by message id, that the client learned the outcome from its reply.
    """

    def __init__(
        self,
        engine: Engine,
        admission: Admission,
        destination_exists: Callable[[int], bool],
        notice_waiter: Callable[[MessageRecord], Waiter],
        mark_reported: Callable[[int], None],
        log_event: LogEvent = lambda event, details: None,
    ) -> None:
        self.engine, self.admission, self.destination_exists = engine, admission, destination_exists
        self.notice_waiter, self.mark_reported, self.log_event = notice_waiter, mark_reported, log_event
        self.connections: dict[int, Connection] = {}
        self.last_id = 0
        self.closed = False
        self.listener: asyncio.Server | None = None
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.counts = Counts()

    async def listen(self, host: str, port: int) -> int:
        """Starts to listen and returns the port. Raises OSError."""
        loop = asyncio.get_running_loop()
        # Bound here, because the loop would start a thread to resolve a host name. The explicit IPPROTO_TCP
        # lets asyncio set TCP_NODELAY on accepted sockets.
        bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            bound.bind((host, port))
        except OSError:
            bound.close()
            raise
        self.listener = await loop.create_server(lambda: Connection(self, loop), sock=bound, backlog=BACKLOG)
        self.expiry_timer = loop.call_later(EXPIRY_CHECK_SECONDS, self._check_expired, loop)
        return int(self.listener.sockets[0].getsockname()[1])

    def _check_expired(self, loop: asyncio.AbstractEventLoop) -> None:
        """Closes expired connections and schedules the next check."""
        for client_id in self.admission.expired(loop.time()):
            self.connections[client_id].expire()
        self.expiry_timer = loop.call_later(EXPIRY_CHECK_SECONDS, self._check_expired, loop)

    def admit(self, connection: Connection) -> ClientState | None:
        """Registers a new client, closing another if needed; returns None if it is not accepted."""
        if self.closed:
            return None
        self.last_id += 1
        self.counts.opened += 1
        admitted, victim = self.admission.admit(self.last_id, connection.loop.time())
        if victim is not None:
            self.connections[victim].drop("gave way to a new connection")
        if not admitted:
            self.counts.dropped += 1
            return None
        self.connections[self.last_id] = connection
        return self.admission.clients[self.last_id]

    def set_buffered(self, client: ClientState, buffered_bytes: int) -> None:
        """Updates a client's unprocessed bytes, closing a connection if all together have too many."""
        victim = self.admission.set_buffered(client, buffered_bytes)
        if victim is not None:
            self.connections[victim].drop("too many unprocessed bytes")

    def remove(self, client_id: int) -> None:
        """Removes a disconnected client."""
        self.admission.remove(client_id)
        self.connections.pop(client_id, None)

    def stop_listening(self) -> None:
        """Accepts no new connections; existing ones continue."""
        if self.listener is not None:
            self.listener.close()

    def close(self) -> None:
        """Stops listening and closes every connection once it has its replies."""
        self.closed = True  # rejects connections accepted by the loop but not admitted yet
        self.stop_listening()
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
        for connection in list(self.connections.values()):
            connection.drain("the sender is stopping")

    def withdraw_unanswered(self) -> None:
        """Withdraws every message without a reply, as the process ends."""
        for connection in list(self.connections.values()):
            connection.withdraw_unanswered()

    def pending_commands(self) -> int:
        """Returns the number of commands without a reply."""
        return sum(len(client.pending_replies) for client in self.connections.values())
