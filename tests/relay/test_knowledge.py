"""The states of the endpoint list, without sockets."""

from __future__ import annotations

import pytest

from brassweir.relay.list_state import HOLD, LEAST, Knowledge, ListState


def test_nothing_begins_until_a_watch_has_answered() -> None:
    known = Knowledge(10.0, 12.0)
    known.look(10.0 + HOLD - 0.01)
    assert not known.usable
    known.confirmed(10.0 + HOLD - 0.01)
    assert known.usable and known.state is ListState.CONFIRMED


def test_silence_for_the_hold_is_an_outage_and_an_answer_ends_it() -> None:
    known = Knowledge(10.0, 12.0)
    known.look(10.0 + HOLD)
    assert known.usable and known.state is ListState.UNREACHABLE
    known.confirmed(30.0)
    assert (known.state.value, known.since) == ("confirmed", 30.0)


@pytest.mark.parametrize(("deadline", "hold"), [(12.0, HOLD), (3.0, 0.75), (0.4, 0.1)])
def test_the_hold_leaves_time_to_deliver_what_waits(deadline: float, hold: float) -> None:
    known = Knowledge(0.0, deadline)
    known.look(hold - 0.001)
    assert not known.usable
    known.look(hold)
    assert known.usable


def test_a_watch_that_was_cut_is_held_for_from_then_on_and_a_silent_one_from_its_last_sign_of_life() -> None:
    cut, silent = Knowledge(0.0, 12.0), Knowledge(0.0, 12.0)
    for known in (cut, silent):
        known.confirmed(1.0)
    cut.lost(5.0, 5.0)
    silent.lost(5.0, 2.48)
    for known in (cut, silent):
        known.look(5.0 + LEAST - 0.001)
        assert not known.usable
    cut.look(5.0 + LEAST)
    silent.look(5.0 + LEAST)
    assert not cut.usable and silent.usable
    cut.look(5.0 + HOLD)
    assert cut.usable


def test_a_watch_lost_again_is_held_for_again() -> None:
    known = Knowledge(0.0, 12.0)
    known.look(HOLD)
    known.confirmed(5.0)
    known.lost(6.0, 6.0)
    known.look(6.0 + HOLD / 2)
    assert not known.usable
