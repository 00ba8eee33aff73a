"""Reports for operators on one destination, or on those that lead a ranking; reads the module's state. Pure.

The size of a report depends on the request, never on the number of destinations.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from heapq import nlargest
from typing import Any

from brassweir.control import Sender
from brassweir.control.entities import Destination, Endpoint
from brassweir.control.gate import Gate
from brassweir.interface import EntryState

ORDERS: dict[str, Callable[[Destination], float]] = {
    "open": lambda dest: dest.load.open_messages,
    "out": lambda dest: dest.load.used_slots,
    "slow": lambda dest: dest.call_times.mean,
    "failing": lambda dest: max(gate.failure_share for gate in dest.gates()),
}


def _rounded(value: float) -> float | None:
    return round(value, 3) if math.isfinite(value) else None


def _gate(gate: Gate, now: float) -> dict[str, Any]:
    state = "shut" if gate.circuit_open else "waiting" if gate.wait_until > now else "open"
    return {
        "state": state,
        "wait_ms": _rounded(max(0.0, gate.wait_until - now)),
        "pace_per_second": _rounded(gate.pace),
        "failures_in_a_row": gate.failure_streak,
        "share_failed": round(gate.failure_share, 3),
        "next_trial_ms": _rounded(gate.next_trial - now) if gate.circuit_open else None,
        "returned_ms_ago": _rounded(now - gate.ramp_start),
    }


def _endpoint(endpoint: Endpoint, own_gate: bool, now: float) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "name": endpoint.info.name,
        "kind": endpoint.info.kind,
        "zone": endpoint.info.zone,
        "state": endpoint.info.state.value,
        "usable": endpoint.usable,
        "out": endpoint.active_calls,
        "failures_in_a_row": endpoint.failure_streak,
        "last_used_ms_ago": _rounded(now - endpoint.last_used),
    }
    return fields | ({"gate": _gate(endpoint.gate, now)} if own_gate else {})


def show(sender: Sender, number: int, now: float) -> dict[str, Any] | None:
    """Return the state of one destination, or None if it is unknown; does not reactivate a compacted one."""
    dest = sender.destinations.get(number)
    if dest is None:
        compacted = sender.compacted.get(number)
        if compacted is None:
            return None
        return {
            "asleep": True,
            "endpoints": [info.name for info in compacted[2::2] if info.state is not EntryState.GONE],
            "remembers": sum(len(part) // 2 for part in compacted[1]),
        }
    return {
        "asleep": False,
        "ill": dest.degraded,
        "open": dest.load.open_messages,
        "out": dest.load.used_slots,
        "held": sum(entry[2].queued for entry in dest.queue),
        "mean_call_ms": round(dest.call_times.mean, 3),
        "usual_call_ms": round(dest.call_times.baseline, 3),
        "gate": _gate(dest.gate, now),
        "endpoints": [
            _endpoint(endpoint, endpoint.gate is not dest.gate, now) for endpoint in dest.endpoints.values()
        ],
    }


def top(sender: Sender, name_of: Callable[[int], str], by: str, count: int) -> dict[str, Any]:
    """Return the first ``count`` destinations of a ranking. Raises KeyError if there is no such ranking."""
    ranking = ORDERS[by]
    leading = nlargest(count, sender.destinations.values(), key=ranking)
    return {
        "by": by,
        "awake": len(sender.destinations),
        "asleep": len(sender.compacted),
        "top": [
            {
                "destination": name_of(dest.id),
                by: round(ranking(dest), 3),
                "open": dest.load.open_messages,
                "out": dest.load.used_slots,
                "ill": dest.degraded,
            }
            for dest in leading
        ],
    }
