"""Maps the responses of webhook endpoints to outcomes of attempts. No I/O.

The status alone decides: 2xx means delivered. 4xx rejects the message (410: the subscription) for good,
except for statuses that concern timing or load.
"""

from __future__ import annotations

from brassweir.core.http_responses import ServerHints
from brassweir.core.ports import Outcome
from brassweir.interface import Result

RETRYABLE_STATUSES = frozenset({408, 409, 423, 425})


def from_status(status: int, hints: ServerHints) -> Outcome:
    """Returns the outcome for a status (RFC 9110, section 15; 429: RFC 6585; 425: RFC 8470) and its hints."""
    reason = f"status {status}"
    if 200 <= status < 300:
        return Outcome(Result.OK, limit_left=hints.limit_left, limit=hints.limit)
    if status == 429 or (status == 503 and hints.wait > 0):
        return Outcome(Result.BUSY, reason, wait=hints.wait, limit_left=hints.limit_left, limit=hints.limit)
    if 400 <= status < 500 and status not in RETRYABLE_STATUSES:
        return Outcome(Result.OK, reason, rejected=True, limit_left=hints.limit_left, limit=hints.limit)
    return Outcome(Result.ERROR, reason, limit_left=hints.limit_left, limit=hints.limit)
