"""Maps HTTP statuses and receipts to outcomes of attempts, as the table in docs/design-as2.md. No I/O.

The outcome says whether the message may have taken effect at the partner. It cannot have if no connection
was established, or if the partner reported that it refused the message without processing it.
"""

from __future__ import annotations

from dataclasses import dataclass

from brassweir.as2.errors import As2Error, Modifier
from brassweir.as2.mdn import Mdn
from brassweir.core.http_responses import ServerHints
from brassweir.core.ports import Outcome
from brassweir.interface import Result

# Statuses about the message itself, which a retry would not change (RFC 9110, section 15.5).
REJECTING_STATUSES = frozenset({413, 414, 415, 422, 431})
# Modifiers by which a partner rejects a message that it has read.
REJECTING_MODIFIERS = frozenset(
    {
        Modifier.AUTHENTICATION.value,
        Modifier.DECRYPTION.value,
        Modifier.DECOMPRESSION.value,
        Modifier.SECURITY.value,
        Modifier.SELF.value,
        "unsupported format",
        "unsupported-format",
        "unsupported mic-algorithms",
        "unsupported-mic-algorithms",
    }
)


def of_status(code: int, hints: ServerHints, busy: frozenset[int]) -> Outcome | None:
    """Returns the outcome of an HTTP status, or None for a success, whose receipt decides.

    ``busy`` are the statuses agreed to mean that the message was refused without being processed. A 503 with
    Retry-After means the same.
    """
    reason = f"status {code}"
    if 200 <= code < 300:
        return None
    if code in busy or (code == 503 and hints.wait > 0):
        return Outcome(Result.BUSY, reason, wait=hints.wait, limit_left=hints.limit_left, limit=hints.limit)
    if code in REJECTING_STATUSES:
        return Outcome(Result.OK, reason, rejected=True, limit_left=hints.limit_left, limit=hints.limit)
    return Outcome(Result.ERROR, reason, limit_left=hints.limit_left, limit=hints.limit)


@dataclass(frozen=True, slots=True)
class Expected:
    """What a receipt must show to be accepted."""

    message_id: str
    mic: str
    micalg: str
    signed: bool
    repeat: bool  # an earlier attempt may have taken effect: a reported duplicate is then its message


def of_receipt(mdn: Mdn, expected: Expected, hints: ServerHints) -> Outcome:
    """Returns the outcome of a parsed receipt, whose signature, if it has one, is valid."""

    def outcome(result: Result, reason: str, rejected: bool = False) -> Outcome:
        return Outcome(result, reason, rejected, limit_left=hints.limit_left, limit=hints.limit)

    if expected.signed and mdn.signer is None:
        return outcome(Result.ERROR, "receipt is not signed")
    if mdn.original_message_id.strip("<>") != expected.message_id.strip("<>"):
        return outcome(Result.ERROR, "receipt is for another message")
    disposition, modifier = mdn.disposition, mdn.disposition.modifier.lower()
    if modifier == Modifier.DUPLICATE.value and expected.repeat:
        return outcome(Result.OK, "the partner had it from an earlier attempt")
    if disposition.good:
        if modifier == Modifier.DUPLICATE.value:
            return outcome(Result.OK, "the partner calls it a duplicate")
        if mdn.mic and (mdn.mic != expected.mic or mdn.micalg not in ("", expected.micalg)):
            return outcome(Result.ERROR, "receipt shows another MIC: not what we sent")
        if not mdn.mic and expected.signed:
            return outcome(Result.ERROR, "signed receipt without MIC")
        return outcome(Result.OK, disposition.modifier)
    if modifier in REJECTING_MODIFIERS or modifier == Modifier.DUPLICATE.value:
        return outcome(Result.OK, f"the partner says {disposition.modifier}", rejected=True)
    return outcome(Result.ERROR, f"the partner says {disposition.modifier or disposition.kind}")


def of_unreadable_receipt(error: As2Error, hints: ServerHints) -> Outcome:
    """Returns the outcome of a receipt that cannot be parsed or verified: the effect is unknown."""
    return Outcome(Result.ERROR, f"receipt: {error.reason}", limit_left=hints.limit_left, limit=hints.limit)
