"""Messages keep their deadlines and windows across a restart; the time that a start takes counts too."""

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

FIRST_INTENT_MS = 10_000.0  # wall clock


def started(
    classes: tuple[api.MessageClass, ...],
    records: list[Record],
    ready: float,
    pause: float = 0.0,
    turn: float = 0.0,
    prepare: Callable[[SlowCarrier], None] = lambda _: None,
) -> tuple[SlowCarrier, list[tuple[float, FinalAnswer]]]:
    """Start a process that reads ``records`` at ``ready`` (ms), and run it for 10 s.

    It takes ``pause`` ms until it applies its plan, and ``turn`` ms until the decision module's first turn after
    that. Returns its carrier, and the answers with their times.
    """
    state = JournalState()
    for record in records:
        state.apply(record)
    engine, clock, carrier = make_slow_engine(classes=classes, at=ready)
    prepare(carrier)
    plan = recover.plan_recovery(state, (), {cls.name: cls for cls in classes}, ready, 1e9, 0.0)
    stall_loop(clock, pause)
    answers: list[tuple[float, FinalAnswer]] = []

    def owing(*_: object) -> Callable[[FinalAnswer], None]:
        return lambda answer: answers.append((clock.now(), answer))

    apply_plan(plan, engine, Store(clock), int, owing)  # type: ignore[arg-type]
    stall_loop(clock, turn)
    clock.run(ready + 10_000.0)
    return carrier, answers


def keyed(window: float, deadline: float = 6000.0) -> api.MessageClass:
    return api.MessageClass("key", 1500.0, deadline, api.Effect.KEYED, window=window)


def taken_record(cls: str = "key", ident: int = 1, left: float = 6000.0) -> Taken:
    return Taken(ident, "o", f"m{ident}", cls, "1", "", FIRST_INTENT_MS - 5.0 + left, "a/b", "k", b"x", b"n")


INTENT = Intent(1, 0, "d1-0", FIRST_INTENT_MS)
STEPS: dict[str, list[Record]] = {  # the records when the process dies
    "intent": [taken_record(), INTENT],  # whether the attempt was sent is unknown
    "reset": [taken_record(), INTENT, Ended(1, 0, "d1-0", "reset", FIRST_INTENT_MS + 100.0)],
    "again": [
        taken_record(),
        INTENT,
        Ended(1, 0, "d1-0", "reset", FIRST_INTENT_MS + 100.0),
        Intent(1, 1, "d1-0", FIRST_INTENT_MS + 200.0),
    ],
    "unconnected first": [
        taken_record(),
        INTENT,
        Ended(1, 0, "d1-0", "no_connection", FIRST_INTENT_MS + 50.0),
        Intent(1, 1, "d1-0", FIRST_INTENT_MS + 200.0),
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
def test_a_repeat_is_sent_within_the_window_of_the_first_intent_or_not_at_all(
    step: str, window: float, down: float, pause: float, turn: float, connect: float
) -> None:
    records = STEPS[step]
    died = FIRST_INTENT_MS + (200.0 if len(records) > 3 else 100.0)
    carrier, answers = started(
        (keyed(window),),
        records,
        died + down,
        pause,
        turn,
        lambda carrier: carrier.connect_times.append(connect),
    )
    first = FIRST_INTENT_MS + (200.0 if step == "unconnected first" else 0.0)
    at = died + down + pause + turn
    assert all(sent_at <= first + window for sent_at, _ in carrier.written), "sent after the window"
    if at + connect + 300.0 < first + window:
        assert carrier.written, "there was time, but it was not sent"
    assert len(answers) == 1 and answers[0][0] <= FIRST_INTENT_MS + 6000.0 + 300.0
    assert bool(carrier.written) == (answers[0][1].answer is Answer.DELIVERED)


@pytest.mark.parametrize(("pause", "turn"), [(0.0, 0.0), (400.0, 0.0), (0.0, 400.0)])
def test_a_resumed_message_ends_by_its_deadline(pause: float, turn: float) -> None:
    def never_connect(carrier: SlowCarrier) -> None:
        carrier.connect_times = [1e9] * 20

    safe = api.MessageClass("safe", 1000.0, 2000.0, api.Effect.SAFE)
    _, answers = started(
        (safe,), [taken_record("safe", left=2000.0)], FIRST_INTENT_MS + 700.0, pause, turn, never_connect
    )
    assert len(answers) == 1 and answers[0][0] <= FIRST_INTENT_MS - 5.0 + 2000.0 + 1.0


def test_a_window_that_passes_during_a_slow_start_ends_its_message_at_once() -> None:
    carrier, answers = started((keyed(1000.0),), STEPS["intent"], FIRST_INTENT_MS + 700.0, 2000.0)
    assert carrier.written == [] and len(answers) == 1 and answers[0][0] <= FIRST_INTENT_MS + 2700.0 + 10.0


def test_after_a_restart_a_key_that_holds_in_one_zone_allows_no_repeat() -> None:
    """The decision module does not know the zone of the first attempt, so no repeat is sent."""
    zoned = api.MessageClass("key", 1500.0, 6000.0, api.Effect.KEYED, group="zone", window=5000.0)
    carrier, answers = started((zoned,), STEPS["intent"], FIRST_INTENT_MS + 700.0)
    assert carrier.written == [] and [answer.answer for _, answer in answers] == [Answer.FAILED]
    carrier, answers = started((zoned,), STEPS["intent"][:1], FIRST_INTENT_MS + 700.0)
    assert len(carrier.written) == 1 and [answer.answer for _, answer in answers] == [Answer.DELIVERED]


def test_an_unsafe_message_resumes_only_if_no_attempt_can_have_run() -> None:
    pay = api.MessageClass("pay", 1500.0, 6000.0, api.Effect.UNSAFE)
    never_sent: list[Record] = [
        taken_record("pay"),
        INTENT,
        Ended(1, 0, "d1-0", "no_connection", FIRST_INTENT_MS + 50.0),
    ]
    cases: list[tuple[list[Record], Answer]] = [
        ([taken_record("pay")], Answer.DELIVERED),
        ([taken_record("pay"), INTENT], Answer.FAILED),
        (never_sent, Answer.DELIVERED),
        ([*never_sent, Intent(1, 1, "d1-1", FIRST_INTENT_MS + 90.0)], Answer.FAILED),
    ]
    for records, answer in cases:
        carrier, answers = started((pay,), list(records), FIRST_INTENT_MS + 700.0)
        assert [final.answer for _, final in answers] == [answer]
        assert len(carrier.written) == (answer is Answer.DELIVERED)
