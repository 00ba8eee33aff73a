"""The recovery plan: what becomes of each message, key and destination."""

from __future__ import annotations

import msgspec
import pytest

from brassweir import interface as api
from brassweir.control import Sender
from brassweir.interface import Result
from brassweir.journal import records, recover
from brassweir.journal.records import Began, Ended, Final, Intent, Taken, Told
from brassweir.journal.recover import Hole
from brassweir.journal.state import JournalState
from brassweir.lab.simulated.crash_world import BY_NAME
from tests.journal.samples import taken_record


def planned(
    *all_records: records.Record,
    wall: float = 2000.0,
    holes: tuple[Hole, ...] = (),
    retention_ms: float = 1e9,
    unknown: tuple[str, ...] = (),
) -> recover.Plan:
    state = JournalState()
    for record in all_records:
        state.apply(record)
    return recover.plan_recovery(state, holes, BY_NAME, wall, retention_ms, 100.0, unknown)


@pytest.mark.parametrize(
    ("cls", "records_after", "wall", "answer", "left"),
    [
        ("pay", [], 2000.0, "", 4000.0),
        ("pay", [Intent(1, 0, "e", 500.0)], 2000.0, "failed", 0.0),
        ("pay", [Intent(1, 0, "e", 500.0), Ended(1, 0, "e", "full", 600.0)], 2000.0, "", 4000.0),
        ("pay", [Intent(1, 0, "e", 500.0), Ended(1, 0, "e", "no_connection", 600.0)], 2000.0, "", 4000.0),
        ("pay", [Intent(1, 0, "e", 500.0), Ended(1, 0, "e", "timeout", 600.0)], 2000.0, "failed", 0.0),
        ("pay", [], 6001.0, "refused", 0.0),
        ("key", [Intent(1, 0, "e", 500.0)], 2000.0, "", 2500.0),
        ("key", [Intent(1, 0, "e", 500.0)], 4501.0, "failed", 0.0),
        (
            "key",
            [Intent(1, 0, "e", 500.0)],
            400.0,
            "",
            4000.0,
        ),  # the clock stepped back, which must not prolong the window
        ("safe", [Intent(1, 0, "e", 500.0)], 2000.0, "", 4000.0),
        ("safe", [Intent(1, 0, "e", 500.0)], 7000.0, "refused", 0.0),
        ("gone", [], 2000.0, "refused", 0.0),
        ("gone", [Intent(1, 0, "e", 500.0)], 2000.0, "failed", 0.0),
    ],
)
def test_what_becomes_of_an_open_message(
    cls: str, records_after: list[records.Record], wall: float, answer: str, left: float
) -> None:
    plan = planned(taken_record(1, cls), *records_after, wall=wall)
    if answer:
        assert [message.final.answer for message in plan.answered] == [answer] and plan.answered[
            0
        ].unpersisted
        assert not plan.resumed
    else:
        assert [message.left for message in plan.resumed] == [left] and not plan.answered


@pytest.mark.parametrize(
    ("records_after", "answers", "again"),
    [
        ([], [], [1]),
        ([Intent(1, 0, "e", 500.0)], ["failed"], []),
        ([Intent(1, 0, "e", 500.0), Ended(1, 0, "e", "timeout", 600.0)], ["failed"], []),
        ([Intent(1, 0, "e", 500.0), Ended(1, 0, "e", "full", 600.0)], [], [1]),
    ],
)
def test_a_message_whose_key_holds_in_one_zone_is_not_repeated(
    records_after: list[records.Record], answers: list[str], again: list[int]
) -> None:
    """After a restart it is unknown in which zone the attempt may have run, so the message fails."""
    state = JournalState()
    for record in (taken_record(1, "near"), *records_after):
        state.apply(record)
    near = api.MessageClass("near", 1000.0, 6000.0, api.Effect.KEYED, group="zone", window=5000.0)
    plan = recover.plan_recovery(state, (), {"near": near}, 700.0, 1e9, 100.0)
    assert [message.final.answer for message in plan.answered] == answers and [
        message.taken.id for message in plan.resumed
    ] == again


