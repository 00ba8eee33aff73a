"""What the engine is given and what it gives: the only words that fronts, carriers and stores share with it.

All times are milliseconds. Nothing here knows a protocol; ``payload`` is for front and carrier alone.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from brassweir.interface import NEVER_RAN, EndpointInfo, Result


class Answer(Enum):
    """The three final answers."""

    DELIVERED = "delivered"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """What a message ended as. ``retry_after`` (ms) goes with a refusal: when coming back makes sense."""

    answer: Answer
    reason: str = ""
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Payload:
    """The business document that a message carries: its type and bytes. ``subject`` travels where it can."""

    content_type: str
    content: bytes = field(repr=False)
    subject: str = ""


@dataclass(frozen=True, slots=True)
class Submission:
    """One message as a front hands it in.

    ``owner`` and ``identity`` together name it for ever: the same pair is the same message. ``left`` is the
    time (ms) in which it may still be delivered; ``key`` orders messages of classes that keep order.
    """

    owner: str
    identity: str
    class_name: str
    destination: int
    time_left: float
    key: str = ""
    resent: bool = False
    payload: object = field(default=None, repr=False)
    reply_to: bytes = field(default=b"", repr=False)  # the front's note of how to bring a receipt owed
    ran_ago: float | None = None  # ms since an attempt of an earlier hand-in may first have run
    created_at: float | None = None  # when its client made it (wall ms), where its protocol tells


class BlockReason(Enum):
    """Why an attempt may not begin any more; its value is the reason told."""

    MESSAGE_OVER = "its message was over before it began"
    WINDOW_OVER = "the window of its key was over before it began"
    ENDPOINT_NOT_READY = "its endpoint was told off before it began"
    LIST_UNCONFIRMED = "nobody vouched for the endpoint list before it began"


class StartGuard:
    """Has an attempt's first byte gone out, or was it called back before? One of the two, never both.

    ``check`` is asked right before the first byte, and before the last where that is held back: what bars the
    attempt, or None. ``bar`` is what barred it. ``began`` is called once, as it begins.
    """

    __slots__ = ("block", "on_begin", "begun", "check", "cancelled")

    def __init__(
        self,
        check: Callable[[], BlockReason | None] = lambda: None,
        on_begin: Callable[[], None] = lambda: None,
    ) -> None:
        self.begun = self.cancelled = False
        self.block: BlockReason | None = None
        self.check, self.on_begin = check, on_begin

    def begin(self) -> bool:
        """The carrier is about to write the first byte, or the last where that is held back; false if it must
        not any more."""
        if self.block is None:
            self.block = self.check()
        goes = not self.cancelled and self.block is None
        if goes and not self.begun:
            self.on_begin()
        self.begun = goes
        return goes

    def cancel(self) -> bool:
        """Call it back; false if it is under way."""
        self.cancelled = not self.begun
        return self.cancelled


@dataclass(frozen=True, slots=True)
class Attempt:
    """One call that a carrier is to make; it must be over by ``abandon_at`` (engine clock, ms).

    The carrier asks ``going.go()`` right before the first byte, and writes nothing where that is false: the
    engine has then ended the attempt by itself.
    """

    id: int
    number: int
    submission: Submission
    endpoint: EndpointInfo
    abandon_at: float
    repeat: bool  # an earlier attempt at this message may have run
    start_guard: StartGuard = field(default_factory=StartGuard, compare=False, repr=False)


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended.

    ``rejected`` says that the destination answered, at its usual pace, with a final no to this very message:
    its content or its sender, not the destination's health, is at fault, and no later attempt can help.
    ``wait`` is a told wait, ``limit`` (calls a second) and ``limit_left`` (share) a report of its limit.
    """

    result: Result
    reason: str = ""
    rejected: bool = False
    wait: float = 0.0
    limit_left: float | None = None
    limit: float | None = None

    @property
    def may_have_run(self) -> bool:
        """Can the attempt have taken effect? The same reading as the decision module's."""
        return self.result not in NEVER_RAN


class Handle(Protocol):
    """A call put off that may be taken back."""

    def cancel(self) -> None:
        """Take it back; no error if it has run."""


class Clock(Protocol):
    """The engine's only source of time: monotonic milliseconds."""

    def now(self) -> float:
        """The time now."""

    def call_at(self, when: float, what: Callable[[], None]) -> Handle:
        """Run ``what`` at ``when``, or soon if that has passed."""

    def call_soon(self, what: Callable[[], None]) -> Handle:
        """Run ``what`` after all that is ready in this turn of the loop."""


class Carrier(Protocol):
    """Makes one attempt at one endpoint."""

    def start(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        """Begin the attempt; ``done`` is called with its outcome, never from inside this call.

        The engine ends the attempt at ``abandon_at`` by itself. What the carrier learns later it still says:
        that is recorded, and is the answer if it proves delivery and none was given.
        """

    def close_idle(self, endpoint: str) -> None:
        """Close idle connections to the endpoint."""


class Urls(Protocol):
    """Where endpoints are."""

    def url(self, endpoint: str) -> str | None:
        """The URL of a listed endpoint."""


class Fact(Enum):
    """What a store is asked to keep, in the order of a message's life."""

    TAKEN = "taken"  # before any client can rely on it
    INTENT = "intent"  # before the first byte of an attempt
    OUTCOME = "outcome"  # before the module hears of it
    FINAL = "final"  # before the answer leaves


class Store(Protocol):
    """Keeps facts; ``then`` runs once the fact is as durable as the store makes it."""

    def persist(
        self,
        fact: Fact,
        message: int,
        detail: object,
        on_durable: Callable[[], None],
        on_rejected: Callable[[str], None],
    ) -> None:
        """Keep one fact of one message: its Submission, Attempt, (Attempt, Outcome) or FinalAnswer.

        Either ``then`` runs, perhaps before this returns, or, for a fact that there is no room for,
        ``unable`` with the reason.
        """


class MemoryStore:
    """Keeps nothing beyond the process: every fact counts as kept at once."""

    def persist(
        self,
        fact: Fact,
        message: int,
        detail: object,
        on_durable: Callable[[], None],
        on_rejected: Callable[[str], None],
    ) -> None:
        """Go on at once."""
        on_durable()
