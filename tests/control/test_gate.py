"""Gates: waits that are told, outages, trials, ramps and paces."""

from __future__ import annotations

import math
from dataclasses import replace
from itertools import pairwise
from random import Random

import pytest

from brassweir import interface as api
from brassweir.control import Sender
from brassweir.control.gate import UNAFFECTED_SHARE, Gate
from tests.control.made import SETTINGS, listed, new, over, sends, warm


def test_long_told_wait_means_shut() -> None:
    gate = Gate(SETTINGS, Random(1), 0.0)
    gate.on_requested_wait(0.0, 12000.0)
    gate.on_busy(0.0, 12000.0, False, 0.0)
    assert gate.circuit_open
    assert gate.next_call_at(100.0) > 12000.0
    assert gate.on_sent(12100.0)  # a trial
    assert gate.next_call_at(12100.0) == float("inf")  # and only one


def test_a_fleet_told_the_same_end_does_not_try_as_one() -> None:
    fleet, first = replace(SETTINGS, senders=200), []
    for seed in range(200):
        gate = Gate(fleet, Random(seed), 0.0)
        gate.set_limit(10.0, False)
        gate.on_requested_wait(0.0, 60000.0)
        gate.on_busy(0.0, 60000.0, False, 0.0)
        assert gate.next_call_at(0.0) > 60000.0
        first.append(gate.next_call_at(0.0) - 60000.0)
    assert max(sum(at <= other < at + 2000.0 for other in first) for at in first) < 20, (
        "some six are to be expected"
    )


def test_late_pass_does_not_end_a_told_closing() -> None:
    gate = Gate(SETTINGS, Random(1), 0.0)
    gate.on_requested_wait(0.0, 12000.0)
    gate.on_busy(0.0, 12000.0, False, 0.0)
    gate.on_success(50.0)
    assert gate.circuit_open


def test_burst_over_a_limit_is_no_outage() -> None:
    gate = Gate(SETTINGS, Random(1), 0.0)
    for at in range(100, 110):
        gate.on_busy(float(at), 0.0, False, 50.0)
    assert not gate.circuit_open
    assert gate.pace < float("inf")


def test_refusals_mean_shut_only_when_they_last() -> None:
    gate = Gate(SETTINGS, Random(1), 0.0)
    gate.set_limit(10.0, False)
    at, seen = 0.0, []
    while not gate.circuit_open:
        seen.append(at)
        gate.on_busy(at, 0.0, False, at)
        at = gate.wait_until
    assert len(seen) >= 3  # a limit that counts over a span refuses all until its end
    assert seen[-1] - seen[0] > 300.0


def test_waits_after_refusals_in_a_row_grow_and_end_with_a_pass() -> None:
    gate = Gate(SETTINGS, Random(1), 0.0)
    gate.set_limit(10.0, False)
    gate.on_busy(0.0, 0.0, False, 0.0)
    first = gate.wait_until
    gate.on_busy(first, 0.0, False, first)
    assert gate.wait_until - first > first  # 400 ms give or take a half, after 100 ms
    gate.on_success(1000.0)
    gate.on_busy(2000.0, 0.0, False, 2000.0)
    assert gate.wait_until <= 2150.0


@pytest.mark.parametrize("lasted", [1.0, 5.0, 20.0, 60.0])
def test_trials_of_those_that_met_an_outage_stay_small(lasted: float) -> None:
    fleet = replace(SETTINGS, senders=200)
    trials, part = 0.0, 10.0 / fleet.senders
    for seed in range(200):
        gate = Gate(fleet, Random(seed), 0.0)
        gate.set_limit(10.0, False)
        gate.on_failure(0.0, False)
        gate.on_failure(lasted * 1000.0, True)
        trials += 1000.0 / (gate.next_trial - lasted * 1000.0)
    met = 1.0 - math.exp(-part * lasted)  # share of the fleet that had a message for it meanwhile
    tipping = fleet.tip_multiple * fleet.start_capacity * 10.0
    assert trials * met <= 1.2 * max(tipping, UNAFFECTED_SHARE * 10.0 * (1.0 - met))


def test_own_part_of_the_traffic_speeds_up_the_ramp() -> None:
    gate = Gate(replace(SETTINGS, senders=200), Random(1), 0.0)
    gate.set_limit(10.0, False)
    even = gate.own_rate(10000.0)
    gate.arrivals = 50.0
    assert even == pytest.approx(0.05)
    assert gate.own_rate(10000.0) == pytest.approx(5.0)


def test_pace_is_cut_once_a_second() -> None:
    gate = Gate(SETTINGS, Random(1), 0.0)
    gate.set_limit(10.0, True)
    gate.pace, gate.allowance_left = 10.0, 0.0
    for at in (0.0, 200.0, 400.0, 600.0):
        gate.on_busy(at, 0.0, False, at)
    assert gate.pace == pytest.approx(7.0)
    gate.on_busy(1000.0, 0.0, False, 1000.0)
    assert gate.pace == pytest.approx(4.9)


