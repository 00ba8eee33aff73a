"""What the front needs from the service around it, and the figures that bound what sources can make it
hold."""

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
class Bounds:
    """Sizes in bytes, times in ms."""

    chunk: int = 16_000_000  # one message as it comes
    unpacked: int = 64_000_000  # its entries, decompressed
    entries: int = 200_000
    room: int = 200_000_000  # chunks of all sources, begun or unanswered
    connections: int = 2048
    handshake_time: float = 10_000.0
    chunk_time: float = 60_000.0  # from a chunk's first byte to its last, while we read
    idle_time: float = 3_600_000.0
    write_time: float = 30_000.0


@dataclass(frozen=True, slots=True)
class Source:
    """One that hands chunks in, by the hostname that it names in its PING."""

    name: str
    rules: tuple[TagRule, ...]
    acks_required: bool = True


class Submits(Protocol):
    """The engine, as far as a front sees it."""

    def submit(
        self, submission: Submission, waiter: Callable[[FinalAnswer], None]
    ) -> tuple[SubmitStatus, MessageRecord]:
        """Hand in a message."""

    def knows(self, owner: str, identity: str) -> bool:
        """Would a hand-in join a message, or be told its answer?"""


class Keeps(Protocol):
    """The undelivered store."""

    def __call__(self, item: UndeliveredItem) -> Awaitable[None]:
        """Keep a message; returns once it is on disk. Raises OSError."""


class Counts(Protocol):
    """Metrics of the front."""

    def chunk(self, mode: str, entries: int, size: int) -> None:
        """A chunk was read."""

    def told(self, what: str) -> None:
        """A source was told so."""

    def held(self, held: int, waiting: int, connections: int) -> None:
        """Bytes held, connections that wait to read, and all of them."""


class NoCounts:
    """Counts nothing."""

    def chunk(self, mode: str, entries: int, size: int) -> None:
        """Nothing."""

    def told(self, what: str) -> None:
        """Nothing."""

    def held(self, held: int, waiting: int, connections: int) -> None:
        """Nothing."""
