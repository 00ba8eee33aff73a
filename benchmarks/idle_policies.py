"""Who should give way when a budget of connections binds: policies compared on seeded traces.

Prints the mean cost (ms) of waking a destination per message, for each policy and trace. The policy in use is the
project's own Budget; the others live here only.
"""

from __future__ import annotations

import json
from collections import OrderedDict
from collections.abc import Callable

import numpy as np

from brassweir.destinations.budget import ConnectionBudget

BUDGET, DESTINATIONS, MESSAGES, SEED = 64, 2000, 60_000, 7
Trace = list[tuple[float, int]]
Policy = Callable[[Trace, list[float]], float]


def zipf(rng: np.random.Generator) -> Trace:
    """A few busy, many rare."""
    weights = 1.0 / np.arange(1, DESTINATIONS + 1)
    to = rng.choice(DESTINATIONS, MESSAGES, p=weights / weights.sum())
    return [(float(i), int(one)) for i, one in enumerate(to)]


def periodic(rng: np.random.Generator) -> Trace:
    """Each at a period of its own, drawn from seconds to hours."""
    period = np.exp(rng.uniform(np.log(30.0), np.log(60_000.0), DESTINATIONS))
    at = [
        (float(t), i)
        for i in range(DESTINATIONS)
        for t in np.arange(rng.uniform(0, period[i]), MESSAGES / 2, period[i])
    ]
    return sorted(at)[:MESSAGES]


def waves(rng: np.random.Generator) -> Trace:
    """Zipf traffic, and now and then a wave over hundreds that are not seen again for long."""
    trace = zipf(rng)
    for start in range(2000, MESSAGES, 6000):
        for i, one in enumerate(rng.permutation(DESTINATIONS)[:400]):
            trace.append((start + i * 0.5, int(one)))
    return sorted(trace)


def lru(trace: Trace, cost: list[float]) -> float:
    """The one unused for longest."""
    held: OrderedDict[int, None] = OrderedDict()
    total = 0.0
    for _, one in trace:
        if one in held:
            held.move_to_end(one)
            continue
        total += cost[one]
        if len(held) >= BUDGET:
            held.popitem(last=False)
        held[one] = None
    return total


def clock(trace: Trace, cost: list[float]) -> float:
    """A second chance for those used since the hand last passed."""
    ring: list[int] = []
    used: dict[int, bool] = {}
    hand, total = 0, 0.0
    for _, one in trace:
        if one in used:
            used[one] = True
            continue
        total += cost[one]
        if len(ring) < BUDGET:
            ring.append(one)
        else:
            while used[ring[hand]]:
                used[ring[hand]] = False
                hand = (hand + 1) % BUDGET
            del used[ring[hand]]
            ring[hand] = one
            hand = (hand + 1) % BUDGET
        used[one] = False
    return total


def gdsf(trace: Trace, cost: list[float]) -> float:
    """Greedy dual with frequency: age plus uses times cost."""
    rank: dict[int, float] = {}
    uses: dict[int, int] = {}
    age = total = 0.0
    for _, one in trace:
        uses[one] = uses.get(one, 0) + 1
        if one not in rank:
            total += cost[one]
            if len(rank) >= BUDGET:
                out = min(rank, key=rank.__getitem__)
                age = rank.pop(out)
                uses.pop(out)
                uses[one] = 1
        rank[one] = age + uses[one] * cost[one]
    return total


def next_use(trace: Trace, cost: list[float]) -> float:
    """The one whose next use is expected last, by its mean gap; gaps are remembered for all."""
    gap: dict[int, float] = {}
    last: dict[int, float] = {}
    held: set[int] = set()
    total = 0.0
    for now, one in trace:
        if one in last:
            seen = now - last[one]
            gap[one] = seen if one not in gap else gap[one] + 0.3 * (seen - gap[one])
        last[one] = now
        if one not in held:
            total += cost[one]
            if len(held) >= BUDGET:
                held.discard(max(held, key=lambda i: max(last[i] + gap.get(i, 1e9), now) / cost[i]))
            held.add(one)
    return total


def own(trace: Trace, cost: list[float]) -> float:
    """The project's budget."""
    budget = ConnectionBudget(BUDGET)
    total = 0.0
    held: set[str] = set()
    for now, one in trace:
        key = str(one)
        if key not in held:
            total += cost[one]
            step = budget.request(key, now)
            if step.evict is not None:
                budget.closed(step.evict)
                held.discard(step.evict)
            budget.opened(key)
            held.add(key)
        budget.busy(key)
        budget.idle(key, cost[one])
    return total


def main() -> None:
    """Run all and print JSON."""
    policies: dict[str, Policy] = {
        "LRU": lru,
        "clock": clock,
        "greedy dual with frequency": gdsf,
        "expected next use by cost": next_use,
        "the project's budget": own,
    }
    found: dict[str, dict[str, float]] = {name: {} for name in policies}
    for make in (zipf, periodic, waves):
        rng = np.random.default_rng(SEED)
        cost = rng.choice([2.0, 40.0], DESTINATIONS, p=[0.8, 0.2]).tolist()
        trace = make(rng)
        for name, policy in policies.items():
            found[name][make.__name__] = round(policy(trace, cost) / len(trace), 2)
    print(json.dumps(found, indent=2))


if __name__ == "__main__":
    main()
