"""Checks the platform's rules of delivery against what its stand-ins recorded."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from brassweir.lab.standins.platform import Call
from brassweir.lab.standins.relay_client import HandIn

SLACK_MS = 350.0  # ms after a message's deadline in which its end still counts


@dataclass(slots=True)
class RecordedTraffic:
    """The traffic that the stand-ins recorded."""

    hand_ins: list[HandIn] = field(default_factory=list)
    calls: list[tuple[int, Call]] = field(default_factory=list)  # with the destination that received it
    delivered: list[str] = field(default_factory=list)
    notices: list[tuple[float, dict[str, Any]]] = field(default_factory=list)


def find_violations(seen: RecordedTraffic, unsafe: frozenset[str], now: float) -> list[str]:
    """Return one line per violation of the platform's rules; ``now`` is in ms.

    Every accepted message must end with a delivery, or with a notice before its deadline. Every call must
    carry a submitted message, unchanged, to its destination. A message of a class in ``unsafe`` may be
    delivered only once.
    """
    problems = []
    submissions = {submission.id: submission for submission in seen.hand_ins}
    deliveries, notified_at = Counter(seen.delivered), {notice["ref"]: at for at, notice in seen.notices}
    for submission in seen.hand_ins:
        if not submission.line.startswith(b"+"):
            continue
        deadline = submission.at + submission.span + SLACK_MS
        if not deliveries[submission.id] and (
            notified_at.get(submission.id, now) > deadline
            or (submission.id not in notified_at and now > deadline)
        ):
            problems.append(f"{submission.id} was taken on and lost")
        if submission.class_name in unsafe and deliveries[submission.id] > 1:
            problems.append(
                f"{submission.id} may not be repeated and was delivered {deliveries[submission.id]} times"
            )
    for destination, call in seen.calls:
        submitted = submissions.get(call.id)
        if submitted is None:
            problems.append(f"{call.id} was never handed in")
        elif (submitted.destination, submitted.key, submitted.body) != (destination, call.key, call.body):
            problems.append(f"{call.id} came changed, or to the wrong destination")
    return problems
