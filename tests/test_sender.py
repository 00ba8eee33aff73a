"""The sender as a whole: admission, order and timing of sends, choice of endpoint, invalid settings."""

from __future__ import annotations

from dataclasses import replace

import pytest

from brassweir import interface as api
from brassweir.control import Sender
from tests.control.samples import SAFE, SETTINGS, attempt_ended, full_list, new_message, sent_ids, warm_up


def test_refuses_at_once_while_slots_are_busy_and_backlog_is_over() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [full_list(1, 2, 3)])
    actions = sender.handle(1.0, [new_message(i, 1 + i % 3) for i in range(9)])
    assert len(sent_ids(actions)) == 4
    refused = [a for a in actions if isinstance(a, api.Refuse)]
    assert [a.id for a in refused] == [8]  # the bound starts at twice the slots
    assert 0 < refused[0].retry_after <= 3000.0


def test_earliest_deadline_leaves_first() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [full_list(1, 2)])
    sender.handle(1.0, [new_message(i, 1 + i % 2) for i in range(4)])
    sender.handle(2.0, [new_message(10), new_message(11, left=18500.0)])
    assert sent_ids(sender.handle(50.0, [attempt_ended(0, api.Result.OK)]))[:1] == [11]


def test_a_blocked_destination_delays_no_other() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [full_list(1, 2)])
    sender.handle(1.0, [new_message(1)])
    sender.handle(2.0, [attempt_ended(1, api.Result.BUSY, wait=900.0)])
    assert sent_ids(sender.handle(3.0, [new_message(2), new_message(3, 2)])) == [3]


def test_a_message_is_answered_in_time_though_its_expiry_fell_into_an_attempt() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    sender.handle(1.0, [new_message(1, left=1000.0)])
    sender.handle(800.0, [api.TimerDue()])  # the expiry shortly before the deadline
    answers = list(sender.handle(850.0, [attempt_ended(1, api.Result.BUSY, wait=600.0)]))
    for now in (900.0, 950.0, 1001.0):
        answers += sender.handle(now, [api.TimerDue()])
    assert [a.id for a in answers if isinstance(a, api.Refuse)] == [1]


def test_timer_rounded_down_does_not_block_the_next() -> None:
    sender = Sender(SETTINGS, 1, 0.0004)
    due = [a.at for a in sender.handle(0.0004, []) if isinstance(a, api.SetTimer)]
    again = sender.handle(due[0] - 0.0004, [api.TimerDue()])
    assert any(isinstance(a, api.SetTimer) for a in again)


def test_late_message_yields_only_where_worth_halves() -> None:
    for worth_halves, first in ((True, [2]), (False, [1])):
        sender = Sender(replace(SETTINGS, worth_halves=worth_halves), 1, 0.0)
        sender.handle(0.0, [new_message(1)])
        sender.handle(1900.0, [new_message(2)])
        actions = sender.handle(2500.0, [full_list(1), api.TimerDue()])
        assert sent_ids(actions)[:1] == first


def test_a_known_id_and_an_unknown_class_are_misuse() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [new_message(1)])
    with pytest.raises(api.MisuseError):
        sender.handle(1.0, [new_message(1)])
    with pytest.raises(api.MisuseError):
        sender.handle(1.0, [new_message(2, name="nobody")])


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("slots", 0),
        ("cold", -1.0),
        ("cold", float("nan")),
        ("tip_multiple", 0.0),
        ("start_capacity", 0.0),
        ("connect_timeout", float("nan")),
        ("classes", (SAFE, SAFE)),
        ("classes", ()),
        ("kinds", (api.DestinationKind("k", batch=0),)),
        ("kinds", (api.DestinationKind("k"), api.DestinationKind("k"))),
        ("classes", (replace(SAFE, deadline=float("nan")),)),
    ],
)
def test_invalid_settings_are_named(name: str, value: object) -> None:
    word = {"kinds": r"setting (kinds|k\.batch) ", "classes": r"setting (classes|safe\.deadline) "}
    with pytest.raises(api.SettingsError, match=word.get(name, f"setting {name} ")):
        replace(SETTINGS, **{name: value})  # type: ignore[arg-type]


