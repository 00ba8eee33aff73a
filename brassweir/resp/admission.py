"""Decides which client connections to close when descriptors run short. No I/O.

A new connection is accepted if another can be closed for it. Closed first is the oldest connection that has
not submitted a message, since a real client sends its first command in its first packet. Next is the longest
idle one. A connection that still has something to be answered or read is never closed at once: it is
answered, and stays until its client closes, for which a share of the connections is set apart.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brassweir.resp.input_budget import BufferState

IDLE_SECONDS = 2.0  # the platform permits closing connections that have been idle this long
PRESSURE_LOAD = 0.7  # share of max_clients above which idle connections are closed
SUBMITTER_PRESSURE_LOAD = 0.5  # share of expected_submitters above which idle connections are closed
CLOSING_SHARE = 1 / 6  # of max_clients, kept for connections that are answered and wait for their client


@dataclass(slots=True)
class ClientState(BufferState):
    """The state of one connection; times in seconds."""

    connected_at: float = 0.0
    has_pinged: bool = False
    busy: bool = False  # has a command without a reply
    stalled: bool = False  # has sent part of a command, or does not read its replies
    closing: bool = False  # is answered and waits for its client to close


@dataclass(frozen=True, slots=True)
class Decision:
    """Whether a new connection is accepted, and which one is closed for it, if any."""

    accepted: bool
    victim: int | None = None
    at_once: bool = False  # the victim's descriptor is free at once; otherwise it is answered first


class Admission:
    """Tracks all client connections, at most ``max_clients``.

    Idle connections are closed earlier while clients that have submitted messages hold many of the
    ``expected_submitters`` connections.
    """

    def __init__(self, max_clients: int, expected_submitters: int) -> None:
        if max_clients < 1:
            raise ValueError(f"max_clients must be at least 1, not {max_clients}")
        self.max_clients, self.expected_submitters = max_clients, expected_submitters
        self.max_open_clients = max_clients - int(max_clients * CLOSING_SHARE)
        self.clients: dict[int, ClientState] = {}
        self.newcomers: dict[int, ClientState] = {}  # no message submitted yet, not closing; oldest first
        self.closing: dict[int, ClientState] = {}  # oldest first

    def admit(
        self, client_id: int, now: float, can_close_at_once: Callable[[int], bool] = lambda _: True
    ) -> Decision:
        """Decides about a new connection.

        ``can_close_at_once`` tells of a connection's id whether nothing is left to be read from it or
        written to it, so that closing it loses no reply.
        """
        decision = Decision(accepted=True)
        if len(self.clients) - len(self.closing) >= self.max_open_clients:
            decision = self._make_room(now, can_close_at_once)
        elif len(self.clients) >= self.max_clients:
            decision = self._end_closing(can_close_at_once)
        if decision.accepted:
            self.clients[client_id] = self.newcomers[client_id] = ClientState(
                client_id, connected_at=now, last_active=now
            )
        return decision

    def mark_submitted(self, client_id: int) -> None:
        """Records that a client has submitted a message."""
        client = self.clients.get(client_id)
        self.newcomers.pop(client_id, None)
        if client is not None:
            client.has_submitted = True

    def mark_closing(self, client_id: int) -> None:
        """Records that a connection is only answered, and waits for its client to close."""
        client = self.clients.get(client_id)
        self.newcomers.pop(client_id, None)
        if client is not None:
            client.closing = True
            self.closing[client_id] = client

    def remove(self, client_id: int) -> None:
        """Removes a closed connection."""
        for group in (self.clients, self.newcomers, self.closing):
            group.pop(client_id, None)

    def _make_room(self, now: float, can_close_at_once: Callable[[int], bool]) -> Decision:
        """Chooses a connection to close for a new one: a newcomer, else the longest idle one."""
        idle = sorted(self._idle(now), key=lambda client: client.last_active)
        candidates = [*self.newcomers.values(), *idle]
        for client in candidates:
            if can_close_at_once(client.id):
                return Decision(True, client.id, at_once=True)
        if len(self.clients) >= self.max_clients:
            return self._end_closing(can_close_at_once)
        answerable = (client for client in candidates if client.stalled)
        victim = next(answerable, None)
        return Decision(True, victim.id) if victim is not None else Decision(False)

    def _end_closing(self, can_close_at_once: Callable[[int], bool]) -> Decision:
        """Chooses a connection that is answered and whose client takes its time to close."""
        for client_id in self.closing:
            if can_close_at_once(client_id):
                return Decision(True, client_id, at_once=True)
        return Decision(False)

    def _idle(self, now: float) -> list[ClientState]:
        """Returns the clients that have submitted a message and are now idle."""
        return [
            client
            for client in self.clients.values()
            if client.has_submitted
            and not client.busy
            and not client.closing
            and now - client.last_active >= IDLE_SECONDS
        ]

    def expired(self, now: float) -> list[int]:
        """Returns the ids of connections to close now.

        These are newcomers after IDLE_SECONDS (from their last activity while they send PINGs), clients that
        stopped within a command or do not read for as long, and, under pressure, those that are idle longest.
        """
        expired = [
            client.id
            for client in self.newcomers.values()
            if now - (client.last_active if client.has_pinged and not client.stalled else client.connected_at)
            >= IDLE_SECONDS
        ]
        idle = self._idle(now)
        expired += [client.id for client in idle if client.stalled]
        excess = len(self.clients) - len(expired) - int(self.max_clients * PRESSURE_LOAD)
        submitters = len(self.clients) - len(self.newcomers) - len(self.closing)
        if submitters > self.expected_submitters * SUBMITTER_PRESSURE_LOAD:
            excess = len(idle)
        if excess > 0:
            candidates = sorted(
                (client for client in idle if not client.stalled),
                key=lambda client: client.last_active,
            )
            expired += [client.id for client in candidates[:excess]]
        return expired
