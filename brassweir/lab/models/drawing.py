"""Days drawn from a deployment: one seed, one day."""

from __future__ import annotations

from collections.abc import Sequence

import numpy as np

from brassweir.lab.models.day import ClassPlan, ClientPlan, Day, Home, Order, SenderPlan, Strike
from brassweir.lab.models.deployment import AT_SENDERS, Deployment, ModelKind, TroubleModel
from brassweir.lab.models.desk import Manner


def _between(rng: np.random.Generator, low: float, high: float) -> float:
    return float(rng.uniform(low, high))


def _homes(deployment: Deployment, rng: np.random.Generator) -> tuple[list[Home], np.ndarray]:
    kinds = {kind.name: kind for kind in deployment.kinds}
    homes: list[Home] = []
    weights: list[float] = []
    total = sum(group.share for group in deployment.groups)
    for group in deployment.groups:
        kind = kinds[group.kind]
        zipf = 1.0 / np.arange(1, group.count + 1) ** group.zipf
        weights += list(group.share / total * zipf / zipf.sum())
        for i in range(group.count):
            name = f"{group.name}{i + 1}"
            homes.append(
                Home(
                    name,
                    kind.name,
                    _manner(kind, rng),
                    [f"{name}-{'abcdefghijklmnopqrst'[j]}" for j in range(kind.endpoints)],
                    kind.near_ms,
                    kind.far_ms,
                    int(rng.integers(deployment.senders.zones)),
                    kind.says_crowded,
                )
            )
    return homes, np.array(weights)


def _manner(kind: ModelKind, rng: np.random.Generator) -> Manner:
    limit = kind.limit
    return Manner(
        service=kind.median_ms / 1000.0,
        workers=int(rng.integers(kind.workers[0], kind.workers[1] + 1)),
        queue=kind.queue,
        rate=limit.per_second if limit else 0.0,
        span=limit.span_s if limit else 0.0,
        tells_wait=limit.tells_wait if limit else 0.8,
        connections=kind.connections,
        cold=kind.cold_s,
        start_capacity=kind.start_capacity,
        tip_multiple=kind.tip_multiple,
        window=kind.window_ms / 1000.0,
        counts_refused=limit.counts_refused if limit else True,
        sigma=kind.sigma,
        tail_share=kind.tail_share,
        tail_factor=kind.tail_factor,
    )


def _times(rng: np.random.Generator, count: int, start: float, end: float, peak: float) -> np.ndarray:
    """Arrivals in ms: even, or with a hump of ``peak`` times the mean in the middle (by rejection)."""
    if peak <= 1.0:
        return np.sort(rng.uniform(start, end, count))
    out: list[float] = []
    while len(out) < count:
        at = rng.uniform(0.0, 1.0, count)
        height = (1.0 + (peak - 1.0) * np.sin(np.pi * at)) / peak
        out += list(at[rng.uniform(0.0, 1.0, count) < height])
    return np.sort(start + (end - start) * np.array(out[:count]))


def draw(deployment: Deployment, seed: int) -> Day:
    """One day. The same deployment and seed give the same day on every machine."""
    # Streams of their own, so that another trouble does not change who sends what.
    homes_rng, orders_rng, strikes_rng, lists_rng = (
        np.random.default_rng([seed, stream]) for stream in range(4)
    )
    homes, weights = _homes(deployment, homes_rng)
    end = deployment.seconds * 1000.0
    strikes = _strikes(deployment, strikes_rng, weights)
    orders = _orders(deployment, orders_rng, weights, strikes)
    sets, clients = deployment.senders, deployment.clients
    return Day(
        deployment.name,
        seed,
        end,
        deployment.warm_s * 1000.0,
        [
            ClassPlan(
                one.name,
                one.effect,
                one.aim_ms,
                one.deadline_ms,
                one.window_ms,
                one.in_order,
                one.late_worth,
                one.weight,
            )
            for one in deployment.classes
        ],
        {kind.name: kind.batch for kind in deployment.kinds},
        [kind.name for kind in deployment.kinds if kind.routes == "apart"],
        homes,
        SenderPlan(
            sets.count,
            sets.slots,
            sets.max_open,
            sets.zones,
            sets.max_attempts,
            sets.connect_timeout_ms,
            sets.max_retry_after_ms,
            sets.order_pause_ms,
            sets.cold_ms,
            sets.start_capacity,
            sets.tip_multiple,
            sets.journal_commit_ms,
            sets.idle_ms,
            sets.few_connections,
        ),
        ClientPlan(clients.tries, clients.honour_wait, clients.backoff_ms, clients.moves),
        orders,
        strikes,
        [_between(lists_rng, *deployment.list_delay_s) * 1000.0 for _ in range(sets.count)],
    )


