"""Who goes when clients press."""

from __future__ import annotations

from brassweir.resp.admission import IDLE, Admission


def admission(most: int, proven: int, at: float = 0.0, usual: int = 100) -> Admission:
    made = Admission(most, usual)
    for ident in range(proven):
        made.admit(ident, at)
        made.proved(ident)
    return made


def test_the_silent_go_after_a_while_and_the_proven_stay() -> None:
    made = admission(10, 1)
    made.admit(1, 0.0)
    made.admit(2, 1.0)
    assert made.expired(IDLE - 0.1) == []
    assert made.expired(IDLE) == [1]


def test_whoever_comes_to_a_full_house_is_let_in_for_the_one_silent_longest() -> None:
    made = admission(4, 2)
    made.admit(2, 0.0)
    made.admit(3, 0.1)
    assert made.admit(4, 0.2) == (True, 2)
    made.leave(2)
    made.proved(3)
    assert made.admit(5, 0.3) == (True, 4)


def test_one_that_stops_within_a_command_goes() -> None:
    made = admission(10, 2)
    made.clients[1].half = True
    assert made.expired(IDLE / 2) == [] and made.expired(IDLE) == [1]


def test_one_with_a_command_in_work_never_goes() -> None:
    made = admission(2, 2)
    made.clients[0].working = True
    assert made.admit(5, IDLE) == (True, 1)
    made = admission(2, 2)
    made.clients[0].working = made.clients[1].working = True
    assert made.admit(5, 10.0 * IDLE) == (False, None)
    assert made.expired(10.0 * IDLE) == []


def test_while_there_is_little_room_the_longest_idle_go() -> None:
    made = admission(10, 9)
    made.clients[3].heard = -0.5
    assert made.expired(IDLE / 2) == []
    assert made.expired(IDLE) == [3, 0], "down to seven of ten"


def test_usual_clients_that_keep_what_others_of_them_lack_are_closed_as_soon_as_may_be() -> None:
    made = admission(100, 6, usual=10)
    made.clients[2].working = True
    assert made.expired(IDLE - 0.1) == [] and made.expired(IDLE) == [0, 1, 3, 4, 5]
    assert admission(100, 5, usual=10).expired(9.0) == [], "while there is room they may stay"


def test_one_that_sends_a_ping_now_and_then_stays_until_it_stops() -> None:
    made = admission(10, 0)
    made.admit(1, 0.0)
    made.clients[1].greeted, made.clients[1].heard = True, 5.0
    assert made.expired(5.0 + IDLE / 2) == [] and made.expired(5.0 + IDLE) == [1]
    made.clients[1].half = True
    assert made.expired(5.0) == [1], "half a command, byte by byte, is no sign of use"
