"""Decides which client connections to close when descriptors or memory run short. No I/O.

A new connection is always accepted if another can be closed for it. Closed first is the oldest connection
that has not submitted a message, since a real client sends its first command in its first packet. Next is the
longest idle one. A client that has submitted messages and waits for a reply is never closed for this.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

IDLE_SECONDS = 2.0  # the platform permits closing connections that have been idle this long
PRESSURE_LOAD = 0.7  # share of max_clients above which idle connections are closed
SUBMITTER_PRESSURE_LOAD = 0.5  # share of expected_submitters above which idle connections are closed


@dataclass(slots=True)
class ClientState:
    """The state of one connection; times in seconds."""

    id: int
    connected_at: float
    last_active: float  # when bytes were last read or a reply was written
    has_submitted: bool = False  # has sent a valid MSG.PUT
    has_pinged: bool = False
    busy: bool = False  # has a command without a reply
    partial_command: bool = False  # has sent part of a command
    buffered_bytes: int = 0  # received and not processed yet


class Admission:
    """Tracks all client connections, at most ``max_clients``.

    Idle connections are closed earlier while clients that have submitted messages hold many of the
    ``expected_submitters`` connections. ``max_buffered_bytes`` limits unprocessed bytes over all connections.
    """

    def __init__(
        self, max_clients: int, expected_submitters: int, max_buffered_bytes: float = math.inf
    ) -> None:
        if max_clients < 1:
            raise ValueError(f"max_clients must be at least 1, not {max_clients}")
        self.max_clients, self.expected_submitters, self.max_buffered_bytes = (
            max_clients,
            expected_submitters,
            max_buffered_bytes,
        )
        self.buffered_bytes = 0  # over all connections
        self.clients: dict[int, ClientState] = {}
        self.newcomers: dict[int, ClientState] = {}  # no message submitted yet; oldest first

    def admit(self, client_id: int, now: float) -> tuple[bool, int | None]:
        """Returns whether a new connection is accepted, and the id of the one to close for it, if any."""
        victim = None
        if len(self.clients) >= self.max_clients:
            victim = self._victim(now)
            if victim is None:
                return False, None
        self.clients[client_id] = self.newcomers[client_id] = ClientState(client_id, now, now)
        return True, victim

    def mark_submitted(self, client_id: int) -> None:
        """Records that a client has submitted a message."""
        client = self.newcomers.pop(client_id, None)
        if client is not None:
            client.has_submitted = True

    def remove(self, client_id: int) -> None:
        """Removes a closed connection."""
        client = self.clients.pop(client_id, None)
        self.newcomers.pop(client_id, None)
        self.buffered_bytes -= client.buffered_bytes if client is not None else 0

    def set_buffered(self, client: ClientState, buffered_bytes: int) -> int | None:
        """Updates a connection's unprocessed bytes; returns the id of one to close if the total is too high.

        That is the longest inactive connection with unprocessed bytes, newcomers first. A body usually
        arrives within a packet or two, so a partial one that stays marks a slow or stalled client.
        """
        self.buffered_bytes += buffered_bytes - client.buffered_bytes
        client.buffered_bytes = buffered_bytes
        if self.buffered_bytes <= self.max_buffered_bytes:
            return None
        buffering = [other for other in self.newcomers.values() if other.buffered_bytes]
        buffering = buffering or [other for other in self.clients.values() if other.buffered_bytes]
        return min(buffering, key=lambda other: other.last_active).id

    def _victim(self, now: float) -> int | None:
        """Returns the id of the connection to close for a new one, if any may be closed."""
        if self.newcomers:
            return next(iter(self.newcomers))
        idle = self._idle(now)
        return min(idle, key=lambda client: client.last_active).id if idle else None

    def _idle(self, now: float) -> list[ClientState]:
        """Returns the clients that have submitted a message and are now idle."""
        return [
            client
            for client in self.clients.values()
            if client.has_submitted and not client.busy and now - client.last_active >= IDLE_SECONDS
        ]

    def expired(self, now: float) -> list[int]:
        """Returns the ids of connections to close now.

        These are newcomers after IDLE_SECONDS (from their last activity while they send PINGs), clients that
        stopped within a command for as long, and, under pressure, those that are idle longest.
        """
        expired = [
            client.id
            for client in self.newcomers.values()
            if now
            - (
                client.last_active
                if client.has_pinged and not client.partial_command
                else client.connected_at
            )
            >= IDLE_SECONDS
        ]
        idle = self._idle(now)
        expired += [client.id for client in idle if client.partial_command]
        excess = len(self.clients) - len(expired) - int(self.max_clients * PRESSURE_LOAD)
        if len(self.clients) - len(self.newcomers) > self.expected_submitters * SUBMITTER_PRESSURE_LOAD:
            excess = len(idle)
        if excess > 0:
            candidates = sorted(
                (client for client in idle if not client.partial_command),
                key=lambda client: client.last_active,
            )
            expired += [client.id for client in candidates[:excess]]
        return expired
