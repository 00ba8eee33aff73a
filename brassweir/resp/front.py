"""The RESP server: accepts the platform's clients and closes connections when capacity runs short.

``+OK`` is sent once the message is journaled and accepted by the decision module, before its first attempt.
``-BUSY`` is sent if the module refuses the message at once. Later refusals and failures are reported by
notices, outside this package. A message is withdrawn if its client disconnects before the reply.

A connection from which anything was read ends with a reply to each command and without a reset; see
Connection.
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
from brassweir.resp.input_budget import InputBudget
from brassweir.resp.submitter import LogEvent, Submitter

BACKLOG = 512  # connections waiting to be accepted
EXPIRY_CHECK_SECONDS = 0.05  # between checks for inactive connections
REPLY_TIME_SHARE = 0.6  # of the time to close, for replies that come by themselves
CLOSE_POLL_SECONDS = 0.01


class Front:
    """Listens for clients.

    ``admission`` decides which connections to close, ``input_budget`` which commands in part to refuse.

    ``notice_waiter`` returns the callback that sends a message's outcome in a notice. ``mark_reported``
    records, by message id, that the client learned the outcome from its reply.
    """

    def __init__(
        self,
        engine: Engine,
        admission: Admission,
        input_budget: InputBudget,
        destination_exists: Callable[[int], bool],
        notice_waiter: Callable[[MessageRecord], Waiter],
        mark_reported: Callable[[int], None],
        log_event: LogEvent = lambda event, details: None,
    ) -> None:
        self.admission, self.input_budget, self.log_event = admission, input_budget, log_event
        self.counts = Counts()
        self.submitter = Submitter(
            engine, self.counts, destination_exists, notice_waiter, mark_reported, log_event
        )
        self.read_buffer = memoryview(bytearray(input_budget.read_bytes))
        self.connections: dict[int, Connection] = {}
        self.last_id = 0
        self.closed = False
        self.listener: asyncio.Server | None = None
        self.expiry_timer: asyncio.TimerHandle | None = None

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
        decision = self.admission.admit(self.last_id, connection.loop.time(), self._is_settled)
        if decision.victim is not None:
            self._close_for_room(self.connections[decision.victim], decision.at_once)
        if not decision.accepted:
            self.counts.dropped += 1
            return None
        self.connections[self.last_id] = connection
        return self.admission.clients[self.last_id]

    def _is_settled(self, client_id: int) -> bool:
        return self.connections[client_id].settled

    def _close_for_room(self, connection: Connection, at_once: bool) -> None:
        """Closes a connection for a new one, at once or after its replies."""
        reason = "gave way to a new connection"
        if at_once:
            connection.close_settled(reason)
        else:
            self.counts.dropped += 1
            connection.drain(reason)

    def limit_input(self) -> None:
        """Discards commands in part while the clients' unprocessed bytes are over the limit."""
        while self.input_budget.exceeded:
            client_id = self.input_budget.next_to_discard(asyncio.get_running_loop().time())
            if client_id is None:
                return
            self.connections[client_id].discard_command()

    def remove(self, client: ClientState) -> None:
        """Removes a disconnected client."""
        self.admission.remove(client.id)
        self.input_budget.remove(client)
        self.connections.pop(client.id, None)

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

    async def close_gracefully(self, seconds: float) -> None:
        """Closes every connection after its replies; refuses, then fails, what has none in time."""
        self.close()
        if await self._all_closed(REPLY_TIME_SHARE * seconds):
            return
        for connection in list(self.connections.values()):
            connection.refuse_unanswered()
        await self.fail_unanswered((1.0 - REPLY_TIME_SHARE) * seconds)

    async def fail_unanswered(self, seconds: float) -> None:
        """Closes every connection; what has no reply after half of the time gets an error."""
        self.close()
        if await self._all_closed(seconds / 2.0):
            return
        for connection in list(self.connections.values()):
            connection.fail_unanswered()
        await self._all_closed(seconds / 2.0)

    async def _all_closed(self, seconds: float) -> bool:
        """Waits until every connection is closed; returns whether that is so."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while self.connections and loop.time() < deadline:
            await asyncio.sleep(CLOSE_POLL_SECONDS)
        return not self.connections

    def pending_commands(self) -> int:
        """Returns the number of commands without a reply."""
        return sum(len(client.replies) for client in self.connections.values())