def test_small_settings_are_served() -> None:
    tight = api.MessageClass("tight", 3000.0, 3000.0, api.Effect.SAFE)
    settings = api.Settings(classes=(tight,), slots=1, max_open=1, senders=240)
    sender = Sender(settings, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    assert sent_ids(sender.handle(1.0, [new_message(1, name="tight", left=3000.0)])) == [1]
    assert isinstance(
        sender.handle(2.0, [new_message(2, name="tight", left=5.0)])[0], api.Refuse | api.SetTimer
    )
    sender.handle(100.0, [attempt_ended(1, api.Result.OK)])
    assert not sender.messages


def test_message_with_less_time_than_a_call_is_refused_unsent() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    actions = sender.handle(1.0, [new_message(1, left=20.0)])
    assert sent_ids(actions) == []
    assert [a.id for a in actions if isinstance(a, api.Refuse)] == [1]


def test_moved_endpoint_serves_only_its_new_destination() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    moved = api.EndpointInfo("e1", 2, "k", rate=10.0)
    sender.handle(1.0, [api.ListUpdate(api.ListKind.DELTA, (moved,))])
    assert sent_ids(sender.handle(2.0, [new_message(1, 1), new_message(2, 2)])) == [2]


def test_empty_list_stops_sends() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    sender.handle(1.0, [api.ListUpdate(api.ListKind.FULL)])
    assert sent_ids(sender.handle(2.0, [new_message(1)])) == []


def test_events_without_effect_are_ignored() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [attempt_ended(7, api.Result.OK), api.Withdrawn(9), api.TimerDue()])
    sender.handle(1.0, [api.ListUpdate(api.ListKind.FAILED)])


def test_fresh_senders_spread_over_endpoints_by_their_rates() -> None:
    settings = replace(
        SETTINGS, kinds=(api.DestinationKind("k", separate_routes=True),), senders=200, weights="rough"
    )
    routes = (api.EndpointInfo("a", 1, "k", rate=9.0), api.EndpointInfo("b", 1, "k", rate=3.0))
    first = []
    for seed in range(200):
        sender = Sender(settings, seed, 0.0)
        sender.handle(0.0, [api.ListUpdate(api.ListKind.FULL, routes)])
        actions = sender.handle(1.0, [new_message(1)])
        first += [action.endpoint for action in actions if isinstance(action, api.Send)]
    assert 30 < first.count("b") < 70
    assert len(first) == 200


def test_a_message_that_cannot_go_in_time_is_answered_at_once() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    sender._destination(1).gate.on_requested_wait(0.0, 30000.0)
    assert any(isinstance(a, api.Refuse) for a in sender.handle(1.0, [new_message(1)]))


def test_messages_beyond_a_standing_queue_under_a_limit_are_refused_on_submission() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    sender._destination(1).gate.pace, sender._destination(1).gate.tokens = 2.0, 0.0
    refused = sum(isinstance(a, api.Refuse) for a in sender.handle(1.0, [new_message(i) for i in range(20)]))
    assert 10 <= refused <= 12  # two calls a second for twice an aim of two seconds


@pytest.mark.parametrize("ramp", [True, False])
def test_no_message_is_refused_where_the_rate_will_grow(ramp: bool) -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    gate = sender._destination(1).gate
    if ramp:
        gate.ramp_start, gate.tokens = 0.0, 0.0
    else:
        gate.set_limit(10.0, True)
        gate.pace, gate.tokens = 1.0, 0.0
    assert not any(isinstance(a, api.Refuse) for a in sender.handle(1.0, [new_message(i) for i in range(20)]))


def test_messages_marked_as_repeats_do_not_raise_the_own_rate() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    sender.handle(
        1.0, [new_message(1), replace(new_message(2), resent=True), replace(new_message(3), resent=True)]
    )
    assert sender._destination(1).gate.arrivals == 1.0


def test_an_unrepeatable_call_is_not_started_shortly_before_the_sender_stops() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    now = warm_up(sender, 2)
    assert not sender.handle(now, [api.StopScheduled(now + 200.0)])
    assert sent_ids(sender.handle(now, [new_message(1, name="unsafe")])) == [1], (
        "there is time for a call of 50 ms"
    )
    assert sent_ids(sender.handle(now + 100.0, [new_message(2, name="unsafe"), new_message(3)])) == [3], (
        "repeatable messages are sent"
    )
    assert 2 in sender.messages and not sender.messages[2].ended, "and it stays open for after the restart"


def test_messages_accepted_before_a_restart_are_not_refused() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    accepted = [
        replace(new_message(ident, 1 + ident % 2), admitted=True, resent=True) for ident in range(1, 31)
    ]
    actions = sender.handle(0.0, [full_list(1, 2), *accepted])
    assert not [one for one in actions if isinstance(one, api.Refuse)] and sender.load.open_messages == 30
    assert [one.id for one in sender.handle(1.0, [new_message(99)]) if isinstance(one, api.Refuse)] == [99], (
        "new messages are: the backlog is over its bound"
    )
