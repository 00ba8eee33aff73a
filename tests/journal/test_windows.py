"""What goes on after a restart keeps the deadline and the window it had: the time that a start takes counts too."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from brassweir import interface as api
from brassweir.core.ports import Answer, FinalAnswer
from brassweir.journal import recover
from brassweir.journal.records import Ended, Intent, Record, Taken
from brassweir.journal.restart import apply_plan
from brassweir.journal.state import JournalState
from tests.core.engines import SlowCarrier, Store, make_slow_engine, stall_loop

FIRST = 10_000.0  # wall ms at which the first attempt's intent was written


def started(
    classes: tuple[api.MessageClass, ...],
    records: list[Record],
    ready: float,
    pause: float = 0.0,
    turn: float = 0.0,
    prepare: Callable[[SlowCarrier], None] = lambda _: None,
) -> tuple[SlowCarrier, list[tuple[float, FinalAnswer]]]:
    """A process that reads ``records`` at ``ready``, takes ``pause`` until it carries its plan out and ``turn`` until
    the module's first turn after that; what it wrote and answered in the next 10 s."""
    lives = JournalState()
    for record in records:
        lives.apply(record)
    engine, clock, carrier = make_slow_engine(classes=classes, at=ready)
    prepare(carrier)
    plan = recover.plan_recovery(lives, (), {cls.name: cls for cls in classes}, ready, 1e9, 0.0)
    stall_loop(clock, pause)
    got: list[tuple[float, FinalAnswer]] = []

    def owing(*_: object) -> Callable[[FinalAnswer], None]:
        return lambda answer: got.append((clock.now(), answer))

    apply_plan(plan, engine, Store(clock), int, owing)  # type: ignore[arg-type]
    stall_loop(clock, turn)
    clock.run(ready + 10_000.0)
    return carrier, got


def keyed(window: float, deadline: float = 6000.0) -> api.MessageClass:
    return api.MessageClass("key", 1500.0, deadline, api.Effect.KEYED, window=window)


def taken(cls: str = "key", ident: int = 1, left: float = 6000.0) -> Taken:
    return Taken(ident, "o", f"m{ident}", cls, "1", "", FIRST - 5.0 + left, "a/b", "k", b"x", b"n")


INTENT = Intent(1, 0, "d1-0", FIRST)
STEPS: dict[str, list[Record]] = {  # what is written when the process dies
    "intent": [taken(), INTENT],  # before its first byte, or after its last: nothing tells
    "reset": [taken(), INTENT, Ended(1, 0, "d1-0", "reset", FIRST + 100.0)],
    "again": [
        taken(),
        INTENT,
        Ended(1, 0, "d1-0", "reset", FIRST + 100.0),
        Intent(1, 1, "d1-0", FIRST + 200.0),
    ],
    "unconnected first": [
        taken(),
        INTENT,
        Ended(1, 0, "d1-0", "no_connection", FIRST + 50.0),
        Intent(1, 1, "d1-0", FIRST + 200.0),
    ],
}


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("window", [1000.0, 2000.0])
@pytest.mark.parametrize(
    ("down", "pause", "turn", "connect"),
    [
        (600.0, 0.0, 0.0, 1.0),
        (850.0, 0.0, 0.0, 1.0),
        (600.0, 300.0, 0.0, 1.0),
        (600.0, 0.0, 300.0, 1.0),
        (600.0, 100.0, 100.0, 1.0),
        (600.0, 0.0, 0.0, 900.0),
        (1300.0, 0.0, 0.0, 1.0),
        (1300.0, 400.0, 350.0, 1.0),
    ],
)
def test_a_repeat_goes_within_the_window_of_the_first_intent_or_not_at_all(
    step: str, window: float, down: float, pause: float, turn: float, connect: float
) -> None:
    records = STEPS[step]
    died = FIRST + (200.0 if len(records) > 3 else 100.0)
    carrier, got = started(
        (keyed(window),), records, died + down, pause, turn, lambda one: one.connects.append(connect)
    )
    first = FIRST + (200.0 if step == "unconnected first" else 0.0)
    at = died + down + pause + turn
    assert all(one <= first + window for one, _ in carrier.written), "written after the window"
    if at + connect + 300.0 < first + window:
        assert carrier.written, "there was time, and it was not tried"
    assert len(got) == 1 and got[0][0] <= FIRST + 6000.0 + 300.0
    assert bool(carrier.written) == (got[0][1].answer is Answer.DELIVERED)


@pytest.mark.parametrize(("pause", "turn"), [(0.0, 0.0), (400.0, 0.0), (0.0, 400.0)])
def test_a_message_that_goes_on_ends_in_its_own_time(pause: float, turn: float) -> None:
    def hangs(carrier: SlowCarrier) -> None:
        carrier.connects = [1e9] * 20

    safe = api.MessageClass("safe", 1000.0, 2000.0, api.Effect.SAFE)
    _, got = started((safe,), [taken("safe", left=2000.0)], FIRST + 700.0, pause, turn, hangs)
    assert len(got) == 1 and got[0][0] <= FIRST - 5.0 + 2000.0 + 1.0


def test_a_window_that_has_run_out_in_a_long_start_ends_its_message_at_once() -> None:
    carrier, got = started((keyed(1000.0),), STEPS["intent"], FIRST + 700.0, 2000.0)
    assert carrier.written == [] and len(got) == 1 and got[0][0] <= FIRST + 2700.0 + 10.0


def test_of_a_key_that_holds_in_one_zone_only_no_repeat_goes_to_another_after_a_restart() -> None:
    """Which zone the first attempt went to is not told to the module, so none goes at all."""
    zoned = api.MessageClass("key", 1500.0, 6000.0, api.Effect.KEYED, group="zone", window=5000.0)
    carrier, got = started((zoned,), STEPS["intent"], FIRST + 700.0)
    assert carrier.written == [] and [answer.answer for _, answer in got] == [Answer.FAILED]
    carrier, got = started((zoned,), STEPS["intent"][:1], FIRST + 700.0)
    assert len(carrier.written) == 1 and [answer.answer for _, answer in got] == [Answer.DELIVERED]


def test_what_may_not_be_repeated_goes_on_only_if_it_has_no_intent() -> None:
    pay = api.MessageClass("pay", 1500.0, 6000.0, api.Effect.UNSAFE)
    never: list[Record] = [taken("pay"), INTENT, Ended(1, 0, "d1-0", "no_connection", FIRST + 50.0)]
    cases: list[tuple[list[Record], Answer]] = [
        ([taken("pay")], Answer.DELIVERED),
        ([taken("pay"), INTENT], Answer.FAILED),
        (never, Answer.DELIVERED),
        ([*never, Intent(1, 1, "d1-1", FIRST + 90.0)], Answer.FAILED),
    ]
    for records, answer in cases:
        carrier, got = started((pay,), list(records), FIRST + 700.0)
        assert [one.answer for _, one in got] == [answer]
        assert len(carrier.written) == (answer is Answer.DELIVERED)
