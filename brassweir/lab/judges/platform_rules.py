"""What broke the platform's rules, by what its stand-ins noted; knows nothing of the code under test."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from brassweir.lab.standins.platform import Call
from brassweir.lab.standins.relay_client import HandIn

SLACK = 350.0  # ms past a message's time in which its end still counts


@dataclass(slots=True)
class Seen:
    """All that passed."""

    hand_ins: list[HandIn] = field(default_factory=list)
    calls: list[tuple[int, Call]] = field(default_factory=list)  # with the destination that got it
    delivered: list[str] = field(default_factory=list)
    notices: list[tuple[float, dict[str, Any]]] = field(default_factory=list)


def broken(seen: Seen, unsafe: frozenset[str], now: float) -> list[str]:
    """What broke the platform's rules, in words; empty if nothing did.

    Every message taken on ends by a delivery or a notice in its time; calls carry what was handed in to where
    it was to go; one that may not be repeated is delivered once.
    """
    problems = []
    given = {one.id: one for one in seen.hand_ins}
    done, told = Counter(seen.delivered), {one["ref"]: at for at, one in seen.notices}
    for one in seen.hand_ins:
        if not one.line.startswith(b"+"):
            continue
        due = one.at + one.span + SLACK
        if not done[one.id] and (told.get(one.id, now) > due or (one.id not in told and now > due)):
            problems.append(f"{one.id} was taken on and lost")
        if one.class_name in unsafe and done[one.id] > 1:
            problems.append(f"{one.id} may not be repeated and was delivered {done[one.id]} times")
    for destination, call in seen.calls:
        sent = given.get(call.id)
        if sent is None:
            problems.append(f"{call.id} was never handed in")
        elif (sent.destination, sent.key, sent.body) != (destination, call.key, call.body):
            problems.append(f"{call.id} came changed, or to the wrong destination")
    return problems
