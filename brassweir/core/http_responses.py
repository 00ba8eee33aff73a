"""How all HTTP carriers read a failed call, a requested wait and a reported rate limit. Pure."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from email.utils import parsedate_to_datetime

from brassweir.core.ports import Outcome
from brassweir.interface import Result


def no_answer(connected: bool, written: bool, late: bool, reason: str) -> Outcome:
    """Return the outcome of a call without a complete response; ``late`` means that its time was up.

    If nothing was written, the call cannot have taken effect. Once a byte was written, the destination may
    have read the whole request, however little of the response arrived.
    """
    if not connected or not written:
        return Outcome(Result.NO_CONNECTION, reason)
    return Outcome(Result.TIMEOUT if late else Result.RESET, reason)


@dataclass(frozen=True, slots=True)
class ServerHints:
    """Response headers as values: ``wait`` in ms, ``limit`` in calls per second, ``limit_left`` a share."""

    wait: float = 0.0
    limit: float | None = None
    limit_left: float | None = None


def read_hints(field: Callable[[str], str], wall: float) -> ServerHints:
    """Read Retry-After (RFC 9110, section 10.2.3) and the RateLimit fields; ``wall`` is the time in seconds.

    ``field`` returns a header's value, or "". Both forms of the RateLimit fields in the drafts of
    httpapi-ratelimit-headers are accepted. Unreadable values are ignored, as they must not fail a delivered
    message.
    """
    wait = 0.0
    text = field("retry-after").strip()
    if re.fullmatch(r"\d{1,9}", text):
        wait = float(text) * 1000.0
    elif text:
        try:
            wait = max(0.0, parsedate_to_datetime(text).timestamp() - wall) * 1000.0
        except (ValueError, TypeError, OverflowError):
            wait = 0.0
    limit, limit_left = _rate_limit(field)
    return ServerHints(wait, limit, limit_left)


def _rate_limit(field: Callable[[str], str]) -> tuple[float | None, float | None]:
    policy = re.search(r"(?:^|,)\s*\"?[\w.-]*\"?\s*;(.*)", field("ratelimit-policy"))
    quota, window = _number(field("ratelimit-limit")), None
    if policy is not None:
        quota = _param(policy[1], "q") or quota
        window = _param(policy[1], "w")
    else:
        legacy = re.match(r"\s*(\d+)\s*;\s*w=(\d+)", field("ratelimit-policy"))
        if legacy is not None:
            quota, window = float(legacy[1]), float(legacy[2])
    state = re.search(r";(.*)", field("ratelimit"))
    remaining = _param(state[1], "r") if state is not None else _number(field("ratelimit-remaining"))
    if not quota or not window:
        return None, None
    return quota / window, None if remaining is None else min(1.0, remaining / quota)


def _number(text: str) -> float | None:
    number = re.match(r"\s*(\d{1,9})(?:\s*[,;]|\s*$)", text)
    return float(number[1]) if number is not None else None


def _param(text: str, name: str) -> float | None:
    parameter = re.search(rf"(?:^|;)\s*{name}=(\d{{1,9}})\b", text)
    return float(parameter[1]) if parameter is not None else None
