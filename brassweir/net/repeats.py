"""Tells an answer from a second copy of an earlier one on the same connection. No I/O.

An HTTP/1.1 response does not name its request: only the order on the connection says which one it answers
(RFC 9112, section 9.3.2). A peer that sends a response twice breaks that order, and the copy may arrive at
any later time, also after the next request was written. A copy has the status and the body of the response
that it repeats. So a response that differs in either from all earlier ones on its connection is no copy. One
that does not differ may be a copy or the next answer, and nothing can tell which.

Therefore a connection carries another call only at endpoints whose responses have been seen to differ, and
only after a success that has a body. Everywhere else each call gets a connection of its own.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from brassweir.net.parse import IncomingMessage

MAX_REMEMBERED_RESPONSES = 100  # on one connection, which is closed then
MAX_REMEMBERED_BYTES = 16_384  # of their bodies
DISTINCT_BODIES = 3  # with one status, before a connection is kept: a body with few values repeats among them
MAX_HISTORIES = 2048  # endpoints; one that is forgotten is observed anew


@dataclass(slots=True)
class RepeatCounts:
    """What has come from endpoints beyond one response to each call.

    ``skipped`` counts responses that came during a call and equal an earlier one on their connection.
    ``unrequested`` counts connections closed because bytes came while no whole request was out.
    """

    skipped: int = 0
    unrequested: int = 0

    def log_fields(self) -> dict[str, int]:
        """Return the counts under their names in the log."""
        return {"answers_repeated": self.skipped, "answers_unrequested": self.unrequested}


class EarlierResponses:
    """All responses to earlier calls on one connection."""

    __slots__ = ("responses", "size")

    def __init__(self) -> None:
        self.responses: list[tuple[int, bytes]] = []  # status and body
        self.size = 0

    @property
    def full(self) -> bool:
        """Whether no further response can be remembered."""
        return len(self.responses) >= MAX_REMEMBERED_RESPONSES or self.size > MAX_REMEMBERED_BYTES

    def add(self, status: int, body: bytes) -> None:
        """Remember the response to a call that has ended."""
        self.responses.append((status, body))
        self.size += len(body)

    def has_equal(self, message: IncomingMessage) -> bool:
        """Whether a complete response may be a copy."""
        return (message.status, bytes(message.body)) in self.responses

    def may_continue(self, message: IncomingMessage) -> bool:
        """Whether a response that may still be incomplete can turn out to be a copy."""
        begun = bytes(message.body)
        return any(status == message.status and body.startswith(begun) for status, body in self.responses)


class ResponseHistory:
    """What the responses of one endpoint looked like, over all its connections; says whether they differ.

    Only successes (2xx) with a body are recorded: errors carry fixed texts, and an empty body tells nothing.
    Once two bodies with the same status were equal, or a call has ended in doubt, connections are no longer
    kept after a response with that status.
    """

    __slots__ = ("counts", "recent_bodies", "repetitive_statuses")

    def __init__(self, counts: RepeatCounts | None = None) -> None:
        self.counts = counts or RepeatCounts()
        self.recent_bodies: dict[int, tuple[int, ...]] = {}  # hashes of the latest bodies, by status
        self.repetitive_statuses: set[int] = set()

    def record(self, status: int, body: bytes) -> bool:
        """Record a complete response; return whether its connection may carry another call."""
        if not body or not 200 <= status < 300 or status in self.repetitive_statuses:
            return False
        recent, digest = self.recent_bodies.get(status, ()), hash(body)
        if digest in recent:
            self.record_doubt(status)
            return False
        self.recent_bodies[status] = (*recent, digest)[-DISTINCT_BODIES:]
        return len(recent) >= DISTINCT_BODIES

    def record_doubt(self, status: int) -> None:
        """Record that a response with this status may have been a copy or not."""
        self.repetitive_statuses.add(status)
        self.recent_bodies.pop(status, None)


class ResponseHistories:
    """The histories of the endpoints used last, by key."""

    def __init__(self) -> None:
        self.counts = RepeatCounts()
        self.by_key: OrderedDict[str, ResponseHistory] = OrderedDict()

    def of(self, key: str) -> ResponseHistory:
        """Return the history of an endpoint, created on first use."""
        history = self.by_key.get(key)
        if history is None:
            history = self.by_key[key] = ResponseHistory(self.counts)
            if len(self.by_key) > MAX_HISTORIES:
                self.by_key.popitem(last=False)
        else:
            self.by_key.move_to_end(key)
        return history
