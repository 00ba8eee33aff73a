"""Messages that share a call."""

from __future__ import annotations

from dataclasses import replace

from brassweir import interface as api
from brassweir.control import Sender
from tests.control.samples import SETTINGS, attempt_ended, full_list, new_message, sent_ids

BATCH = replace(SETTINGS, kinds=(api.DestinationKind("k", batch=10),))


def test_queued_messages_join_a_call_without_slot_or_token() -> None:
    sender = Sender(BATCH, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    sender._destination(1).gate.pace, sender._destination(1).gate.tokens = 1.0, 0.0
    assert not sent_ids(sender.handle(1.0, [new_message(i) for i in range(6)]))
    due = sender.handle(1100.0, [api.TimerDue()])
    assert len(sent_ids(due)) == 6
    assert sender.load.used_slots == 1  # one slot, one token
    assert sender._destination(1).gate.tokens < 1.0


def test_messages_join_though_all_slots_are_taken() -> None:
    sender = Sender(replace(BATCH, slots=1), 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    assert len(sent_ids(sender.handle(1.0, [new_message(1), new_message(2)]))) == 2
    assert not sent_ids(sender.handle(2.0, [new_message(3)]))


def test_trial_carries_one_message() -> None:
    sender = Sender(BATCH, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    sender._destination(1).gate.open_circuit(0.0)
    sender.handle(1.0, [new_message(1), new_message(2)])
    assert len(sent_ids(sender.handle(60000.0, [new_message(3), api.TimerDue()]))) == 1


def test_a_lost_shared_call_is_one_failure() -> None:
    sender = Sender(BATCH, 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    sender.handle(1.0, [new_message(i) for i in range(6)])
    sender.handle(900.0, [attempt_ended(i, api.Result.RESET) for i in range(6)])
    assert sender._destination(1).gate.failure_streak == 1
    assert not sender._destination(1).gate.circuit_open
