"""The best that could be done on a day, with full sight: an upper bound by linear programmes. Pure.

For each destination by itself: how much of what arrived in each slot of time is served in which later slot,
so that the worth is greatest, within what the destination can do in each slot. Relaxed on purpose, so that
it is a bound: messages may be cut, senders have no limits, no answer is lost, and capacities are
expectations of the drawn call times, not their luck. A destination that never fills costs no programme.
"""

from __future__ import annotations

import math
from collections import defaultdict

import highspy
import numpy as np

from brassweir.lab.models.day import ClassPlan, Day, Home, Strike
from brassweir.lab.models.worth import worth

SLOT = 250.0  # ms


def mean_service(home: Home) -> float:
    """Expected seconds of one call."""
    manner = home.manner
    if not manner.sigma:
        return manner.service
    mean = manner.service * math.exp(manner.sigma**2 / 2.0)
    return mean * (1.0 + manner.tail_share * (manner.tail_factor - 1.0))


def capacity(home: Home, strikes: list[Strike], at: float, batch: int) -> float:
    """Messages that a destination can serve in the slot from ``at`` (ms)."""
    manner = home.manner
    # A further message of a call costs a tenth of one, as the modelled partner has it.
    rate = manner.workers / mean_service(home) * batch / (1.0 + 0.1 * (batch - 1))
    limit = manner.rate * batch if manner.rate else math.inf
    for one in strikes:
        if not one.start <= at < one.end:
            continue
        if one.kind in ("crash", "hang", "shut"):
            rate *= 1.0 - one.share
        elif one.kind in ("errors", "reset"):
            rate *= 1.0  # an error costs no worker: the next call may pass at once
        elif one.kind == "slow" and one.share >= 1.0:
            rate /= max(1.0, one.factor)
        elif one.kind == "throttle":
            limit *= one.factor
        elif one.kind == "pause":
            rate = 0.0
    return min(rate, limit) * SLOT / 1000.0


def best(day: Day) -> float:
    """The greatest worth that the messages handed in after the warm-up could come to."""
    classes = {one.name: one for one in day.classes}
    # Those of the warm-up are not counted and take no room: the bound is only looser for it.
    arrivals: dict[int, dict[tuple[str, int], int]] = defaultdict(lambda: defaultdict(int))
    for order in day.orders:
        if order.at >= day.warm:
            arrivals[order.destination][order.class_name, int(order.at // SLOT)] += 1
    strikes: dict[int, list[Strike]] = defaultdict(list)
    for strike in day.strikes:
        if strike.kind not in ("sender_crash", "sender_roll", "stale_list", "burst"):
            for target in strike.targets:
                strikes[target].append(strike)
    total = 0.0
    for number, groups in arrivals.items():
        home = day.homes[number - 1]
        batch = day.batches.get(home.kind, 1)
        slots = int(day.end // SLOT) + int(max(one.deadline for one in day.classes) // SLOT) + 2
        caps = np.array([capacity(home, strikes[number], slot * SLOT, batch) for slot in range(slots)])
        if not strikes[number] and _fits(groups, caps):
            total += sum(count * classes[name].weight for (name, _), count in groups.items())
        else:
            total += _programme(groups, classes, caps)
    return total


def _fits(groups: dict[tuple[str, int], int], caps: np.ndarray) -> bool:
    """Is every slot's arrival within its capacity? Then nothing ever waits."""
    per_slot: dict[int, int] = defaultdict(int)
    for (_, slot), count in groups.items():
        per_slot[slot] += count
    return all(count <= caps[slot] for slot, count in per_slot.items())


def _programme(groups: dict[tuple[str, int], int], classes: dict[str, ClassPlan], caps: np.ndarray) -> float:
    """Maximise worth: a variable for each group of arrivals and slot within its time."""
    costs: list[float] = []
    rows_of: list[tuple[int, int]] = []  # the group and the slot of each variable
    keys = sorted(groups)
    for row, (name, slot) in enumerate(keys):
        cls = classes[name]
        for later in range(int(cls.deadline // SLOT) + 1):
            value = worth(cls, later * SLOT)
            if value > 0.0 and slot + later < len(caps):
                costs.append(value)
                rows_of.append((row, slot + later))
    if not costs:
        return 0.0
    model = highspy.HighsLp()
    count = len(costs)
    model.num_col_, model.num_row_ = count, len(keys) + len(caps)
    model.sense_ = highspy.ObjSense.kMaximize
    model.col_cost_ = np.array(costs)
    model.col_lower_, model.col_upper_ = np.zeros(count), np.full(count, highspy.kHighsInf)
    model.row_lower_ = np.full(model.num_row_, -highspy.kHighsInf)
    model.row_upper_ = np.concatenate([[groups[key] for key in keys], caps])
    matrix = model.a_matrix_
    matrix.format_ = highspy.MatrixFormat.kColwise
    matrix.start_ = np.arange(0, 2 * count + 1, 2)
    matrix.index_ = np.array([place for row, slot in rows_of for place in (row, len(keys) + slot)])
    matrix.value_ = np.ones(2 * count)
    solver = highspy.Highs()
    solver.silent()
    solver.passModel(model)
    solver.run()
    if solver.getModelStatus() != highspy.HighsModelStatus.kOptimal:
        raise ArithmeticError(f"no optimum: {solver.getModelStatus()}")
    return float(solver.getInfo().objective_function_value)