@pytest.mark.parametrize(
    ("effect", "subject", "records_after", "answers"),
    [
        (api.Effect.KEYED, "", [], ["refused"]),
        (api.Effect.KEYED, "", [Intent(1, 0, "e", 500.0)], ["failed"]),
        (api.Effect.KEYED, "k1", [Intent(1, 0, "e", 500.0)], []),
        (api.Effect.SAFE, "", [Intent(1, 0, "e", 500.0)], []),
    ],
)
def test_messages_without_a_key_end_if_their_class_is_keyed_now(
    effect: api.Effect, subject: str, records_after: list[records.Record], answers: list[str]
) -> None:
    state = JournalState()
    for record in (
        msgspec.structs.replace(taken_record(1, "note", reply=b"n"), subject=subject),
        *records_after,
    ):
        state.apply(record)
    known = {"note": api.MessageClass("note", 1000.0, 6000.0, effect, window=5000.0)}
    plan = recover.plan_recovery(state, (), known, 700.0, 1e9, 100.0)
    recover.end_keyless_messages(plan, known, 700.0)
    assert [message.final.answer for message in plan.answered] == answers and len(plan.resumed) == 1 - len(
        answers
    )
    assert all(message.receipt_pending and message.unpersisted for message in plan.answered)


def test_answers_are_kept_for_the_retention_and_receipts_until_delivered() -> None:
    final = Final(1, "delivered", "", 0.0, 1000.0)
    assert planned(taken_record(1), final, wall=1500.0, retention_ms=1000.0).answered[0].ago == 500.0
    assert not planned(taken_record(1), final, wall=2500.0, retention_ms=1000.0).answered
    pending = planned(taken_record(1, reply=b"x"), final, wall=9e9, retention_ms=1000.0).answered
    assert pending[0].receipt_pending and not pending[0].unpersisted
    assert not planned(taken_record(1, reply=b"x"), final, Told(1), wall=9e9, retention_ms=1000.0).answered


def test_of_a_message_submitted_again_only_the_last_one_counts() -> None:
    resubmitted = Taken(2, "o", "m1", "pay", "1", "k", 6000.0, "a/b", "s", b"content", b"reply")
    plan = planned(
        taken_record(1, reply=b"reply"),
        Final(1, "refused", "", 0.0, 100.0),
        resubmitted,
        Final(2, "delivered", "", 0.0, 200.0),
    )
    assert [(message.taken.id, message.final.answer) for message in plan.answered] == [(2, "delivered")]
    plan = planned(taken_record(1, reply=b"reply"), Final(1, "refused", "", 0.0, 100.0), resubmitted)
    assert not plan.answered and [message.taken.id for message in plan.resumed] == [2]


def test_a_message_before_a_hole_counts_as_may_have_run() -> None:
    hole = Hole("x", last_id=1)
    plan = planned(taken_record(1), taken_record(2), holes=(hole,))
    assert [message.final.answer for message in plan.answered] == ["failed"]
    assert [message.taken.id for message in plan.resumed] == [2], (
        "a message accepted after the hole is not uncertain"
    )
    assert planned(taken_record(1, "safe"), holes=(hole,)).resumed


def test_ordered_messages_pause_after_an_attempt_in_flight_and_unknown_destinations_end() -> None:
    assert planned(taken_record(1, "key"), Intent(1, 0, "e", 500.0)).pause == 100.0
    assert planned(taken_record(1, "key")).pause == 0.0
    assert planned(taken_record(1), unknown=("1",)).answered[0].final.answer == "refused"


def test_the_decision_module_uses_outcomes_from_before_the_restart() -> None:
    plan = planned(
        *(Ended(i, 0, "e", "reset", 1000.0 + i) for i in range(1, 4)),
        Ended(9, 0, "w", "full", 1500.0, 2000.0),
        Began(1600.0, "s"),
        Ended(10, 0, "w", "ok", 1700.0),
    )
    assert [(past.endpoint, past.result, past.ago, past.wait) for past in plan.past][-1] == (
        "w",
        Result.BUSY,
        500.0,
        2000.0,
    )
    settings = api.Settings(classes=tuple(BY_NAME.values()), slots=4, max_open=40, max_retry_after=2000.0)
    sender = Sender(settings, 1, 0.0)
    entries = (api.EndpointInfo("e", 1, ""), api.EndpointInfo("w", 2, ""), api.EndpointInfo("n", 3, ""))
    news = [api.NewMessage(i, "safe", i, 5000.0) for i in (1, 2, 3)]
    actions = sender.handle(0.0, [api.ListUpdate(api.ListKind.FULL, entries), *plan.past, *news])
    assert [action.endpoint for action in actions if isinstance(action, api.Send)] == ["n"], (
        "one circuit is open, one endpoint has a requested wait"
    )
    sent: list[float] = []
    for now in range(100, 5000, 100):
        actions = sender.handle(float(now), [api.TimerDue()])
        sent += [float(now) for one in actions if isinstance(one, api.Send) and one.endpoint == "w"]
    assert sent and 1500.0 < sent[0] < 5000.0, "the wait went on during the restart, and is over"
