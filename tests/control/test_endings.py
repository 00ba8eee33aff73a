"""What is learnt from each ending: connections, time-outs, illness, trials."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from brassweir import interface as api
from brassweir.control import Sender
from tests.control.made import SETTINGS, listed, new, over, sends, warm


def closes(actions: list[api.Action]) -> list[str]:
    """The endpoints whose idle connections are given back."""
    return [action.endpoint for action in actions if isinstance(action, api.CloseIdle)]


@pytest.mark.parametrize("lack", [api.Result.NO_CONNECTION, api.Result.CONNECTION_LIMIT, None])
def test_idle_connections_are_given_back_where_some_lack(lack: api.Result | None) -> None:
    sender = Sender(replace(SETTINGS, senders=200, idle_close=5000.0, few_connections=lack is None), 1, 0.0)
    sender.handle(0.0, [listed(1, 2)])
    sender.handle(1.0, [new(1), new(2)])
    sender.handle(50.0, [over(1, api.Result.OK), over(2, api.Result.OK)])
    sender.handle(1000.0, [new(3), new(4, 2)])
    assert closes(sender.handle(1100.0, [over(3, api.Result.OK)])) == ([] if lack else ["e1"])
    actions = sender.handle(1200.0, [over(4, lack or api.Result.OK, 2)])
    sender.handle(2000.0, [new(5)])
    assert closes(sender.handle(2100.0, [over(5, api.Result.OK)])) == ["e1"], actions


def test_an_endpoint_out_of_connections_is_neither_over_its_limit_nor_out_unless_nothing_passes() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [listed(1)])
    sender.handle(1.0, [new(1)])
    gate = sender._destination(1).gate
    for attempt in range(4):
        assert not gate.circuit_open and gate.pace == math.inf
        sender.handle(700.0 * attempt + 50.0, [over(1, api.Result.CONNECTION_LIMIT, attempt=attempt)])
        sender.handle(700.0 * attempt + 699.0, [api.TimerDue()])
    assert gate.circuit_open and gate.pace == math.inf, "for two seconds all were turned away: it may be shut"


def test_time_outs_are_short_only_while_answers_get_lost() -> None:
    sender = Sender(replace(SETTINGS, slots=40), 1, 0.0)
    sender.handle(0.0, [listed(1)])
    first = {}
    for ident in range(10):
        now = 1.0 + 5000.0 * ident
        actions = sender.handle(now, [new(ident, name="unsafe")])
        first[ident] = [a.abandon_at - now for a in actions if isinstance(a, api.Send)][0]
        lost = ident in (5, 6)
        sender.handle(now + 1000.0, [over(ident, api.Result.TIMEOUT if lost else api.Result.OK)])
    assert first[4] == first[6] == 3000.0  # no pass has told yet that those two were lost
    assert first[8] == pytest.approx(400.0)


def test_lost_call_does_not_lengthen_time_outs() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [listed(1)])
    sender.handle(1.0, [new(1), new(2)])
    sender.handle(101.0, [over(2, api.Result.OK)])
    before = sender._destination(1).call_times.mean
    sender.handle(1001.0, [over(1, api.Result.TIMEOUT, latency=1000.0)])
    assert sender._destination(1).call_times.mean == before


def test_ill_destinations_do_not_move_the_bound() -> None:
    sender = Sender(replace(SETTINGS, slots=8), 1, 0.0)
    sender.handle(0.0, [listed(1)])
    sender.handle(1.0, [new(i, name="unsafe") for i in range(3)])
    sender.handle(3000.0, [over(i, api.Result.TIMEOUT) for i in range(3)])
    assert sender._destination(1).gate.circuit_open
    assert sender._destination(1).degraded
    assert sender.backlog_bound.answer_count <= 2  # those answered before it was known to be ill


def test_a_moot_send_tells_no_wait() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [listed(1)])
    sender.handle(1.0, [new(1)])
    sender.handle(2.0, [over(1, api.Result.NOT_STARTED, wait=1.0)])
    assert sender._destination(1).gate.wait_until == float("-inf")


def test_a_trial_that_finds_no_connection_is_not_made_again_at_once_though_a_call_passed_lately() -> None:
    sender = Sender(SETTINGS, 1, 0.0)
    sender.handle(0.0, [listed(1)])
    now = warm(sender, 2)
    gate = sender.destinations[1].gate
    gate.open_circuit(now)
    gate.next_trial = now
    assert sends(sender.handle(now, [new(1)])) == [1]
    again = sender.handle(now + 1.0, [over(1, api.Result.NO_CONNECTION, latency=1.0)])
    assert not sends(again) and gate.circuit_open and gate.next_trial > now + 100.0


def test_only_calls_newer_than_the_last_pass_count_in_a_row() -> None:
    for older in (True, False):
        sender = Sender(SETTINGS, 1, 0.0)
        sender.handle(0.0, [listed(1)])
        now = warm(sender, 3)
        assert sends(sender.handle(now, [new(1), new(2), new(3)])) == [1, 2, 3]
        first = now + 20.0 if older else now - 1.0
        if older:
            sender.handle(first, [over(1, api.Result.OK, latency=20.0)])
        lost: list[api.Event] = [over(2, api.Result.RESET), over(3, api.Result.RESET)]
        sender.handle(now + 30.0, lost)
        endpoint = sender.destinations[1].endpoints["e1"]
        assert (endpoint.failure_streak, sender.destinations[1].gate.failure_streak) == (
            (0, 0) if older else (2, 2)
        )
        assert (endpoint.avoid_until > now) is not older and sender.destinations[1].gate.failure_share > 0.0


def test_one_missing_connection_is_tried_again_before_it_is_believed() -> None:
    def lose(sender: Sender, now: float, ident: int) -> None:
        sender.handle(now, [new(ident), new(ident + 1)])
        sender.handle(now + 1.0, [over(ident + 1, api.Result.NO_CONNECTION, latency=1.0)])

    sender = Sender(replace(SETTINGS, slots=8), 1, 0.0)
    sender.handle(0.0, [listed(1)])
    now = warm(sender, 3)
    lose(sender, now, 1)
    endpoint = sender.destinations[1].endpoints["e1"]
    assert endpoint.max_calls == 2.0 and endpoint.avoid_until < now, "as many again are let stand"
    assert 2 in sender.messages and sender.messages[2].in_flight, "and the message is there already"
    sender.handle(now + 60.0, [over(2, api.Result.OK, attempt=1, latency=50.0)])
    assert endpoint.max_calls == math.inf, "they stood: it was an accident"
    sender.handle(now + 61.0, [over(1, api.Result.OK, latency=60.0)])
    lose(sender, now + 100.0, 11)
    sender.handle(now + 102.0, [over(12, api.Result.NO_CONNECTION, attempt=1, latency=1.0)])
    assert endpoint.max_calls == 1.0 and endpoint.avoid_until > now + 100.0, (
        "twice in a row: they are all taken"
    )
