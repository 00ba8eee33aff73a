"""What carriers of every protocol over HTTP read alike: calls without an answer, told waits, limits. Pure."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from email.utils import parsedate_to_datetime

from brassweir.core.ports import Outcome
from brassweir.interface import Result


def no_answer(connected: bool, written: bool, late: bool, reason: str) -> Outcome:
    """A call that brought no whole answer.

    Nothing written proves that nothing ran; once a byte went out the message may have been read whole, even
    where the answer was cut in its first byte.
    """
    if not connected or not written:
        return Outcome(Result.NO_CONNECTION, reason)
    return Outcome(Result.TIMEOUT if late else Result.RESET, reason)


@dataclass(frozen=True, slots=True)
class ServerHints:
    """What headers tell of waits and limits: ``wait`` in ms, ``limit`` in calls a second, share ``left``."""

    wait: float = 0.0
    limit: float | None = None
    limit_left: float | None = None


def read_hints(field: Callable[[str], str], wall: float) -> ServerHints:
    """Read Retry-After (RFC 9110, section 10.2.3) and RateLimit fields; ``wall`` is the time in seconds.

    The RateLimit fields are read in both of the forms that the drafts of httpapi-ratelimit-headers gave
    them. What cannot be read is passed over: a bad hint must not fail a delivered message.
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
    limit, left = _rate(field)
    return ServerHints(wait, limit, left)


def _rate(field: Callable[[str], str]) -> tuple[float | None, float | None]:
    policy = re.search(r"(?:^|,)\s*\"?[\w.-]*\"?\s*;(.*)", field("ratelimit-policy"))
    quota, window = _number(field("ratelimit-limit")), None
    if policy is not None:
        quota = _param(policy[1], "q") or quota
        window = _param(policy[1], "w")
    else:
        found = re.match(r"\s*(\d+)\s*;\s*w=(\d+)", field("ratelimit-policy"))
        if found is not None:
            quota, window = float(found[1]), float(found[2])
    now = re.search(r";(.*)", field("ratelimit"))
    remaining = _param(now[1], "r") if now is not None else _number(field("ratelimit-remaining"))
    if not quota or not window:
        return None, None
    return quota / window, None if remaining is None else min(1.0, remaining / quota)


def _number(text: str) -> float | None:
    found = re.match(r"\s*(\d{1,9})(?:\s*[,;]|\s*$)", text)
    return float(found[1]) if found is not None else None


def _param(text: str, name: str) -> float | None:
    found = re.search(rf"(?:^|;)\s*{name}=(\d{{1,9}})\b", text)
    return float(found[1]) if found is not None else None
