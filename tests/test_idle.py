"""Tests that compacting idle destinations changes no decision and that compacted ones cost little."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from brassweir import interface as api
from brassweir.control import Sender
from brassweir.control.backlog import PERIOD_MS
from brassweir.control.entities import Destination
from brassweir.control.state import COMPACT_AFTER_PERIODS

CLASSES = (
    api.MessageClass("safe", 500.0, 3000.0, api.Effect.SAFE),
    api.MessageClass("keyed", 500.0, 3000.0, api.Effect.KEYED, window=2000.0, in_order=True),
    api.MessageClass("unsafe", 800.0, 4000.0, api.Effect.UNSAFE),
)


class NeverCompacting(Sender):
    """A sender that never compacts idle destinations."""

    def _compact(self, dest: Destination) -> None:
        pass


def drive(seed: int, senders: tuple[type[Sender], ...], until: float = 90_000.0) -> list[Sender]:
    """Feed the same random events to one sender of each class and assert that their actions are equal.

    Busy and quiet periods alternate. The events cover list updates and attempt results of all kinds.
    ``until`` is in ms.
    """
    rng = Random(seed)
    kinds = (
        api.DestinationKind("a", separate_routes=True),
        api.DestinationKind("b", batch=2),
        api.DestinationKind("c"),
    )
    settings = api.Settings(
        classes=CLASSES,
        slots=rng.choice([3, 8]),
        max_open=40,
        senders=rng.choice([1, 4]),
        kinds=kinds,
        idle_close=rng.choice([0.0, 2000.0]),
        max_retry_after=2000.0,
        weights=rng.choice(["none", "rate"]),
        cold=rng.choice([0.0, 3000.0, 10000.0]),
        order_pause=100.0,
    )
    instances = [sender_class(settings, seed, 0.0) for sender_class in senders]
    infos = [
        api.EndpointInfo(f"e{d}-{i}", d, "abc"[d % 3], rate=rng.choice([0.0, 4.0, 20.0]))
        for d in range(8)
        for i in range(rng.randint(1, 3))
    ]
    reports_load = rng.random() < 0.5
    events: list[api.Event] = [api.ListUpdate(api.ListKind.FULL, tuple(infos))]
    pending: list[tuple[float, int, api.Event]] = []
    now, messages, attempts = 0.0, 0, dict[int, int]()
    while now < until:
        replies = [sender.handle(now, list(events)) for sender in instances]
        assert all(reply == replies[0] for reply in replies), (seed, now, events, replies)
        for action in replies[0]:
            if isinstance(action, api.SetTimer):
                pending.append((action.at, len(pending), api.TimerDue()))
            elif isinstance(action, api.Send):
                number = attempts[action.id] = attempts.get(action.id, -1) + 1
                at, result = now + rng.expovariate(1 / 100.0), api.Result.OK
                if rng.random() < 0.25:
                    result = rng.choice(
                        [api.Result.ERROR, api.Result.BUSY, api.Result.RESET, api.Result.NO_CONNECTION]
                    )
                if at >= action.abandon_at:
                    at, result = action.abandon_at, api.Result.TIMEOUT
                wait = rng.choice([0.0, 300.0, 4000.0]) if result is api.Result.BUSY else 0.0
                limit = rng.choice([5.0, 10.0]) if reports_load else None
                ended = api.AttemptEnded(
                    action.id,
                    number,
                    action.endpoint,
                    result,
                    at - now,
                    result is api.Result.OK,
                    wait,
                    rng.random() if reports_load else None,
                    limit,
                )
                pending.append((at, len(pending), ended))
        quiet = int(now // 25_000) % 2 == 1
        at = now + rng.expovariate(1 / (3000.0 if quiet else 60.0))
        pending.sort(key=lambda entry: entry[:2])
        if pending and pending[0][0] <= at:
            now = max(now, pending[0][0])
            due = [entry for entry in pending if entry[0] <= now]
            pending = pending[len(due) :]
            events = [entry[2] for entry in due]
        elif rng.random() < 0.04:
            now = at
            states = [api.EntryState.READY] * 4 + [api.EntryState.DRAINING, api.EntryState.GONE]
            kind = rng.choice([api.ListKind.DELTA, api.ListKind.FULL])
            share = 0.95 if kind is api.ListKind.FULL else 0.2
            events = [
                api.ListUpdate(
                    kind,
                    tuple(
                        api.EndpointInfo(
                            info.name,
                            info.destination if rng.random() < 0.95 else rng.randrange(8),
                            info.kind,
                            state=rng.choice(states),
                            rate=info.rate,
                        )
                        for info in infos
                        if rng.random() < share
                    ),
                )
            ]
        else:
            now = at
            messages += 1
            name = rng.choice([cls.name for cls in CLASSES])
            events = [
                api.NewMessage(
                    messages,
                    name,
                    rng.randrange(9),
                    rng.choice([1000.0, 3000.0]),
                    key=str(rng.randrange(3)) if name == "keyed" else "",
                )
            ]
    return instances


def test_compaction_changes_no_decision() -> None:
    compacted = 0
    for seed in range(12):
        instances = drive(seed, (Sender, NeverCompacting))
        compacted += len(instances[0].compacted)
    assert compacted > 20, "too few destinations were compacted to compare"


def test_compaction_that_loses_state_is_detected() -> None:
    class LossyCompaction(Sender):
        def _compact(self, dest: Destination) -> None:
            dest.call_times.mean = dest.call_times.baseline = 0.0
            super()._compact(dest)

    with pytest.raises(AssertionError):
        for seed in range(12):
            drive(seed, (LossyCompaction, NeverCompacting))


def compacted_sender(result: api.Result, **more: Any) -> tuple[Sender, api.EndpointInfo, float]:
    """Return a sender whose one destination was compacted after this result, its endpoint and the time in ms."""
    settings = api.Settings(classes=CLASSES, slots=4, max_open=40, max_retry_after=2000.0, cold=10_000.0)
    sender = Sender(settings, 1, 0.0)
    info = api.EndpointInfo("e", 1, "k")
    sender.handle(0.0, [api.ListUpdate(api.ListKind.FULL, (info,)), api.NewMessage(1, "unsafe", 1, 4000.0)])
    sender.handle(50.0, [api.AttemptEnded(1, 0, "e", result, 50.0, True, **more)])
    now = 0.0
    while 1 in sender.destinations:
        now += PERIOD_MS
        assert now < 20 * COMPACT_AFTER_PERIODS * PERIOD_MS
        sender.handle(now, [api.TimerDue()])
    return sender, info, now


def test_a_requested_wait_survives_compaction() -> None:
    sender, _, now = compacted_sender(api.Result.BUSY, wait=86_400_000.0)
    later = now + 3_600_000.0
    actions = sender.handle(later, [api.NewMessage(2, "safe", 1, 3000.0)])
    assert not [action for action in actions if isinstance(action, api.Send)], (
        "sent after an hour of a requested wait of a day"
    )


def test_an_open_circuit_survives_compaction() -> None:
    settings = api.Settings(
        classes=CLASSES,
        slots=4,
        max_open=40,
        max_retry_after=2000.0,
        cold=10_000.0,
        senders=50,
        weights="rate",
    )
    sender = Sender(settings, 1, 0.0)
    sender.handle(0.0, [api.ListUpdate(api.ListKind.FULL, (api.EndpointInfo("e", 1, "k", rate=500.0),))])
    for i in range(6):
        now = i * 700.0
        sent = [
            action
            for action in sender.handle(now, [api.NewMessage(i, "unsafe", 1, 4000.0)])
            if isinstance(action, api.Send)
        ]
        for send in sent:
            sender.handle(now + 10.0, [api.AttemptEnded(send.id, 0, "e", api.Result.RESET, 10.0, True)])
    assert sender._destination(1).gate.circuit_open
    now = 4200.0
    while 1 in sender.destinations:
        now += PERIOD_MS
        assert now < 900_000.0
        sender.handle(now, [api.TimerDue()])
    actions = sender.handle(
        now + 86_400_000.0, [api.NewMessage(100 + i, "safe", 1, 3000.0) for i in range(5)]
    )
    assert len([action for action in actions if isinstance(action, api.Send)]) == 1, (
        "an open circuit allows one trial, even a day later"
    )


def test_idle_destinations_are_compacted_and_leave_no_periodic_work() -> None:
    settings = api.Settings(classes=CLASSES, slots=4, max_open=40)
    sender = Sender(settings, 1, 0.0)
    infos = tuple(api.EndpointInfo(f"e{i}", i, "k") for i in range(2000))
    sender.handle(0.0, [api.ListUpdate(api.ListKind.FULL, infos)])
    assert len(sender.compacted) == 2000 and not sender.destinations and not sender.adjusting_gates
    for i in range(50):
        actions = sender.handle(10.0 + i, [api.NewMessage(i, "safe", i, 3000.0)])
        for action in actions:
            if isinstance(action, api.Send):
                sender.handle(
                    10.5 + i, [api.AttemptEnded(action.id, 0, action.endpoint, api.Result.OK, 0.5, True)]
                )
    for second in range(1, 40):
        sender.handle(second * PERIOD_MS, [api.TimerDue()])
    assert not sender.destinations and not sender.idle_since and not sender.adjusting_gates, (
        "not all idle destinations were compacted again"
    )


def test_a_compacted_destination_is_drained_by_a_list_update() -> None:
    sender, info, now = compacted_sender(api.Result.OK)
    draining = api.EndpointInfo(info.name, 1, "k", state=api.EntryState.DRAINING)
    sender.handle(now, [api.ListUpdate(api.ListKind.DELTA, (draining,))])
    actions = sender.handle(now + 1.0, [api.NewMessage(2, "safe", 1, 3000.0)])
    assert not [action for action in actions if isinstance(action, api.Send)]
