"""How each ending of a webhook call reads. Pure; the rows that AS2 shares are in ``core.http_responses``.

A webhook's status is its whole receipt: 2xx says done. 4xx speak of the message (410: of the subscription)
and are final, but for those that speak of time or load.
"""

from __future__ import annotations

from brassweir.core.http_responses import ServerHints
from brassweir.core.ports import Outcome
from brassweir.interface import Result

ABOUT_TIME = frozenset({408, 409, 423, 425})  # a later attempt may do better


def status(code: int, hints: ServerHints) -> Outcome:
    """What an HTTP status says (RFC 9110, section 15; 429 RFC 6585; 425 RFC 8470)."""
    reason = f"status {code}"
    if 200 <= code < 300:
        return Outcome(Result.OK, limit_left=hints.limit_left, limit=hints.limit)
    if code == 429 or (code == 503 and hints.wait > 0):
        return Outcome(Result.BUSY, reason, wait=hints.wait, limit_left=hints.limit_left, limit=hints.limit)
    if 400 <= code < 500 and code not in ABOUT_TIME:
        return Outcome(Result.OK, reason, rejected=True, limit_left=hints.limit_left, limit=hints.limit)
    return Outcome(Result.ERROR, reason, limit_left=hints.limit_left, limit=hints.limit)
