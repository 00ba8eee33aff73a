"""Matches asynchronous receipts from partners to the attempts that wait for them. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from brassweir.as2.mdn import Mdn


class Verdict(Enum):
    """How a received receipt relates to the attempts made."""

    DUE = auto()  # passed to the attempt that waits for it
    LATE = auto()  # the attempt has ended; has no effect
    SECOND = auto()  # a duplicate: a receipt was received before
    UNKNOWN = auto()  # not a message sent from here, or no longer remembered
    WRONG_PARTNER = auto()  # the message was sent to another partner


@dataclass(slots=True)
class _Expected:
    partner: str
    on_receipt: Callable[[Mdn], None] | None
    received: bool = False


class Receipts:
    """Expected receipts by Message-ID. ``max_remembered`` limits the entries of attempts that have ended."""

    def __init__(self, max_remembered: int = 50_000) -> None:
        self.expected: OrderedDict[str, _Expected] = OrderedDict()
        self.max_remembered = max_remembered

    def expect(self, message_id: str, partner: str, on_receipt: Callable[[Mdn], None]) -> None:
        """Registers an attempt that waits for a receipt; it replaces an earlier attempt of the message."""
        self.expected[_bare(message_id)] = _Expected(partner, on_receipt)
        self.expected.move_to_end(_bare(message_id))

    def attempt_ended(self, message_id: str) -> None:
        """Records that the attempt is over, so that a receipt from now on is late."""
        expected = self.expected.get(_bare(message_id))
        if expected is not None:
            expected.on_receipt = None
        while len(self.expected) > self.max_remembered:
            oldest = next(iter(self.expected))
            if self.expected[oldest].on_receipt is not None:
                break  # an attempt still waits for it
            del self.expected[oldest]

    def partner_of(self, message_id: str) -> str | None:
        """Returns the partner that the message was sent to, or None if it is not known."""
        expected = self.expected.get(_bare(message_id))
        return expected.partner if expected is not None else None

    def receive(self, partner: str, mdn: Mdn) -> Verdict:
        """Matches a receipt whose signature was verified with that partner's certificates."""
        expected = self.expected.get(_bare(mdn.original_message_id))
        if expected is None:
            return Verdict.UNKNOWN
        if expected.partner != partner:
            return Verdict.WRONG_PARTNER
        if expected.received:
            return Verdict.SECOND
        expected.received = True
        if expected.on_receipt is None:
            return Verdict.LATE
        expected.on_receipt(mdn)
        return Verdict.DUE


def _bare(message_id: str) -> str:
    return message_id.strip().strip("<>")
