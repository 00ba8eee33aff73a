"""The states of the endpoint list, without sockets."""

from __future__ import annotations

import pytest

from brassweir.relay.list_state import MIN_ANSWER_SECONDS, OUTAGE_TIMEOUT_SECONDS, ListState, ListStateMachine


def test_no_call_begins_until_a_watch_has_answered() -> None:
    machine = ListStateMachine(10.0, 12.0)
    machine.check_outage(10.0 + OUTAGE_TIMEOUT_SECONDS - 0.01)
    assert not machine.calls_allowed
    machine.confirmed(10.0 + OUTAGE_TIMEOUT_SECONDS - 0.01)
    assert machine.calls_allowed and machine.state is ListState.CONFIRMED


def test_silence_for_the_outage_timeout_is_an_outage_until_an_answer() -> None:
    machine = ListStateMachine(10.0, 12.0)
    machine.check_outage(10.0 + OUTAGE_TIMEOUT_SECONDS)
    assert machine.calls_allowed and machine.state is ListState.UNREACHABLE
    machine.confirmed(30.0)
    assert (machine.state.value, machine.since) == ("confirmed", 30.0)


@pytest.mark.parametrize(
    ("deadline", "outage_timeout"), [(12.0, OUTAGE_TIMEOUT_SECONDS), (3.0, 0.75), (0.4, 0.1)]
)
def test_the_outage_timeout_leaves_time_to_deliver_queued_messages(
    deadline: float, outage_timeout: float
) -> None:
    machine = ListStateMachine(0.0, deadline)
    machine.check_outage(outage_timeout - 0.001)
    assert not machine.calls_allowed
    machine.check_outage(outage_timeout)
    assert machine.calls_allowed


def test_the_outage_timeout_starts_at_the_cut_or_at_the_last_data_received() -> None:
    cut, silent = ListStateMachine(0.0, 12.0), ListStateMachine(0.0, 12.0)
    for machine in (cut, silent):
        machine.confirmed(1.0)
    cut.lost(5.0, 5.0)
    silent.lost(5.0, 2.48)
    for machine in (cut, silent):
        machine.check_outage(5.0 + MIN_ANSWER_SECONDS - 0.001)
        assert not machine.calls_allowed
    cut.check_outage(5.0 + MIN_ANSWER_SECONDS)
    silent.check_outage(5.0 + MIN_ANSWER_SECONDS)
    assert not cut.calls_allowed and silent.calls_allowed
    cut.check_outage(5.0 + OUTAGE_TIMEOUT_SECONDS)
    assert cut.calls_allowed


def test_a_watch_lost_again_stops_calls_again() -> None:
    machine = ListStateMachine(0.0, 12.0)
    machine.check_outage(OUTAGE_TIMEOUT_SECONDS)
    machine.confirmed(5.0)
    machine.lost(6.0, 6.0)
    machine.check_outage(6.0 + OUTAGE_TIMEOUT_SECONDS / 2)
    assert not machine.calls_allowed
