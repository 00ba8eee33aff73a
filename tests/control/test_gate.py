"""Gates: requested waits, the circuit breaker and its trials, slow start, and the pace under a limit."""

from __future__ import annotations

import math
from dataclasses import replace
from itertools import pairwise
from random import Random

import pytest

from brassweir import interface as api
from brassweir.control import Sender
from brassweir.control.gate import Gate
from brassweir.control.slow_start import UNAFFECTED_SHARE
from tests.control.samples import SETTINGS, attempt_ended, full_list, new_message, sent_ids, warm_up


def test_a_long_requested_wait_opens_the_circuit() -> None:
    gate = Gate(SETTINGS, Random(1), 0.0)
    gate.on_requested_wait(0.0, 12000.0)
    gate.on_busy(0.0, 12000.0, False, 0.0)
    assert gate.circuit_open
    assert gate.next_call_at(100.0) > 12000.0
    assert gate.on_sent(12100.0)  # a trial
    assert gate.next_call_at(12100.0) == float("inf")  # and only one


def test_trials_of_many_senders_are_spread_after_a_requested_wait() -> None:
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


def test_a_late_success_does_not_end_a_requested_wait() -> None:
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


def test_rejections_open_the_circuit_only_when_they_last() -> None:
    gate = Gate(SETTINGS, Random(1), 0.0)
    gate.set_limit(10.0, False)
    at, seen = 0.0, []
    while not gate.circuit_open:
        seen.append(at)
        gate.on_busy(at, 0.0, False, at)
        at = gate.wait_until
    assert len(seen) >= 3  # a limit that counts over an interval rejects all calls until its end
    assert seen[-1] - seen[0] > 300.0


def test_backoff_grows_with_consecutive_rejections_and_ends_with_a_success() -> None:
    gate = Gate(SETTINGS, Random(1), 0.0)
    gate.set_limit(10.0, False)
    gate.on_busy(0.0, 0.0, False, 0.0)
    first = gate.wait_until
    gate.on_busy(first, 0.0, False, first)
    assert gate.wait_until - first > first  # 400 ms plus or minus a half, after 100 ms
    gate.on_success(1000.0)
    gate.on_busy(2000.0, 0.0, False, 2000.0)
    assert gate.wait_until <= 2150.0


@pytest.mark.parametrize("outage_seconds", [1.0, 5.0, 20.0, 60.0])
def test_trials_of_senders_that_saw_an_outage_stay_under_the_tipping_rate(outage_seconds: float) -> None:
    fleet = replace(SETTINGS, senders=200)
    trials, own_rate = 0.0, 10.0 / fleet.senders
    for seed in range(200):
        gate = Gate(fleet, Random(seed), 0.0)
        gate.set_limit(10.0, False)
        gate.on_failure(0.0, False)
        gate.on_failure(outage_seconds * 1000.0, True)
        trials += 1000.0 / (gate.next_trial - outage_seconds * 1000.0)
    affected_share = 1.0 - math.exp(-own_rate * outage_seconds)  # senders with a message during the outage
    tipping_rate = fleet.tip_multiple * fleet.start_capacity * 10.0
    assert trials * affected_share <= 1.2 * max(
        tipping_rate, UNAFFECTED_SHARE * 10.0 * (1.0 - affected_share)
    )


def test_a_sender_with_more_traffic_has_a_higher_own_rate() -> None:
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


def test_rejections_while_no_allowance_is_left_are_no_outage() -> None:
    gate = Gate(SETTINGS, Random(1), 0.0)
    gate.set_limit(10.0, True)
    gate.allowance_left = 0.0
    for at in range(0, 10000, 500):
        gate.on_busy(float(at), 0.0, False, float(at))
    assert not gate.circuit_open


def test_most_calls_failing_is_an_outage_though_some_succeed() -> None:
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
    assert 0.5 * limit < gate.allowed_rate(2000.0 + SETTINGS.cold) < limit, "while more is queued"
    assert gate.next_call_at(1000.0 + SETTINGS.cold, True) < math.inf
    assert gate.allowed_rate(1000.0 + SETTINGS.cold) < limit, (
        "the last one queued, but within the cold period"
    )
    assert gate.next_call_at(2000.0 + SETTINGS.cold, True) == 2000.0 + SETTINGS.cold
    assert gate.allowed_rate(2000.0 + SETTINGS.cold) == float("inf")


def test_messages_queued_during_the_cold_period_are_not_sent_at_once() -> None:
    sender, now = Sender(replace(SETTINGS, weights="rough"), 1, 0.0), 2000.0
    sender.handle(0.0, [full_list(1)])
    warm_up(sender, 1)
    gate = sender.destinations[1].gate
    gate.open_circuit(100.0)
    gate.on_success(now)
    assert not sent_ids(sender.handle(now, [new_message(ident) for ident in range(1, 6)]))
    gate.ramp_start = now - SETTINGS.cold  # all were queued during the whole cold period
    gone: list[tuple[float, int]] = []
    events: list[api.Event] = [api.TimerDue()]
    while now < 4000.0:
        ids = sent_ids(sender.handle(now, events))
        gone += [(now, ident) for ident in ids]
        events, now = [attempt_ended(ident, api.Result.OK) for ident in ids] or [api.TimerDue()], now + 10.0
    assert [ident for _, ident in gone] == [1, 2, 3, 4, 5]
    gaps = [after - before for (before, _), (after, _) in pairwise(gone)]
    assert gaps[:3] == pytest.approx([220.0, 220.0, 210.0], abs=20.0), (
        "the gaps of slow start, while more are queued"
    )
    assert gaps[3] == 0.0, "and the last one at once"


def test_without_a_cold_period_there_is_no_ramp() -> None:
    gate = Gate(replace(SETTINGS, cold=0.0), Random(1), 0.0)
    gate.open_circuit(0.0)
    gate.on_success(100.0)
    assert gate.next_call_at(100.0) == 100.0 and gate.allowed_rate(100.0) == math.inf


def test_an_unreported_limit_is_not_one_call_a_second_for_each_sender() -> None:
    gate = Gate(replace(SETTINGS, senders=300), Random(1), 0.0)
    gate.arrivals = 1.0
    assert gate.own_rate(20000.0) == pytest.approx(0.05)  # one message in twenty seconds


def test_retries_of_a_rejected_burst_are_spread() -> None:
    fleet, retries = replace(SETTINGS, senders=170), []
    for seed in range(60):
        gate = Gate(fleet, Random(seed), 0.0)
        gate.set_limit(20.0, False)
        gate.on_busy(1000.0, 0.0, False, 950.0)
        retries.append(gate.next_call_at(1000.0))
    retries.sort()
    assert retries[-1] - retries[0] > 5000.0
    assert max(sum(at <= other < at + 1500.0 for other in retries) for at in retries) < 25


def test_a_tiny_limit_raises_no_error() -> None:
    gate = Gate(replace(SETTINGS, senders=340), Random(1), 0.0)
    gate.set_limit(1e-200, False)
    gate.open_circuit(0.0)
    gate.on_busy(0.0, 0.0, False, 0.0)
    assert gate.next_call_at(1.0) > 1000.0