def _orders(
    deployment: Deployment, rng: np.random.Generator, weights: np.ndarray, strikes: Sequence[Strike]
) -> list[Order]:
    last = deployment.seconds * 1000.0 - max(one.deadline_ms for one in deployment.classes) - 1000.0
    last = max(last, deployment.seconds * 500.0)
    count = int(rng.poisson(deployment.rate * last / 1000.0))
    at = _times(rng, count, 0.0, last, deployment.peak)
    to = rng.choice(len(weights), count, p=weights)
    for strike in strikes:
        if strike.kind != "burst":
            continue
        extra = rng.poisson(
            strike.factor
            * deployment.rate
            * (strike.end - strike.start)
            / 1000.0
            * weights[np.array(strike.targets) - 1]
        )
        for target, many in zip(strike.targets, extra, strict=True):
            at = np.concatenate([at, rng.uniform(strike.start, min(strike.end, last), many)])
            to = np.concatenate([to, np.full(many, target - 1)])
    order = np.argsort(at, kind="stable")
    at, to = at[order], to[order]
    shares = np.array([one.share for one in deployment.classes])
    classes = rng.choice(len(shares), len(at), p=shares / shares.sum())
    clients = rng.integers(0, deployment.clients.count, len(at))
    senders = rng.integers(0, deployment.senders.count, len(at))
    keys = rng.integers(0, deployment.clients.keys, len(at))
    names = [one.name for one in deployment.classes]
    in_order = [one.in_order for one in deployment.classes]
    out = []
    for i in range(len(at)):
        cls = int(classes[i])
        key, sender = "", int(senders[i])
        if in_order[cls]:
            key = f"{int(to[i]) + 1}.{int(keys[i])}"
            sender = (int(to[i]) * 31 + int(keys[i])) % deployment.senders.count  # one key, one sender
        out.append(Order(round(float(at[i]), 3), int(clients[i]), sender, names[cls], int(to[i]) + 1, key))
    return out


def _strikes(deployment: Deployment, rng: np.random.Generator, weights: np.ndarray) -> list[Strike]:
    out: list[Strike] = []
    for model in deployment.troubles:
        for _ in range(int(rng.integers(model.count[0], model.count[1] + 1))):
            out.append(_strike(deployment, model, rng, weights))
    return sorted(out, key=lambda one: (one.start, one.kind, one.targets))


def _strike(
    deployment: Deployment, model: TroubleModel, rng: np.random.Generator, weights: np.ndarray
) -> Strike:
    span = _between(rng, *model.seconds) * 1000.0
    first, last = deployment.warm_s * 1000.0, deployment.seconds * 700.0
    start = _between(rng, first, max(first, last - span))
    many = int(rng.integers(model.targets[0], model.targets[1] + 1))
    if model.kind in AT_SENDERS:
        count = deployment.senders.count
        targets = rng.choice(count, min(many, count), replace=False)
    else:
        busy = rng.random() < model.busy
        many = min(many, len(weights))
        targets = 1 + rng.choice(len(weights), many, replace=False, p=weights if busy else None)
    return Strike(
        model.kind,
        sorted(int(one) for one in targets),
        round(start, 1),
        round(start + span, 1),
        round(_between(rng, *model.share), 3),
        round(_between(rng, *model.factor), 3),
    )
