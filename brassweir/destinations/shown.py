"""What operators may ask of one destination, or of the most burdened ones. Reads the decisions' state; pure.

The answer's size hangs on what was asked, never on how many destinations there are.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from heapq import nlargest
from typing import Any

from brassweir.control import Sender
from brassweir.control.gate import Gate
from brassweir.control.open import Destination, Endpoint
from brassweir.interface import State

ORDERS: dict[str, Callable[[Destination], float]] = {
    "open": lambda dest: dest.load.open,
    "out": lambda dest: dest.load.out,
    "slow": lambda dest: dest.mean.value,
    "failing": lambda dest: max(gate.bad for gate in dest.gates()),
}


def _plain(value: float) -> float | None:
    return round(value, 3) if math.isfinite(value) else None


def _gate(gate: Gate, now: float) -> dict[str, Any]:
    state = "shut" if gate.shut else "waiting" if gate.wait > now else "open"
    return {
        "state": state,
        "wait_ms": _plain(max(0.0, gate.wait - now)),
        "pace_per_second": _plain(gate.pace),
        "failures_in_a_row": gate.fails,
        "share_failed": round(gate.bad, 3),
        "next_trial_ms": _plain(gate.trial - now) if gate.shut else None,
        "returned_ms_ago": _plain(now - gate.ramp),
    }


def _endpoint(one: Endpoint, own: bool, now: float) -> dict[str, Any]:
    shown: dict[str, Any] = {
        "name": one.info.name,
        "kind": one.info.kind,
        "zone": one.info.zone,
        "state": one.info.state.value,
        "usable": one.usable,
        "out": one.out,
        "failures_in_a_row": one.fails,
        "last_used_ms_ago": _plain(now - one.used),
    }
    return shown | ({"gate": _gate(one.gate, now)} if own else {})


def show(sender: Sender, number: int, now: float) -> dict[str, Any] | None:
    """One destination's full state; None if there is none. One that is folded up stays asleep."""
    dest = sender.dests.get(number)
    if dest is None:
        nap = sender.asleep.get(number)
        if nap is None:
            return None
        return {
            "asleep": True,
            "endpoints": [info.name for info in nap[2::2] if info.state is not State.GONE],
            "remembers": sum(len(part) // 2 for part in nap[1]),
        }
    return {
        "asleep": False,
        "ill": dest.ill,
        "open": dest.load.open,
        "out": dest.load.out,
        "held": sum(entry[2].held for entry in dest.heap),
        "mean_call_ms": round(dest.mean.value, 3),
        "usual_call_ms": round(dest.mean.usual, 3),
        "gate": _gate(dest.gate, now),
        "endpoints": [_endpoint(one, one.gate is not dest.gate, now) for one in dest.endpoints.values()],
    }


def top(sender: Sender, name_of: Callable[[int], str], by: str, count: int) -> dict[str, Any]:
    """The ``count`` destinations that lead in one respect. Raises KeyError for an unknown one."""
    order = ORDERS[by]
    leading = nlargest(count, sender.dests.values(), key=order)
    return {
        "by": by,
        "awake": len(sender.dests),
        "asleep": len(sender.asleep),
        "top": [
            {
                "destination": name_of(dest.id),
                by: round(order(dest), 3),
                "open": dest.load.open,
                "out": dest.load.out,
                "ill": dest.ill,
            }
            for dest in leading
        ],
    }
