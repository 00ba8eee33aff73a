"""Maps an endpoint's response to the outcome of an attempt. Pure.

===========================================  ================  ==========================================
response                                     result            has the message run?
===========================================  ================  ==========================================
200, whatever follows the status line        OK                yes
500                                          ERROR             possibly
429, with or without X-Backoff-Ms            BUSY, a wait      no
503                                          BUSY              no
503 that closes a new connection             CONNECTION_LIMIT  no: the connection limit is reached
503 with X-Egress-Full: 1                    NOT_STARTED       no: all slots of this sender were in use
504                                          NOT_STARTED       no: the attempts are used up
410                                          NOT_STARTED       no, and the message is rejected as over
any other status                             ERROR             possibly
not connected, or nothing sent               NO_CONNECTION     no
connection lost, or an unreadable response   RESET             possibly
no complete response in time                 TIMEOUT           possibly, or it still may
===========================================  ================  ==========================================

The last three rows are decided by the carrier, which has no response in these cases.
"""

from __future__ import annotations

import re
from collections.abc import Callable

from brassweir.core.ports import Outcome
from brassweir.interface import Result

MAX_BACKOFF_MS = 3_600_000.0  # a longer wait is taken for an error of the endpoint
_BACKOFF = re.compile(r"\d{1,9}(?:\.\d{1,6})?")
_LOAD_VALUE = re.compile(r"-?\d{1,12}(?:\.\d{1,12})?(?:[eE]-?\d{1,2})?")

HeaderLookup = Callable[[str], str]


def response_outcome(status: int, header: HeaderLookup, reused: bool) -> Outcome:
    """Map a complete response to an outcome. ``reused`` says that the connection had served an earlier call.

    A 503 with ``Connection: close`` and without a load report on a new connection means that the endpoint's
    connection limit is reached. An endpoint over its rate limit keeps the connection open and gets BUSY. If a
    full connection limit counted as BUSY too, the call rate would drop while idle connections kept using up
    the limit.
    """
    limit_left, limit = parse_load_report(header("X-Backend-Load"))
    if status == 200:
        return Outcome(Result.OK, limit_left=limit_left, limit=limit)
    reason = f"status {status}"
    if status == 429:
        return Outcome(
            Result.BUSY,
            reason,
            wait=_parse_backoff(header("X-Backoff-Ms")),
            limit_left=limit_left,
            limit=limit,
        )
    if status == 503 and header("X-Egress-Full").strip() == "1":
        return Outcome(
            Result.NOT_STARTED, "all slots of this sender were taken", limit_left=limit_left, limit=limit
        )
    if (
        status == 503
        and not reused
        and limit_left is None
        and header("Connection").strip().lower() == "close"
    ):
        return Outcome(Result.CONNECTION_LIMIT, "status 503, connection closed")
    if status == 503:
        return Outcome(Result.BUSY, reason, limit_left=limit_left, limit=limit)
    if status == 504:
        return Outcome(Result.NOT_STARTED, "no attempts are left", limit_left=limit_left, limit=limit)
    if status == 410:
        return Outcome(Result.NOT_STARTED, "the message is over", rejected=True)
    return Outcome(Result.ERROR, reason, limit_left=limit_left, limit=limit)


def parse_load_report(text: str) -> tuple[float | None, float | None]:
    """Parse ``X-Backend-Load`` into the remaining share of the rate limit and the limit in calls per second.

    Either is None if it is not reported. A header with any malformed or out-of-range part is ignored as a
    whole.
    """
    values: dict[str, float] = {}
    for part in text.split(",") if text else ():
        name, separator, value = part.strip().partition("=")
        if not separator or name in values or not _LOAD_VALUE.fullmatch(value):
            return None, None
        values[name] = float(value)
    limit_left, limit = values.get("x0"), values.get("x1")
    if (limit_left is not None and not 0.0 <= limit_left <= 1.0) or (limit is not None and limit < 0.0):
        return None, None
    return limit_left, limit


def _parse_backoff(text: str) -> float:
    text = text.strip()
    return min(float(text), MAX_BACKOFF_MS) if _BACKOFF.fullmatch(text) else 0.0
