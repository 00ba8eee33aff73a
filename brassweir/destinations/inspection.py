"""What operators may ask of one destination, or of the most burdened ones. Reads the decisions' state; pure.

The answer's size hangs on what was asked, never on how many destinations there are.
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


def _plain(value: float) -> float | None:
    return round(value, 3) if math.isfinite(value) else None


def _gate(gate: Gate, now: float) -> dict[str, Any]:
    state = "shut" if gate.circuit_open else "waiting" if gate.wait_until > now else "open"
    return {
        "state": state,
        "wait_ms": _plain(max(0.0, gate.wait_until - now)),
        "pace_per_second": _plain(gate.pace),
        "failures_in_a_row": gate.failure_streak,
        "share_failed": round(gate.failure_share, 3),
        "next_trial_ms": _plain(gate.next_trial - now) if gate.circuit_open else None,
        "returned_ms_ago": _plain(now - gate.ramp_start),
    }


def _endpoint(one: Endpoint, own: bool, now: float) -> dict[str, Any]:
    shown: dict[str, Any] = {
        "name": one.info.name,
        "kind": one.info.kind,
        "zone": one.info.zone,
        "state": one.info.state.value,
        "usable": one.usable,
        "out": one.active_calls,
        "failures_in_a_row": one.failure_streak,
        "last_used_ms_ago": _plain(now - one.last_used),
    }
    return shown | ({"gate": _gate(one.gate, now)} if own else {})


def show(sender: Sender, number: int, now: float) -> dict[str, Any] | None:
    """One destination's full state; None if there is none. One that is folded up stays asleep."""
    dest = sender.destinations.get(number)
    if dest is None:
        nap = sender.compacted.get(number)
        if nap is None:
            return None
        return {
            "asleep": True,
            "endpoints": [info.name for info in nap[2::2] if info.state is not EntryState.GONE],
            "remembers": sum(len(part) // 2 for part in nap[1]),
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
        "endpoints": [_endpoint(one, one.gate is not dest.gate, now) for one in dest.endpoints.values()],
    }


def top(sender: Sender, name_of: Callable[[int], str], by: str, count: int) -> dict[str, Any]:
    """The ``count`` destinations that lead in one respect. Raises KeyError for an unknown one."""
    order = ORDERS[by]
    leading = nlargest(count, sender.destinations.values(), key=order)
    return {
        "by": by,
        "awake": len(sender.destinations),
        "asleep": len(sender.compacted),
        "top": [
            {
                "destination": name_of(dest.id),
                by: round(order(dest), 3),
                "open": dest.load.open_messages,
                "out": dest.load.used_slots,
                "ill": dest.degraded,
            }
            for dest in leading
        ],
    }
