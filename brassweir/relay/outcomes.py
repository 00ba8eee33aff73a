"""How each ending of a call to an endpoint reads. Pure; the platform's table, row by row.

=======================================  =============  ==================================================
what came                                outcome        has it run?
=======================================  =============  ==================================================
200, whatever follows its line           ok             yes
500                                      error          it may have
429, perhaps with X-Backoff-Ms           full, a wait   never
503                                      full           never
503 that ends a new connection           crowded        never: the endpoint holds no more of them
503 with X-Egress-Full: 1                moot           never: all slots of this sender were taken
504                                      moot           never: no attempts are left; its end is owed
410                                      moot, over     never: the message is over
any other status                         error          it may have: nothing says that it has not
no connection, or none was written to    no connection  never
cut, or an answer that cannot be read    reset          it may have
no whole answer in time                  timeout        it may have, or may yet
=======================================  =============  ==================================================
"""

from __future__ import annotations

import re
from collections.abc import Callable

from brassweir.core.ports import Outcome
from brassweir.interface import Result

LONGEST = 3_600_000.0  # ms: a told wait beyond an hour cannot be meant
_NUMBER = re.compile(r"\d{1,9}(?:\.\d{1,6})?")
_SHARE = re.compile(r"-?\d{1,12}(?:\.\d{1,12})?(?:[eE]-?\d{1,2})?")

Field = Callable[[str], str]


def status(code: int, field: Field, kept: bool) -> Outcome:
    """What a whole answer says, on a connection that was kept from an earlier call or on a new one.

    One that is over its limit goes on with the connection, and reports if it ever does; one that holds too
    many ends the new one unheard. Whoever takes that for the limit slows down, keeps the idle connections it
    has, and so never learns why.
    """
    left, limit = report(field("X-Backend-Load"))
    if code == 200:
        return Outcome(Result.OK, limit_left=left, limit=limit)
    reason = f"status {code}"
    if code == 429:
        return Outcome(Result.BUSY, reason, wait=_wait(field("X-Backoff-Ms")), limit_left=left, limit=limit)
    if code == 503 and field("X-Egress-Full").strip() == "1":
        return Outcome(
            Result.NOT_STARTED, "all slots of this sender were taken", limit_left=left, limit=limit
        )
    if code == 503 and not kept and left is None and field("Connection").strip().lower() == "close":
        return Outcome(Result.CONNECTION_LIMIT, "status 503, connection closed")
    if code == 503:
        return Outcome(Result.BUSY, reason, limit_left=left, limit=limit)
    if code == 504:
        return Outcome(Result.NOT_STARTED, "no attempts are left", limit_left=left, limit=limit)
    if code == 410:
        return Outcome(Result.NOT_STARTED, "the message is over", rejected=True)
    return Outcome(Result.ERROR, reason, limit_left=left, limit=limit)


def report(text: str) -> tuple[float | None, float | None]:
    """The share of the allowance that is left, and the limit in calls a second; None for what is not told.

    A report that cannot be read in any part is passed over whole: half of one may be spoilt too.
    """
    found: dict[str, float] = {}
    for part in text.split(",") if text else ():
        name, sign, value = part.strip().partition("=")
        if not sign or name in found or not _SHARE.fullmatch(value):
            return None, None
        found[name] = float(value)
    left, limit = found.get("x0"), found.get("x1")
    if (left is not None and not 0.0 <= left <= 1.0) or (limit is not None and limit < 0.0):
        return None, None
    return left, limit


def _wait(text: str) -> float:
    text = text.strip()
    return min(float(text), LONGEST) if _NUMBER.fullmatch(text) else 0.0
