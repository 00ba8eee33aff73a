"""Messages that share a call."""

from __future__ import annotations

from dataclasses import replace

from brassweir import interface as api
from brassweir.control import Sender
from tests.control.made import SETTINGS, listed, new, over, sends

BATCH = replace(SETTINGS, kinds=(api.DestinationKind("k", batch=10),))


def test_held_messages_join_a_call_already_paid_for() -> None:
    sender = Sender(BATCH, 1, 0.0)
    sender.handle(0.0, [listed(1)])
    sender._destination(1).gate.pace, sender._destination(1).gate.tokens = 1.0, 0.0
    assert not sends(sender.handle(1.0, [new(i) for i in range(6)]))
    due = sender.handle(1100.0, [api.TimerDue()])
    assert len(sends(due)) == 6
    assert sender.load.used_slots == 1  # one slot, one token
    assert sender._destination(1).gate.tokens < 1.0


def test_messages_join_though_all_slots_are_taken() -> None:
    sender = Sender(replace(BATCH, slots=1), 1, 0.0)
    sender.handle(0.0, [listed(1)])
    assert len(sends(sender.handle(1.0, [new(1), new(2)]))) == 2
    assert not sends(sender.handle(2.0, [new(3)]))


def test_trial_carries_one_message() -> None:
    sender = Sender(BATCH, 1, 0.0)
    sender.handle(0.0, [listed(1)])
    sender._destination(1).gate.open_circuit(0.0)
    sender.handle(1.0, [new(1), new(2)])
    assert len(sends(sender.handle(60000.0, [new(3), api.TimerDue()]))) == 1


def test_a_lost_shared_call_is_one_failure() -> None:
    sender = Sender(BATCH, 1, 0.0)
    sender.handle(0.0, [listed(1)])
    sender.handle(1.0, [new(i) for i in range(6)])
    sender.handle(900.0, [over(i, api.Result.RESET) for i in range(6)])
    assert sender._destination(1).gate.failure_streak == 1
    assert not sender._destination(1).gate.circuit_open
