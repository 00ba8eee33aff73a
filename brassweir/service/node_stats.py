"""Collects counts, decision state and process usage for the status line that a node logs every second."""

from __future__ import annotations

import gc
import math
import resource
from collections import Counter
from typing import Any

from brassweir.control import Sender
from brassweir.core.ledger import MessageRecord
from brassweir.core.observer import EngineObserver
from brassweir.core.ports import Outcome

MAX_LISTED = 6  # destinations, and reasons, in one line


class CountingObserver(EngineObserver):
    """Counts outcomes, final answers and decision time since the last :meth:`take`."""

    def __init__(self) -> None:
        self.results: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()  # of attempts that did not deliver
        self.turns, self.spent = 0, 0.0

    def outcome(self, record: MessageRecord, number: int, outcome: Outcome, late: bool) -> None:
        """Count the result of an attempt, and its reason."""
        self.results[outcome.result.value] += 1
        if outcome.reason:
            self.reasons[outcome.reason] += 1

    def final(self, record: MessageRecord) -> None:
        """Count a final answer."""
        answer = record.answer
        assert answer is not None
        self.answers[answer.answer.value] += 1

    def turn(self, events: int, actions: int, spent: float) -> None:
        """Add the CPU time (seconds) of one decision call."""
        self.turns += 1
        self.spent += spent

    def take(self) -> dict[str, Any]:
        """Return the counts and reset them."""
        counts = {
            "results": dict(self.results),
            "answers": dict(self.answers),
            "reasons": dict(self.reasons.most_common(MAX_LISTED)),
            "turns": self.turns,
            "decisions_ms": round(self.spent * 1000.0, 1),
        }
        self.results.clear()
        self.answers.clear()
        self.reasons.clear()
        self.turns, self.spent = 0, 0.0
        return counts


def sender_status(sender: Sender, now: float) -> dict[str, Any]:
    """Return the decision module's state as log fields, with the most loaded degraded destinations. Pure."""
    degraded = [
        dest
        for dest in sender.destinations.values()
        if dest.degraded
        or any(gate.circuit_open or gate.wait_until > now or gate.pace < math.inf for gate in dest.gates())
    ]
    degraded.sort(key=lambda dest: -dest.load.open_messages)
    entries = []
    for dest in degraded[:MAX_LISTED]:
        gate = dest.gates()[0]
        call_limits = [
            endpoint.max_calls
            for endpoint in dest.endpoints.values()
            if endpoint.usable and endpoint.max_calls < math.inf
        ]
        entries.append(
            {
                "destination": dest.id,
                "ill": dest.degraded,
                "shut": gate.circuit_open,
                "wait_ms": max(0, round(gate.wait_until - now)) if gate.wait_until > now else 0,
                "pace": None if gate.pace == math.inf else round(gate.pace, 2),
                "open": dest.load.open_messages,
                "out": dest.load.used_slots,
                "mean_ms": round(dest.call_times.mean),
                "calls_at_once": [round(limit, 1) for limit in call_limits],
                "fails": [gate.failure_streak, round(gate.failure_share, 2)],
            }
        )
    return {
        "bound": sender.backlog_bound.value,
        "cost": round(sender.load.cost, 1),
        "open": sender.load.open_messages,
        "out": sender.load.used_slots,
        "apart_cost": round(sender.degraded_load.cost, 1),
        "apart_out": sender.degraded_load.used_slots,
        "mean_ms": round(sender.call_times.mean),
        "lost": round(sender.lost_share, 3),
        "sick": entries,
        "awake": len(sender.destinations),
    }


def process_usage() -> dict[str, Any]:
    """Return memory and CPU usage of this process as log fields."""
    resources = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "rss_mb": round(resident_bytes() / 1e6, 1),
        "cpu_s": round(resources.ru_utime + resources.ru_stime, 2),
        "collections": gc.get_stats()[2]["collections"],
    }


def resident_bytes() -> int:
    """Return the resident memory in bytes, or its peak on systems without /proc."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except OSError:
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
