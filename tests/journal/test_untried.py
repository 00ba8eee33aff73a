"""What a restart finds taken on and untried is tried, whatever the state of queue, bound and destinations."""

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
from tests.journal.made import taken

NOW = 100_000.0
CLASSES = (
    api.MessageClass("pay", 1500.0, 6000.0, api.Effect.UNSAFE),
    api.MessageClass("key", 1500.0, 6000.0, api.Effect.KEYED, window=1000.0),
    api.MessageClass("safe", 1500.0, 6000.0, api.Effect.SAFE),
)
BY_NAME = {cls.name: cls for cls in CLASSES}


def ends(endpoint: str, *results: str, ago: float = 1000.0, wait: float = 0.0) -> list[Record]:
    """Endings at an endpoint, 50 ms apart, the first of them so long ago."""
    return [Ended(0, 0, endpoint, result, NOW - ago + 50.0 * i, wait) for i, result in enumerate(results)]


def restarted(
    past: list[Record],
    count: int = 24,
    left: float = 4000.0,
    slots: int = 6,
    max_open: int = 80,
    senders: int = 200,
) -> Counter[str]:
    """How messages found untried, for four destinations with two endpoints each, fared: tried, or given up with
    what part of their time left."""
    lives, clock = JournalState(), SimClock(NOW)
    for ident in range(1, count + 1):
        lives.apply(taken(ident, CLASSES[ident % 3].name, NOW + left, reply=b"n"))
        taken_on = lives.by_id[ident].taken
        assert taken_on is not None
        lives.by_id[ident].taken = type(taken_on)(
            ident,
            "o",
            f"m{ident}",
            taken_on.class_name,
            str(ident % 4 + 1),
            "",
            NOW + left,
            "a/b",
            "k",
            b"x",
            b"n",
        )
    for record in past:
        lives.apply(record)
    carrier = SlowCarrier(clock)
    sets = api.Settings(
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
    engine = Engine(sets, 1, clock, lambda _: carrier, store=Store(clock))
    engine.update_list(
        api.ListUpdate(
            api.ListKind.CACHED,
            tuple(api.EndpointInfo(f"d{i}-{j}", i, "", rate=50.0) for i in (1, 2, 3, 4) for j in (0, 1)),
        )
    )
    found, given_up = Counter[str](), dict[str, float]()

    def owing(_: int, submission: object) -> Callable[[FinalAnswer], None]:
        assert isinstance(submission, Submission)

        def give(answer: FinalAnswer) -> None:
            given_up.setdefault(submission.identity, NOW + left - clock.now())

        return give

    apply_plan(recover.plan_recovery(lives, (), BY_NAME, NOW, 1e9, 0.0), engine, Store(clock), int, owing)  # type: ignore[arg-type]
    clock.run(NOW + left + 1000.0)
    assert len(given_up) == count, "each has its end"
    tried = {name for _, name in carrier.written}
    for name, rest in given_up.items():
        found["tried" if name in tried else "early" if rest > left / 2 else "late"] += 1
    return found


FAILS = ("reset", "timeout", "no_connection")


@pytest.mark.parametrize(
    ("past", "more"),
    [
        ([], {}),
        ([], {"max_open": 4, "slots": 4}),  # more than it may hold: a new one would be refused
        ([], {"slots": 1, "count": 60}),  # the bound starts at twice the slots
        ([], {"left": 600.0}),
        (ends("d1-0", "reset", "timeout"), {}),  # not out yet
        (ends("d1-0", "full", wait=1500.0), {"senders": 1}),
        (ends("d1-0", "full", "full", "full"), {"senders": 1}),
        (
            ends("d1-0", *FAILS) + ends("d1-1", "ok", ago=500.0),
            {},
        ),  # one bad endpoint of a destination that is well
        (
            ends("d1-1", "ok", ago=1010.0)
            + ends("d1-0", "reset", "reset")
            + ends("d1-1", "reset", "ok", ago=500.0),
            {},
        ),
    ],
)
def test_all_are_tried(past: list[Record], more: dict[str, int]) -> None:
    assert restarted(past, **more) == {"tried": more.get("count", 24)}


@pytest.mark.parametrize(
    ("past", "early"),
    [
        (
            ends("d1-0", "full", wait=1500.0),
            0,
        ),  # 200 senders under one limit: what is over it waits to the end
        (ends("d1-0", *FAILS), 6),  # out as a whole, and each sender's trial later than there is time
        (ends("d1-1", "ok", ago=1200.0) + ends("d1-0", *FAILS), 6),
        (
            ends("d1-0", "full", wait=3500.0),
            6,
        ),  # a wait that long counts as an outage; 2.5 s of it are left, of 4 s
    ],
)
def test_what_is_not_tried_is_that_of_a_sick_destination(past: list[Record], early: int) -> None:
    """Early is as the module does it now: what cannot be sent before its time is up is not held until then."""
    found = restarted(past)
    assert found["tried"] >= 18 and found["early"] <= early, found


def test_what_stands_of_the_past_is_what_stood_when_the_process_ran() -> None:
    lives = JournalState()
    for record in [
        *ends("a", *FAILS),
        *ends("b", "ok", ago=925.0),
        *ends("b", "reset", ago=700.0),
        *ends("c", "full", ago=990.0, wait=100.0),
    ]:
        lives.apply(record)
    plan = recover.plan_recovery(lives, (), BY_NAME, NOW, 1e9, 0.0)
    agos = [one.ago for one in plan.past]
    assert agos == sorted(agos, reverse=True), "oldest first, whatever the endpoint"

    def left(place: Callable[[str], object]) -> list[tuple[str, float]]:
        return [(one.endpoint, one.ago) for one in recover.relevant_past(plan, place)]

    assert left(lambda name: name) == [("a", 1000.0), ("c", 990.0), ("a", 950.0), ("a", 900.0), ("b", 700.0)]
    assert left(lambda _: 1) == [("c", 990.0), ("a", 900.0), ("b", 700.0)], (
        "the pass ended a row, and no told wait"
    )


def test_a_snapshot_keeps_the_last_pass_and_what_comes_twice_counts_once() -> None:
    lives = JournalState()
    for record in [*ends("b", "ok"), *ends("a", "reset", "reset", ago=500.0)]:
        lives.apply(record)
    again = JournalState()
    kept = list(compact.live_records(lives, NOW, 1e9))
    for record in [
        *kept,
        *ends("a", "reset", "reset", ago=500.0),
    ]:  # the last two stand behind the snapshot too
        again.apply(record)
    assert again.last_success_at == lives.last_success_at and again.recent_outcomes == lives.recent_outcomes
    assert list(compact.live_records(again, NOW, 1e9)) == kept


def test_what_was_our_own_doing_drives_no_evidence_out() -> None:
    lives = JournalState()
    for record in [*ends("a", *FAILS), *ends("a", *["moot", "cancelled"] * 6, ago=800.0)]:
        lives.apply(record)
    assert [
        one.result.value for one in recover.plan_recovery(lives, (), BY_NAME, NOW, 1e9, 0.0).past
    ] == list(FAILS)


def test_an_attempt_after_damage_has_a_number_of_its_own() -> None:
    """Else its ending could pass for that of an earlier attempt, which may have run."""
    lives = JournalState()
    for record in (
        taken(1, "key", NOW + 4000.0),
        Intent(1, 1, "e", NOW - 100.0),
    ):  # the first attempt is lost
        lives.apply(record)
    assert recover.plan_recovery(lives, (), BY_NAME, NOW, 1e9, 0.0).resumed[0].number == 2
