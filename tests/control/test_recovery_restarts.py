"""A restart during an outage or a slow start does not make a sender bolder, at any moment, nor does a second one."""

from __future__ import annotations

import math
from dataclasses import replace
from random import Random

import pytest

from brassweir import interface as api
from brassweir.control import Sender
from brassweir.control.gate import Gate
from brassweir.lab.models.burstplan import TROUBLES, draw_restarts
from brassweir.lab.models.burstworld import BurstWorld
from tests.control.samples import SETTINGS, attempt_ended, full_list, new_message, sent_ids

SEEDS_EACH = 20
FALLS_IF_FORGOTTEN = (7, 9, 18, 20)
ONE_SENDER = replace(SETTINGS, senders=1, weights="rough")


def told_recoveries(sender: Sender) -> list[api.Recovery]:
    """Return what the last batch of events changed."""
    return [change.recovery for change in sender.recovery_changes]


# Guards against review/9: slow start was forgotten at a restart, and the destination was pushed over.
@pytest.mark.parametrize("trouble", TROUBLES)
def test_no_restart_lets_a_returning_destination_be_pushed_over(trouble: str) -> None:
    offset = TROUBLES.index(trouble)
    for seed in range(offset, offset + SEEDS_EACH * len(TROUBLES), len(TROUBLES)):
        world = BurstWorld(draw_restarts(seed), seed).run()
        assert world.fell_at == math.inf, (seed, world.closest, world.plan)


@pytest.mark.parametrize("seed", FALLS_IF_FORGOTTEN)
def test_forgotten_it_is_seen_to_fall(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Gate, "restore_recovery", lambda self, now, recovery, ago: None)
    assert BurstWorld(draw_restarts(seed), seed).run().fell_at < math.inf


def test_each_step_of_a_recovery_is_told_once() -> None:
    sender = Sender(ONE_SENDER, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    sender.handle(1.0, [new_message(1, name="unsafe")])
    sender.handle(100.0, [attempt_ended(1, api.Result.RESET)])
    assert told_recoveries(sender) == [api.Recovery.SUSPECTED]
    sender.handle(5000.0, [new_message(2)])
    assert told_recoveries(sender) == []
    sender.handle(5100.0, [attempt_ended(2, api.Result.OK)])
    assert told_recoveries(sender) == [api.Recovery.CAUTIOUS_START]
    for ident in range(3, 30):
        now = 2000.0 * ident
        assert sent_ids(sender.handle(now, [new_message(ident)])) == [ident]
        sender.handle(now + 100.0, [attempt_ended(ident, api.Result.OK)])
        if told_recoveries(sender):
            break
    assert told_recoveries(sender) == [api.Recovery.NONE] and now > 5100.0 + ONE_SENDER.cold


@pytest.mark.parametrize(
    "recovery", [api.Recovery.SUSPECTED, api.Recovery.CAUTIOUS_START, api.Recovery.SLOW_START]
)
def test_a_restarted_sender_goes_on_slowly(recovery: api.Recovery) -> None:
    sender = Sender(ONE_SENDER, 1, 0.0)
    sender.handle(0.0, [full_list(1), api.RecoveryChange(1, "", recovery, 1000.0)])
    sent = sent_ids(sender.handle(1.0, [new_message(ident) for ident in range(30)]))
    assert len(sent) <= 1
    gate = sender._destination(1).gate
    assert gate.recovery is recovery


def test_a_past_failure_alone_leaves_an_outage_suspected() -> None:
    """Guards against a kill between the record of a failed call and that of the suspicion."""
    for result in (api.Result.TIMEOUT, api.Result.RESET, api.Result.BUSY, api.Result.CONNECTION_LIMIT):
        sender = Sender(ONE_SENDER, 1, 0.0)
        sender.handle(0.0, [full_list(1), api.PastAttempt("e1", result, 3000.0)])
        assert sender._destination(1).gate.outage_suspected
        assert len(sent_ids(sender.handle(5000.0, [new_message(ident) for ident in range(30)]))) <= 1


def test_a_slow_start_that_begins_anew_is_told_again() -> None:
    gate = Gate(ONE_SENDER, Random(1), 0.0)
    gate.begin_slow_start(1000.0, suspicion_only=True)
    assert gate.note_reported(gate.recovery) and not gate.note_reported(gate.recovery)
    gate.on_success(8000.0, 7900.0)  # the first for long
    gate.suspect_outage(3000.0)  # a call sent before it has timed out now
    assert gate.ramp_start == 8000.0 and gate.note_reported(gate.recovery)


def test_a_separate_route_that_is_no_longer_listed_restricts_no_other() -> None:
    sender = Sender(ONE_SENDER, 1, 0.0)
    sender.handle(0.0, [full_list(1), api.RecoveryChange(1, "gone", api.Recovery.SUSPECTED)])
    assert sender._destination(1).gate.recovery is api.Recovery.NONE


def test_a_recovery_that_is_over_restricts_nothing() -> None:
    sender = Sender(ONE_SENDER, 1, 0.0)
    past = api.RecoveryChange(1, "", api.Recovery.SLOW_START, 3600_000.0)
    sender.handle(0.0, [full_list(1), past])
    assert sent_ids(sender.handle(2000.0, [new_message(1)])) == [1]
