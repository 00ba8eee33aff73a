"""Destinations that fold up when idle decide the same as ones that never do, and cost little meanwhile."""

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


class Sleepless(Sender):
    """Never folds anything up."""

    def _compact(self, dest: Destination) -> None:
        pass


def drive(seed: int, senders: tuple[type[Sender], ...], until: float = 90_000.0) -> list[Sender]:
    """The same random day to each: busy and quiet spells, lists, every ending; all must act alike."""
    rng = Random(seed)
    kinds = (
        api.DestinationKind("a", separate_routes=True),
        api.DestinationKind("b", batch=2),
        api.DestinationKind("c"),
    )
    sets = api.Settings(
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
    made = [kind(sets, seed, 0.0) for kind in senders]
    infos = [
        api.EndpointInfo(f"e{d}-{i}", d, "abc"[d % 3], rate=rng.choice([0.0, 4.0, 20.0]))
        for d in range(8)
        for i in range(rng.randint(1, 3))
    ]
    told = rng.random() < 0.5
    events: list[api.Event] = [api.ListUpdate(api.ListKind.FULL, tuple(infos))]
    pending: list[tuple[float, int, api.Event]] = []
    now, messages, tries = 0.0, 0, dict[int, int]()
    while now < until:
        replies = [sender.handle(now, list(events)) for sender in made]
        assert all(reply == replies[0] for reply in replies), (seed, now, events, replies)
        for action in replies[0]:
            if isinstance(action, api.SetTimer):
                pending.append((action.at, len(pending), api.TimerDue()))
            elif isinstance(action, api.Send):
                number = tries[action.id] = tries.get(action.id, -1) + 1
                at, result = now + rng.expovariate(1 / 100.0), api.Result.OK
                if rng.random() < 0.25:
                    result = rng.choice(
                        [api.Result.ERROR, api.Result.BUSY, api.Result.RESET, api.Result.NO_CONNECTION]
                    )
                if at >= action.abandon_at:
                    at, result = action.abandon_at, api.Result.TIMEOUT
                wait = rng.choice([0.0, 300.0, 4000.0]) if result is api.Result.BUSY else 0.0
                limit = rng.choice([5.0, 10.0]) if told else None
                ended = api.AttemptEnded(
                    action.id,
                    number,
                    action.endpoint,
                    result,
                    at - now,
                    result is api.Result.OK,
                    wait,
                    rng.random() if told else None,
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
                            one.name,
                            one.destination if rng.random() < 0.95 else rng.randrange(8),
                            one.kind,
                            state=rng.choice(states),
                            rate=one.rate,
                        )
                        for one in infos
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
    return made


def test_folding_changes_no_decision() -> None:
    slept = 0
    for seed in range(12):
        made = drive(seed, (Sender, Sleepless))
        slept += len(made[0].compacted)
    assert slept > 20, "the days were meant to let destinations sleep"


def test_a_fold_that_forgets_is_noticed() -> None:
    class Forgetful(Sender):
        def _compact(self, dest: Destination) -> None:
            dest.call_times.mean = dest.call_times.baseline = 0.0
            super()._compact(dest)

    with pytest.raises(AssertionError):
        for seed in range(12):
            drive(seed, (Forgetful, Sleepless))


def asleep(result: api.Result, **more: Any) -> tuple[Sender, api.EndpointInfo, float]:
    """A sender whose one destination fell asleep after this ending."""
    sets = api.Settings(classes=CLASSES, slots=4, max_open=40, max_retry_after=2000.0, cold=10_000.0)
    sender = Sender(sets, 1, 0.0)
    info = api.EndpointInfo("e", 1, "k")
    sender.handle(0.0, [api.ListUpdate(api.ListKind.FULL, (info,)), api.NewMessage(1, "unsafe", 1, 4000.0)])
    sender.handle(50.0, [api.AttemptEnded(1, 0, "e", result, 50.0, True, **more)])
    now = 0.0
    while 1 in sender.destinations:
        now += PERIOD_MS
        assert now < 20 * COMPACT_AFTER_PERIODS * PERIOD_MS
        sender.handle(now, [api.TimerDue()])
    return sender, info, now


def test_a_wait_outlives_the_sleep() -> None:
    sender, _, now = asleep(api.Result.BUSY, wait=86_400_000.0)
    later = now + 3_600_000.0
    actions = sender.handle(later, [api.NewMessage(2, "safe", 1, 3000.0)])
    assert not [one for one in actions if isinstance(one, api.Send)], "told to wait a day, an hour has passed"


def test_an_outage_outlives_the_sleep() -> None:
    sets = api.Settings(
        classes=CLASSES, slots=4, max_open=40, max_retry_after=2000.0, cold=10_000.0, senders=50
    )
    sender = Sender(sets, 1, 0.0)
    sender.handle(0.0, [api.ListUpdate(api.ListKind.FULL, (api.EndpointInfo("e", 1, "k"),))])
    for i in range(6):
        now = i * 700.0
        sent = [
            one
            for one in sender.handle(now, [api.NewMessage(i, "unsafe", 1, 4000.0)])
            if isinstance(one, api.Send)
        ]
        for one in sent:
            sender.handle(now + 10.0, [api.AttemptEnded(one.id, 0, "e", api.Result.RESET, 10.0, True)])
    assert sender._destination(1).gate.circuit_open
    now = 4200.0
    while 1 in sender.destinations:
        now += PERIOD_MS
        assert now < 900_000.0
        sender.handle(now, [api.TimerDue()])
    actions = sender.handle(
        now + 86_400_000.0, [api.NewMessage(100 + i, "safe", 1, 3000.0) for i in range(5)]
    )
    assert len([one for one in actions if isinstance(one, api.Send)]) == 1, (
        "still shut: a single trial, a day later"
    )


def test_the_sweep_and_the_sleepers_cost_next_to_nothing() -> None:
    sets = api.Settings(classes=CLASSES, slots=4, max_open=40)
    sender = Sender(sets, 1, 0.0)
    infos = tuple(api.EndpointInfo(f"e{i}", i, "k") for i in range(2000))
    sender.handle(0.0, [api.ListUpdate(api.ListKind.FULL, infos)])
    assert len(sender.compacted) == 2000 and not sender.destinations and not sender.adjusting_gates
    for i in range(50):
        actions = sender.handle(10.0 + i, [api.NewMessage(i, "safe", i, 3000.0)])
        for one in actions:
            if isinstance(one, api.Send):
                sender.handle(10.5 + i, [api.AttemptEnded(one.id, 0, one.endpoint, api.Result.OK, 0.5, True)])
    for second in range(1, 40):
        sender.handle(second * PERIOD_MS, [api.TimerDue()])
    assert not sender.destinations and not sender.idle_since and not sender.adjusting_gates, (
        "all is folded up again"
    )


def test_a_drain_told_of_a_sleeper_is_heard() -> None:
    sender, info, now = asleep(api.Result.OK)
    gone = api.EndpointInfo(info.name, 1, "k", state=api.EntryState.DRAINING)
    sender.handle(now, [api.ListUpdate(api.ListKind.DELTA, (gone,))])
    actions = sender.handle(now + 1.0, [api.NewMessage(2, "safe", 1, 3000.0)])
    assert not [one for one in actions if isinstance(one, api.Send)]
