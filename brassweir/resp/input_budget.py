"""Limits the bytes of client input that are in memory and not processed yet, over all connections. No I/O.

Over the limit, commands that have arrived in part are discarded: the rest of such a command is read and
dropped, and it is refused in its turn. Reading goes on everywhere, so that commands in part never wait for
one another, and no connection is closed. Bytes that are not part of an incomplete command are those of at
most one read on each connection; ``read_bytes`` keeps them within half of the limit.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

CLIENT_TIMEOUT_SECONDS = 0.4  # after which a client without a reply gives up
MIN_READ_BYTES = 1024
MAX_READ_BYTES = 16 * 1024
READ_SHARE = 0.5  # of the limit, for what all connections together may have read and not decoded


@dataclass(slots=True)
class BufferState:
    """What a connection has in memory of its client's input."""

    id: int
    buffered_bytes: int = 0  # received and not processed yet
    last_active: float = 0.0  # seconds; when bytes were last read or a reply was written
    has_submitted: bool = False  # has sent a valid MSG.PUT


class InputBudget:
    """Tracks the input of up to ``max_clients`` connections, together at most ``max_bytes``.

    A discarded command still takes a length line at most, by which the limit may be passed.
    """

    def __init__(self, max_bytes: float = math.inf, max_clients: int = 1) -> None:
        self.max_bytes = max_bytes
        self.buffered_bytes = 0  # over all connections
        share = READ_SHARE * max_bytes / max_clients
        self.read_bytes = int(min(MAX_READ_BYTES, max(MIN_READ_BYTES, share)))
        # With an incomplete command that can be discarded; least recently active first.
        self.newcomers: dict[int, BufferState] = {}
        self.submitters: dict[int, BufferState] = {}

    @property
    def exceeded(self) -> bool:
        """Whether there is too much in memory."""
        return self.buffered_bytes > self.max_bytes

    def update(self, client: BufferState, buffered_bytes: int, discardable: bool) -> None:
        """Records a connection's bytes, and whether discarding its command would free any."""
        self.buffered_bytes += buffered_bytes - client.buffered_bytes
        client.buffered_bytes = buffered_bytes
        self.newcomers.pop(client.id, None)
        self.submitters.pop(client.id, None)
        if discardable:
            group = self.submitters if client.has_submitted else self.newcomers
            group[client.id] = client

    def remove(self, client: BufferState) -> None:
        """Removes a closed connection."""
        self.update(client, 0, discardable=False)

    def next_to_discard(self, now: float) -> int | None:
        """Returns the id of the connection whose command is to be discarded next, if there is one.

        It is the longest inactive one: first of those inactive for CLIENT_TIMEOUT_SECONDS, then of the
        newcomers. A body usually arrives within a packet or two, so that a partial one that stays marks a
        slow or stalled client.
        """
        newcomer = next(iter(self.newcomers.values()), None)
        submitter = next(iter(self.submitters.values()), None)
        if newcomer is None or submitter is None:
            victim = newcomer or submitter
            return victim.id if victim is not None else None
        given_up = now - submitter.last_active >= CLIENT_TIMEOUT_SECONDS > now - newcomer.last_active
        return submitter.id if given_up else newcomer.id
