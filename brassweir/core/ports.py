"""The engine's interfaces: the types and protocols that it shares with fronts, carriers and stores.

All times are milliseconds. Nothing here depends on a protocol: the engine passes ``Submission.payload`` on
from the front to the carrier without reading it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from brassweir.core.exchange import Exchange
from brassweir.interface import NEVER_RAN, EndpointInfo, RecoveryChange, Result


class Answer(Enum):
    """The kinds of final answer."""

    DELIVERED = "delivered"
    REFUSED = "refused"  # not delivered; submitting the message again is harmless
    FAILED = "failed"  # rejected by the destination, or possibly delivered: a later try may do harm


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The one final answer to a message.

    ``retry_after`` (ms) belongs to a refusal: the client should wait at least this long before it submits
    again.
    """

    answer: Answer
    reason: str = ""
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Payload:
    """A message's business document. ``subject`` is sent where the protocol has a field for it."""

    content_type: str
    content: bytes = field(repr=False)
    subject: str = ""


@dataclass(frozen=True, slots=True)
class Submission:
    """One message as a front submits it.

    ``owner`` and ``identity`` together identify the message permanently: the same pair is the same message.
    ``time_left`` (ms) is how long it may still be delivered. Messages of a class with ``in_order`` are
    delivered in the order of their submission per ``key``. ``resent`` means that the client marked it as a
    repetition.
    """

    owner: str
    identity: str
    class_name: str
    destination: int
    time_left: float
    key: str = ""
    resent: bool = False
    payload: object = field(default=None, repr=False)
    reply_to: bytes = field(default=b"", repr=False)  # where to send the receipt, as the front encodes it
    ran_ago: float | None = None  # ms since an attempt of an earlier submission may first have run
    created_at: float | None = None  # the client's wall-clock time (ms) of creation, if known


class BlockReason(Enum):
    """Why an attempt may no longer begin. The value is the reason in the attempt's outcome."""

    MESSAGE_OVER = "its message was over before it began"
    WINDOW_OVER = "the window of its key was over before it began"
    ENDPOINT_NOT_READY = "its endpoint was told off before it began"
    LIST_UNCONFIRMED = "nobody vouched for the endpoint list before it began"


class StartGuard:
    """Decides between beginning an attempt and cancelling it, so that never both happen.

    ``check`` returns what blocks the attempt, or None. It is called right before the first byte is written,
    and again before the last byte where the carrier holds that back. An attempt blocked before its last byte
    counts as not begun, since its request is incomplete. ``block`` is the reason that ``check`` returned.
    ``on_begin`` is called once, when the attempt begins.
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
        """Return whether the carrier may write the first byte now, or the last if it held that back."""
        if self.block is None:
            self.block = self.check()
        allowed = not self.cancelled and self.block is None
        if allowed and not self.begun:
            self.on_begin()
        self.begun = allowed
        return allowed

    def cancel(self) -> bool:
        """Cancel the attempt; return false if it has begun and cannot be cancelled."""
        self.cancelled = not self.begun
        return self.cancelled


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt that a carrier is to make; it must be over by ``abandon_at`` (engine clock, ms).

    The carrier calls ``start_guard.begin()`` right before it writes the first byte, and writes nothing if
    that returns false. The engine then reports the attempt as never started, whatever outcome the carrier
    gives.
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

    ``rejected`` means that the destination works and refused this message for good, because of its content or
    its sender: no later attempt can succeed, and the destination is not degraded. ``wait`` (ms) is a
    requested wait, as in Retry-After. ``limit`` (calls per second) and ``limit_left`` (share from 0 to 1) are
    a reported rate limit. ``exchange`` is None if the carrier does not report it.
    """

    result: Result
    reason: str = ""
    rejected: bool = False
    wait: float = 0.0
    limit_left: float | None = None
    limit: float | None = None
    exchange: Exchange | None = field(default=None, compare=False)

    @property
    def may_have_run(self) -> bool:
        """Whether the attempt may have taken effect; the decision module uses the same rule."""
        return self.result not in NEVER_RAN


class Handle(Protocol):
    """A scheduled call that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the call; does nothing if it has already run."""


class Clock(Protocol):
    """The engine's only source of time: monotonic milliseconds."""

    def now(self) -> float:
        """Return the current time."""

    def call_at(self, when: float, callback: Callable[[], None]) -> Handle:
        """Run ``callback`` at ``when``, or soon if that has passed."""

    def call_soon(self, callback: Callable[[], None]) -> Handle:
        """Run ``callback`` after everything that is already ready in this iteration of the event loop."""


class Carrier(Protocol):
    """Makes attempts in one protocol."""

    def start(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        """Start the attempt; call ``done`` with its outcome, but never before this method has returned.

        The engine itself ends the attempt at ``abandon_at``. The carrier still reports an outcome that comes
        later: the engine records it, and answers with it if it proves delivery and the message has no final
        answer yet.
        """

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to the endpoint."""


class Urls(Protocol):
    """Looks up the URLs of endpoints."""

    def url(self, endpoint: str) -> str | None:
        """Return the URL of an endpoint, or None if the endpoint list does not have it."""


class Fact(Enum):
    """What a store persists about a message, in the order in which it happens, and before which step."""

    TAKEN = "taken"  # before the message counts as accepted
    INTENT = "intent"  # before an attempt is started
    OUTCOME = "outcome"  # before the decision module receives the outcome
    FINAL = "final"  # before the final answer is given


class Store(Protocol):
    """Persists facts, so that no step is taken that a restart could forget."""

    def persist(
        self,
        fact: Fact,
        message: int,
        detail: object,
        on_durable: Callable[[], None],
        on_rejected: Callable[[str], None],
    ) -> None:
        """Persist one fact of a message.

        ``detail`` is its Submission, Attempt, (Attempt, Outcome) or FinalAnswer, in the order of
        :class:`Fact`. Calls ``on_durable`` once the fact is as durable as this store makes it, perhaps before
        this method returns. If the store has no capacity for the fact, it calls ``on_rejected`` with the
        reason instead.
        """


class MemoryStore:
    """A store without persistence: every fact counts as durable at once."""

    def persist(
        self,
        fact: Fact,
        message: int,
        detail: object,
        on_durable: Callable[[], None],
        on_rejected: Callable[[str], None],
    ) -> None:
        """Call ``on_durable`` at once."""
        on_durable()

    def recovery_changed(self, change: RecoveryChange) -> None:
        """Keep nothing: what was concluded of a destination ends with the process."""