def test_refusals_while_no_allowance_is_left_are_no_outage() -> None:
    gate = Gate(SETTINGS, Random(1), 0.0)
    gate.set_limit(10.0, True)
    gate.allowance_left = 0.0
    for at in range(0, 10000, 500):
        gate.on_busy(float(at), 0.0, False, float(at))
    assert not gate.circuit_open


def test_most_calls_failing_is_an_outage_though_some_pass() -> None:
    gate = Gate(SETTINGS, Random(1), 0.0)
    for step in range(40):
        if step % 3 == 2:
            gate.on_success(float(step))
        else:
            gate.on_failure(float(step), False)
        if gate.circuit_open:
            break
    assert gate.circuit_open


def test_ramp_stays_far_under_the_tipping_rate() -> None:
    gate = Gate(SETTINGS, Random(1), 0.0)
    gate.set_limit(10.0, False)
    for at in range(3):
        gate.on_failure(float(at), False)
    gate.on_sent(2000.0)
    gate.on_success(2000.0)
    limit = SETTINGS.tip_multiple * SETTINGS.start_capacity * 10.0 / SETTINGS.senders
    assert gate.allowed_rate(2000.0) < limit
    assert gate.next_call_at(2000.0) > 2000.0
    limit = SETTINGS.tip_multiple * 10.0 / SETTINGS.senders
    assert gate.next_call_at(2000.0 + SETTINGS.cold) < math.inf
    assert 0.5 * limit < gate.allowed_rate(2000.0 + SETTINGS.cold) < limit, "while more is held"
    assert gate.next_call_at(1000.0 + SETTINGS.cold, True) < math.inf
    assert gate.allowed_rate(1000.0 + SETTINGS.cold) < limit, "the last one held, yet in the cold time"
    assert gate.next_call_at(2000.0 + SETTINGS.cold, True) == 2000.0 + SETTINGS.cold
    assert gate.allowed_rate(2000.0 + SETTINGS.cold) == float("inf")


def test_what_was_held_through_the_cold_time_does_not_go_at_once() -> None:
    sender, now = Sender(replace(SETTINGS, weights="rough"), 1, 0.0), 2000.0
    sender.handle(0.0, [listed(1)])
    warm(sender, 1)
    gate = sender.destinations[1].gate
    gate.open_circuit(100.0)
    gate.on_success(now)
    assert not sends(sender.handle(now, [new(ident) for ident in range(1, 6)]))
    gate.ramp_start = now - SETTINGS.cold  # all of them held through the cold time
    gone: list[tuple[float, int]] = []
    events: list[api.Event] = [api.TimerDue()]
    while now < 4000.0:
        ids = sends(sender.handle(now, events))
        gone += [(now, ident) for ident in ids]
        events, now = [over(ident, api.Result.OK) for ident in ids] or [api.TimerDue()], now + 10.0
    assert [ident for _, ident in gone] == [1, 2, 3, 4, 5]
    gaps = [after - before for (before, _), (after, _) in pairwise(gone)]
    assert gaps[:3] == pytest.approx([220.0, 220.0, 210.0], abs=20.0), "the ramp's gaps, while more are held"
    assert gaps[3] == 0.0, "and the last one at once"


def test_without_a_cold_time_there_is_no_ramp() -> None:
    gate = Gate(replace(SETTINGS, cold=0.0), Random(1), 0.0)
    gate.open_circuit(0.0)
    gate.on_success(100.0)
    assert gate.next_call_at(100.0) == 100.0 and gate.allowed_rate(100.0) == math.inf


def test_an_untold_limit_is_not_taken_for_a_call_a_second_of_each_sender() -> None:
    gate = Gate(replace(SETTINGS, senders=300), Random(1), 0.0)
    gate.arrivals = 1.0
    assert gate.own_rate(20000.0) == pytest.approx(
        0.05
    )  # its own message in twenty seconds, not one each second


def test_a_burst_refused_as_one_does_not_come_back_as_one() -> None:
    fleet, back = replace(SETTINGS, senders=170), []
    for seed in range(60):
        gate = Gate(fleet, Random(seed), 0.0)
        gate.set_limit(20.0, False)
        gate.on_busy(1000.0, 0.0, False, 950.0)
        back.append(gate.next_call_at(1000.0))
    back.sort()
    assert back[-1] - back[0] > 5000.0
    assert max(sum(at <= b < at + 1500.0 for b in back) for at in back) < 25


def test_a_tiny_told_rate_is_no_exception() -> None:
    gate = Gate(replace(SETTINGS, senders=340), Random(1), 0.0)
    gate.set_limit(1e-200, False)
    gate.open_circuit(0.0)
    gate.on_busy(0.0, 0.0, False, 0.0)
    assert gate.next_call_at(1.0) > 1000.0
