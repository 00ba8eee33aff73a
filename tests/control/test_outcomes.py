"""What the sender learns from results: connection limits, timeouts, degraded destinations, trials."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from brassweir import interface as api
from brassweir.control import Sender
from tests.control.samples import SETTINGS, attempt_ended, full_list, new_message, sent_ids, warm_up


def closed_idle(actions: list[api.Action]) -> list[str]:
    """Return the endpoints whose idle connections are closed."""
    return [action.endpoint for action in actions if isinstance(action, api.CloseIdle)]


@pytest.mark.parametrize("shortage", [api.Result.NO_CONNECTION, api.Result.CONNECTION_LIMIT, None])
def test_idle_connections_are_closed_where_connections_are_scarce(shortage: api.Result | None) -> None:
    sender = Sender(
        replace(SETTINGS, senders=200, idle_close=5000.0, few_connections=shortage is None), 1, 0.0
    )
    sender.handle(0.0, [full_list(1, 2)])
    sender.handle(1.0, [new_message(1), new_message(2)])
    sender.handle(50.0, [attempt_ended(1, api.Result.OK), attempt_ended(2, api.Result.OK)])
    sender.handle(1000.0, [new_message(3), new_message(4, 2)])
    assert closed_idle(sender.handle(1100.0, [attempt_ended(3, api.Result.OK)])) == (
        [] if shortage else ["e1"]
    )
    actions = sender.handle(1200.0, [attempt_ended(4, shortage or api.Result.OK, 2)])
    sender.handle(2000.0, [new_message(5)])
    assert closed_idle(sender.handle(2100.0, [attempt_ended(5, api.Result.OK)])) == ["e1"], actions


def test_a_connection_limit_opens_the_circuit_only_if_no_call_succeeds() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    sender.handle(1.0, [new_message(1)])
    gate = sender._destination(1).gate
    now, first_rejection = 1.0, 51.0
    for attempt in range(4):
        assert not gate.circuit_open and gate.pace == math.inf
        now += 50.0
        actions = sender.handle(now, [attempt_ended(1, api.Result.CONNECTION_LIMIT, attempt=attempt)])
        if now - first_rejection >= 2.0 * SETTINGS.connect_timeout:
            break
        while not sent_ids(actions):
            now += 25.0
            actions = sender.handle(now, [api.TimerDue()])
            assert now < 4000.0, "the calls that show it do not wait for long"
    assert gate.circuit_open and gate.pace == math.inf, (
        "all were rejected for two seconds: it may be an outage"
    )


def test_timeouts_are_short_only_while_answers_get_lost() -> None:
    sender = Sender(replace(SETTINGS, slots=40), 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    first = {}
    for ident in range(10):
        now = 1.0 + 5000.0 * ident
        actions = sender.handle(now, [new_message(ident, name="unsafe")])
        first[ident] = [a.abandon_at - now for a in actions if isinstance(a, api.Send)][0]
        lost = ident in (5, 6)
        sender.handle(now + 1000.0, [attempt_ended(ident, api.Result.TIMEOUT if lost else api.Result.OK)])
    assert first[4] == first[6] == 3000.0  # no success has shown yet that those two were lost
    assert first[8] == pytest.approx(400.0)


def test_a_lost_call_does_not_lengthen_timeouts() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    sender.handle(1.0, [new_message(1), new_message(2)])
    sender.handle(101.0, [attempt_ended(2, api.Result.OK)])
    before = sender._destination(1).call_times.mean
    sender.handle(1001.0, [attempt_ended(1, api.Result.TIMEOUT, latency=1000.0)])
    assert sender._destination(1).call_times.mean == before


def test_degraded_destinations_do_not_move_the_backlog_bound() -> None:
    sender = Sender(replace(SETTINGS, slots=8), 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    sender.handle(1.0, [new_message(i, name="unsafe") for i in range(3)])
    sender.handle(3000.0, [attempt_ended(i, api.Result.TIMEOUT) for i in range(3)])
    assert sender._destination(1).gate.circuit_open
    assert sender._destination(1).degraded
    assert sender.backlog_bound.answer_count <= 2  # those answered before it was degraded


def test_an_attempt_that_never_started_reports_no_wait() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    sender.handle(1.0, [new_message(1)])
    sender.handle(2.0, [attempt_ended(1, api.Result.NOT_STARTED, wait=1.0)])
    assert sender._destination(1).gate.wait_until == float("-inf")


def test_a_trial_without_connection_is_not_repeated_at_once_despite_a_recent_success() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    now = warm_up(sender, 2)
    gate = sender.destinations[1].gate
    gate.open_circuit(now)
    gate.next_trial = now
    assert sent_ids(sender.handle(now, [new_message(1)])) == [1]
    again = sender.handle(now + 1.0, [attempt_ended(1, api.Result.NO_CONNECTION, latency=1.0)])
    assert not sent_ids(again) and gate.circuit_open and gate.next_trial > now + 100.0


def test_only_failures_of_calls_sent_after_the_last_success_are_consecutive() -> None:
    for older in (True, False):
        sender = Sender(SETTINGS, 1, 0.0)
        sender.handle(0.0, [full_list(1)])
        now = warm_up(sender, 3)
        assert sent_ids(sender.handle(now, [new_message(1), new_message(2), new_message(3)])) == [1, 2, 3]
        first = now + 20.0 if older else now - 1.0
        if older:
            sender.handle(first, [attempt_ended(1, api.Result.OK, latency=20.0)])
        lost: list[api.Event] = [attempt_ended(2, api.Result.RESET), attempt_ended(3, api.Result.RESET)]
        sender.handle(now + 30.0, lost)
        endpoint = sender.destinations[1].endpoints["e1"]
        assert (endpoint.failure_streak, sender.destinations[1].gate.failure_streak) == (
            (0, 0) if older else (2, 2)
        )
        assert (endpoint.avoid_until > now) is not older and sender.destinations[1].gate.failure_share > 0.0


def test_a_single_connection_shortage_is_retried_before_it_limits_calls() -> None:
    def lose_connection(sender: Sender, now: float, ident: int) -> None:
        sender.handle(now, [new_message(ident), new_message(ident + 1)])
        sender.handle(now + 1.0, [attempt_ended(ident + 1, api.Result.NO_CONNECTION, latency=1.0)])

    sender = Sender(replace(SETTINGS, slots=8), 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    now = warm_up(sender, 3)
    lose_connection(sender, now, 1)
    endpoint = sender.destinations[1].endpoints["e1"]
    assert endpoint.max_calls == 2.0 and endpoint.avoid_until < now, "one more is allowed than were in flight"
    assert 2 in sender.messages and sender.messages[2].in_flight, "and the message was sent again"
    sender.handle(now + 60.0, [attempt_ended(2, api.Result.OK, attempt=1, latency=50.0)])
    assert endpoint.max_calls == math.inf, "both succeeded: it was an accident"
    sender.handle(now + 61.0, [attempt_ended(1, api.Result.OK, latency=60.0)])
    lose_connection(sender, now + 100.0, 11)
    sender.handle(now + 102.0, [attempt_ended(12, api.Result.NO_CONNECTION, attempt=1, latency=1.0)])
    assert endpoint.max_calls == 1.0 and endpoint.avoid_until > now + 100.0, "twice in a row: all are in use"
