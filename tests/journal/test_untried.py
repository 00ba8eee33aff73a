"""After a restart, accepted messages without an attempt are attempted, whatever the state of the endpoints."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest

from brassweir import interface as api
from brassweir.core.clock import SimClock
from brassweir.core.engine import Engine
from brassweir.core.ports import FinalAnswer, Submission
from brassweir.journal import compact, recover
from brassweir.journal.records import Ended, Intent, Record
from brassweir.journal.restart import apply_plan
from brassweir.journal.state import JournalState
from tests.core.engines import SlowCarrier, Store
from tests.journal.samples import taken_record

NOW = 100_000.0
CLASSES = (
    api.MessageClass("pay", 1500.0, 6000.0, api.Effect.UNSAFE),
    api.MessageClass("key", 1500.0, 6000.0, api.Effect.KEYED, window=1000.0),
    api.MessageClass("safe", 1500.0, 6000.0, api.Effect.SAFE),
)
BY_NAME = {cls.name: cls for cls in CLASSES}


def outcomes(endpoint: str, *results: str, ago: float = 1000.0, wait: float = 0.0) -> list[Record]:
    """Return outcomes at an endpoint, 50 ms apart; the first is ``ago`` ms old."""
    return [Ended(0, 0, endpoint, result, NOW - ago + 50.0 * i, wait) for i, result in enumerate(results)]


def restarted(
    past: list[Record],
    count: int = 24,
    left: float = 4000.0,
    slots: int = 6,
    max_open: int = 80,
    senders: int = 200,
) -> Counter[str]:
    """Restart with ``count`` messages without an attempt, for four destinations with two endpoints each.

    Returns how many were attempted ("tried"), and how many ended without an attempt in the first half of their
    time ("early") or later ("late").
    """
    state, clock = JournalState(), SimClock(NOW)
    for ident in range(1, count + 1):
        state.apply(taken_record(ident, CLASSES[ident % 3].name, NOW + left, reply=b"n"))
        accepted = state.by_id[ident].taken
        assert accepted is not None
        state.by_id[ident].taken = type(accepted)(
            ident,
            "o",
            f"m{ident}",
            accepted.class_name,
            str(ident % 4 + 1),
            "",
            NOW + left,
            "a/b",
            "k",
            b"x",
            b"n",
        )
    for record in past:
        state.apply(record)
    carrier = SlowCarrier(clock)
    settings = api.Settings(
        classes=CLASSES,
        slots=slots,
        max_open=max_open,
        max_retry_after=2000.0,
        senders=senders,
        connect_timeout=1000.0,
        cold=3000.0,
        start_capacity=0.3,
        weights="rough",
    )
    engine = Engine(settings, 1, clock, lambda _: carrier, store=Store(clock))
    engine.update_list(
        api.ListUpdate(
            api.ListKind.CACHED,
            tuple(api.EndpointInfo(f"d{i}-{j}", i, "", rate=50.0) for i in (1, 2, 3, 4) for j in (0, 1)),
        )
    )
    counts, time_left_at_end = Counter[str](), dict[str, float]()

    def owing(_: int, submission: object) -> Callable[[FinalAnswer], None]:
        assert isinstance(submission, Submission)

        def give(answer: FinalAnswer) -> None:
            time_left_at_end.setdefault(submission.identity, NOW + left - clock.now())

        return give

    apply_plan(recover.plan_recovery(state, (), BY_NAME, NOW, 1e9, 0.0), engine, Store(clock), int, owing)  # type: ignore[arg-type]
    clock.run(NOW + left + 1000.0)
    assert len(time_left_at_end) == count, "every message has an answer"
    tried = {name for _, name in carrier.written}
    for name, left_at_end in time_left_at_end.items():
        counts["tried" if name in tried else "early" if left_at_end > left / 2 else "late"] += 1
    return counts


FAILS = ("reset", "timeout", "no_connection")


@pytest.mark.parametrize(
    ("past", "options"),
    [
        ([], {}),
        ([], {"max_open": 4, "slots": 4}),  # more open messages than max_open
        ([], {"slots": 1, "count": 60}),  # more messages than the initial limit, twice the slots
        ([], {"left": 600.0}),
        (outcomes("d1-0", "reset", "timeout"), {"senders": 1}),  # two failures open no circuit
        (outcomes("d1-0", "full", wait=1500.0), {"senders": 1}),
        (outcomes("d1-0", "full", "full", "full"), {"senders": 1}),
        (
            outcomes("d1-0", *FAILS) + outcomes("d1-1", "ok", ago=500.0),
            {},
        ),  # one degraded endpoint of a working destination
        (
            outcomes("d1-1", "ok", ago=1010.0)
            + outcomes("d1-0", "reset", "reset")
            + outcomes("d1-1", "reset", "ok", ago=500.0),
            {},
        ),
    ],
)
def test_all_resumed_messages_are_attempted(past: list[Record], options: dict[str, int]) -> None:
    assert restarted(past, **options) == {"tried": options.get("count", 24)}


@pytest.mark.parametrize(
    ("past", "early"),
    [
        (
            outcomes("d1-0", "full", wait=1500.0),
            0,
        ),  # 200 senders share one limit, and excess messages wait until their deadline
        (outcomes("d1-0", "reset", "timeout"), 5),  # it may be an outage, which 200 senders have met
        (
            outcomes("d1-0", *FAILS),
            6,
        ),  # the circuit is open, and a trial of each sender comes after the deadline
        (outcomes("d1-1", "ok", ago=1200.0) + outcomes("d1-0", *FAILS), 6),
        (
            outcomes("d1-0", "full", wait=3500.0),
            6,
        ),  # so long a wait counts as an outage; 2.5 s of it are left of the messages' 4 s
    ],
)
def test_only_messages_of_a_degraded_destination_stay_without_an_attempt(
    past: list[Record], early: int
) -> None:
    """A message that cannot be sent before its deadline may end early."""
    counts = restarted(past)
    assert counts["tried"] >= 18 and counts["early"] <= early, counts


def test_relevant_outcomes_are_those_of_a_process_that_kept_running() -> None:
    state = JournalState()
    for record in [
        *outcomes("a", *FAILS),
        *outcomes("b", "ok", ago=925.0),
        *outcomes("b", "reset", ago=700.0),
        *outcomes("c", "full", ago=990.0, wait=100.0),
    ]:
        state.apply(record)
    plan = recover.plan_recovery(state, (), BY_NAME, NOW, 1e9, 0.0)
    agos = [past.ago for past in plan.past]
    assert agos == sorted(agos, reverse=True), "oldest first over all endpoints"

    def left(place: Callable[[str], object]) -> list[tuple[str, float]]:
        return [(past.endpoint, past.ago) for past in recover.relevant_past(plan, place)]

    assert left(lambda name: name) == [("a", 1000.0), ("c", 990.0), ("a", 950.0), ("a", 900.0), ("b", 700.0)]
    assert left(lambda _: 1) == [("c", 990.0), ("a", 900.0), ("b", 700.0)], (
        "the success ended a run of failures, but no requested wait"
    )


def test_a_snapshot_keeps_the_last_success_and_repeated_outcomes_count_once() -> None:
    state = JournalState()
    for record in [*outcomes("b", "ok"), *outcomes("a", "reset", "reset", ago=500.0)]:
        state.apply(record)
    again = JournalState()
    kept = list(compact.live_records(state, NOW, 1e9))
    for record in [
        *kept,
        *outcomes("a", "reset", "reset", ago=500.0),
    ]:  # the last two are also in the segment after the snapshot
        again.apply(record)
    assert again.history.last_success_at == state.history.last_success_at
    assert again.history.recent_outcomes == state.history.recent_outcomes
    assert list(compact.live_records(again, NOW, 1e9)) == kept


def test_results_caused_by_the_sender_displace_no_outcomes() -> None:
    state = JournalState()
    for record in [*outcomes("a", *FAILS), *outcomes("a", *["moot", "cancelled"] * 6, ago=800.0)]:
        state.apply(record)
    assert [
        past.result.value for past in recover.plan_recovery(state, (), BY_NAME, NOW, 1e9, 0.0).past
    ] == list(FAILS)


def test_an_attempt_after_damage_has_a_number_of_its_own() -> None:
    """Otherwise its outcome could be attributed to an earlier attempt, which may have run."""
    state = JournalState()
    for record in (
        taken_record(1, "key", NOW + 4000.0),
        Intent(1, 1, "e", NOW - 100.0),
    ):  # the record of the first attempt is lost
        state.apply(record)
    assert recover.plan_recovery(state, (), BY_NAME, NOW, 1e9, 0.0).resumed[0].number == 2
