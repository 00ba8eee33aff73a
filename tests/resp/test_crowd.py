"""Who goes when clients press."""

from __future__ import annotations

from brassweir.resp.crowd import IDLE, Crowd


def crowd(most: int, proven: int, at: float = 0.0, usual: int = 100) -> Crowd:
    made = Crowd(most, usual)
    for ident in range(proven):
        made.enter(ident, at)
        made.proved(ident)
    return made


def test_the_silent_go_after_a_while_and_the_proven_stay() -> None:
    made = crowd(10, 1)
    made.enter(1, 0.0)
    made.enter(2, 1.0)
    assert made.tired(IDLE - 0.1) == []
    assert made.tired(IDLE) == [1]


def test_whoever_comes_to_a_full_house_is_let_in_for_the_one_silent_longest() -> None:
    made = crowd(4, 2)
    made.enter(2, 0.0)
    made.enter(3, 0.1)
    assert made.enter(4, 0.2) == (True, 2)
    made.leave(2)
    made.proved(3)
    assert made.enter(5, 0.3) == (True, 4)


def test_one_that_stops_within_a_command_goes() -> None:
    made = crowd(10, 2)
    made.standing[1].half = True
    assert made.tired(IDLE / 2) == [] and made.tired(IDLE) == [1]


def test_one_with_a_command_in_work_never_goes() -> None:
    made = crowd(2, 2)
    made.standing[0].working = True
    assert made.enter(5, IDLE) == (True, 1)
    made = crowd(2, 2)
    made.standing[0].working = made.standing[1].working = True
    assert made.enter(5, 10.0 * IDLE) == (False, None)
    assert made.tired(10.0 * IDLE) == []


def test_while_there_is_little_room_the_longest_idle_go() -> None:
    made = crowd(10, 9)
    made.standing[3].heard = -0.5
    assert made.tired(IDLE / 2) == []
    assert made.tired(IDLE) == [3, 0], "down to seven of ten"


def test_usual_clients_that_keep_what_others_of_them_lack_are_closed_as_soon_as_may_be() -> None:
    made = crowd(100, 6, usual=10)
    made.standing[2].working = True
    assert made.tired(IDLE - 0.1) == [] and made.tired(IDLE) == [0, 1, 3, 4, 5]
    assert crowd(100, 5, usual=10).tired(9.0) == [], "while there is room they may stay"


def test_one_that_sends_a_ping_now_and_then_stays_until_it_stops() -> None:
    made = crowd(10, 0)
    made.enter(1, 0.0)
    made.standing[1].greeted, made.standing[1].heard = True, 5.0
    assert made.tired(5.0 + IDLE / 2) == [] and made.tired(5.0 + IDLE) == [1]
    made.standing[1].half = True
    assert made.tired(5.0) == [1], "half a command, byte by byte, is no sign of use"
