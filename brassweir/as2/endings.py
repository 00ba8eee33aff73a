"""How each ending of an attempt reads: the table of docs/design-as2.md as code. Pure.

The question behind every row is whether the payment can have taken effect. Only what proves that the
partner cannot have read a whole message says no: a connection that never stood, or the partner's own word
that it refused the message unseen.
"""

from __future__ import annotations

from dataclasses import dataclass

from brassweir.as2.errors import As2Error, Modifier
from brassweir.as2.mdn import Mdn
from brassweir.core.http_responses import ServerHints
from brassweir.core.ports import Outcome
from brassweir.interface import Result

# Statuses that speak of the message itself: it would be no other at a later try (RFC 9110, section 15.5).
ABOUT_THE_MESSAGE = frozenset({413, 414, 415, 422, 431})
# Modifiers that do: the partner has read the message and will not take it.
ABOUT_THE_CONTENT = frozenset(
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


def status(code: int, hints: ServerHints, busy: frozenset[int]) -> Outcome | None:
    """What an HTTP status says, or None for a success, whose receipt then decides.

    ``busy`` are statuses by which the partner has agreed to mean "refused unseen". 503 means that too where
    it names a wait: a partner that says when to come back has not taken the message on.
    """
    reason = f"status {code}"
    if 200 <= code < 300:
        return None
    if code in busy or (code == 503 and hints.wait > 0):
        return Outcome(Result.BUSY, reason, wait=hints.wait, limit_left=hints.limit_left, limit=hints.limit)
    if code in ABOUT_THE_MESSAGE:
        return Outcome(Result.OK, reason, rejected=True, limit_left=hints.limit_left, limit=hints.limit)
    return Outcome(Result.ERROR, reason, limit_left=hints.limit_left, limit=hints.limit)


@dataclass(frozen=True, slots=True)
class Expected:
    """What a receipt must show to count."""

    message_id: str
    mic: str
    micalg: str
    signed: bool
    repeat: bool  # an earlier attempt may have run: a duplicate is then our own


def receipt(got: Mdn, expected: Expected, hints: ServerHints) -> Outcome:
    """What a receipt says; it was parsed, and its signature, if any, held."""

    def say(result: Result, reason: str, rejected: bool = False) -> Outcome:
        return Outcome(result, reason, rejected, limit_left=hints.limit_left, limit=hints.limit)

    if expected.signed and got.signer is None:
        return say(Result.ERROR, "receipt is not signed")
    if got.original_message_id.strip("<>") != expected.message_id.strip("<>"):
        return say(Result.ERROR, "receipt is for another message")
    disposition, modifier = got.disposition, got.disposition.modifier.lower()
    if modifier == Modifier.DUPLICATE.value and expected.repeat:
        return say(Result.OK, "the partner had it from an earlier attempt")
    if disposition.good:
        if modifier == Modifier.DUPLICATE.value:
            return say(Result.OK, "the partner calls it a duplicate")
        if got.mic and (got.mic != expected.mic or got.micalg not in ("", expected.micalg)):
            return say(Result.ERROR, "receipt shows another MIC: not what we sent")
        if not got.mic and expected.signed:
            return say(Result.ERROR, "signed receipt without MIC")
        return say(Result.OK, disposition.modifier)
    if modifier in ABOUT_THE_CONTENT or modifier == Modifier.DUPLICATE.value:
        return say(Result.OK, f"the partner says {disposition.modifier}", rejected=True)
    return say(Result.ERROR, f"the partner says {disposition.modifier or disposition.kind}")


def unreadable(error: As2Error, hints: ServerHints) -> Outcome:
    """A receipt that cannot be read, or that the wrong key signed: it proves nothing either way."""
    return Outcome(Result.ERROR, f"receipt: {error.reason}", limit_left=hints.limit_left, limit=hints.limit)
