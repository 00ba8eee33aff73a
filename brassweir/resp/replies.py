"""The replies of one connection, in the order of its commands. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from brassweir.core.ledger import MessageRecord


class PendingReply:
    """A command's position in the order of replies; ``line`` is empty until the reply is known."""

    __slots__ = ("line", "record")

    def __init__(self, line: bytes = b"") -> None:
        self.line = line
        self.record: MessageRecord | None = None  # the command's message, until it has its reply


class ReplyQueue:
    """The replies that were not written yet, oldest first."""

    __slots__ = ("pending",)

    def __init__(self) -> None:
        self.pending: deque[PendingReply] = deque()

    def __len__(self) -> int:
        return len(self.pending)

    def add(self, line: bytes = b"") -> PendingReply:
        """Adds the next command's place, with its reply if that is known."""
        reply = PendingReply(line)
        self.pending.append(reply)
        return reply

    def remove(self, reply: PendingReply) -> None:
        """Removes the place of a command that gets another reply."""
        self.pending.remove(reply)

    def take_ready(self) -> bytes:
        """Removes and returns the replies that are next in order and known."""
        lines = []
        while self.pending and self.pending[0].line:
            lines.append(self.pending.popleft().line)
        return b"".join(lines)

    def unanswered(self) -> Iterator[PendingReply]:
        """Yields the places without a reply."""
        return (reply for reply in list(self.pending) if not reply.line)
