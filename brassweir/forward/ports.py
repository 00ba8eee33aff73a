"""Interfaces that the front needs from the service, and its limits."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from brassweir.core.ledger import MessageRecord, SubmitStatus
from brassweir.core.ports import FinalAnswer, Submission
from brassweir.forward.decide.rules import TagRule
from brassweir.undelivered.item import UndeliveredItem

Note = Callable[[str, dict[str, object]], None]


@dataclass(frozen=True, slots=True)
class FrontLimits:
    """Limits on what sources may send and how long they may take. Sizes in bytes, times in ms."""

    chunk_bytes: int = 16_000_000  # one message as received
    unpacked_bytes: int = 64_000_000  # one message's decompressed entries
    max_entries: int = 200_000
    buffered_bytes: int = 200_000_000  # partial and unanswered chunks of all sources together
    max_connections: int = 2048
    handshake_ms: float = 10_000.0
    chunk_ms: float = 60_000.0  # from a chunk's first byte to its last, without pauses in reading
    idle_ms: float = 3_600_000.0
    write_ms: float = 30_000.0


@dataclass(frozen=True, slots=True)
class Source:
    """A client that sends chunks; ``name`` is the hostname in its PING."""

    name: str
    rules: tuple[TagRule, ...]
    acks_required: bool = True


class Submits(Protocol):
    """The part of the engine that the front needs."""

    def submit(
        self, submission: Submission, waiter: Callable[[FinalAnswer], None]
    ) -> tuple[SubmitStatus, MessageRecord]:
        """Submit a message; ``waiter`` is called with its final answer."""

    def knows(self, owner: str, identity: str) -> bool:
        """Whether a submission would join a known message or get its final answer."""


class SaveUndelivered(Protocol):
    """The undelivered store."""

    def __call__(self, item: UndeliveredItem) -> Awaitable[None]:
        """Store a message; returns once it is on disk. Raises OSError."""


class FrontMetrics(Protocol):
    """Metrics of the front."""

    def chunk_decoded(self, mode: str, entries: int, size: int) -> None:
        """Count a decoded chunk."""

    def replied(self, kind: str) -> None:
        """Count a reply to a source by its kind."""

    def set_buffered(self, buffered_bytes: int, waiting: int, connections: int) -> None:
        """Set the bytes buffered, the connections that wait to read, and all connections."""


class NoMetrics:
    """Counts nothing."""

    def chunk_decoded(self, mode: str, entries: int, size: int) -> None:
        """Do nothing."""

    def replied(self, kind: str) -> None:
        """Do nothing."""

    def set_buffered(self, buffered_bytes: int, waiting: int, connections: int) -> None:
        """Do nothing."""
