"""The checker of the six rules notices each rule that the sender is made to break."""

from __future__ import annotations

from unittest.mock import patch

import pytest

from brassweir import interface as api
from brassweir.control import Sender
from brassweir.control.aggregates import INF
from brassweir.control.entities import Message
from brassweir.control.gate import Gate
from tests.checker import BrokenRule, CheckedSender
from tests.rules_driver import drive


def always(*_: object) -> bool:
    return True


def ignore_wait(self: Gate, now: float, wait: float) -> None:
    """Ignores requested waits."""


def ignore_updates(self: Sender, update: api.ListUpdate) -> None:
    """Ignores all updates of the endpoint list but the first."""
    if not self.destination_ids:
        ON_LIST_UPDATE(self, update)


def give_no_answer(self: Sender, message: Message) -> None:
    """Ends a message without an answer."""
    self._end(message)


def answer_twice(self: Sender, message: Message) -> None:
    """Gives two answers."""
    self.actions.append(api.Fail(message.id))
    END_UNDELIVERED(self, message)


def always_refuse(self: Sender, message: Message) -> None:
    """Refuses messages that may have run."""
    self.actions.append(api.Refuse(message.id, 0.0))
    self._end(message)


def no_pause(self: Sender, event: api.AttemptEnded) -> None:
    """Ends every pause of a key at once."""
    ON_ATTEMPT_ENDED(self, event)
    for key_queue in self.key_queues.values():
        key_queue.paused_until = -INF


def send_after_end(self: Sender, message: Message) -> None:
    """Sends a message after its final answer."""
    endpoints = [e for e in message.destination.endpoints.values() if e.usable]
    if message.attempts < self.settings.max_attempts and not message.in_flight and endpoints:
        self.actions.append(api.Fail(message.id))
        self._send(message, endpoints[0])
        message.ended = True
    else:
        END_UNDELIVERED(self, message)


ON_LIST_UPDATE, END_UNDELIVERED, ON_ATTEMPT_ENDED = (
    Sender._on_list_update,
    Sender._end_undelivered,
    Sender._on_attempt_ended,
)

GUARDS = [
    (Sender, "_may_retry", always, "repeated|unsafe|attempt"),
    (Sender, "_has_turn", always, "turn|pauses"),
    (Sender, "_in_key_scope", always, "zone"),
    (Gate, "on_requested_wait", ignore_wait, "wait"),
    (Sender, "_on_list_update", ignore_updates, "draining or gone"),
    (Sender, "_end_undelivered", give_no_answer, "no answer"),
    (Sender, "_end_undelivered", answer_twice, "second answer"),
    (Sender, "_end_undelivered", always_refuse, "refused though"),
    (Sender, "_end_undelivered", send_after_end, "after its end"),
    (Sender, "_on_attempt_ended", no_pause, "pauses"),
]


@pytest.mark.parametrize(("owner", "guard", "broken", "message"), GUARDS)
def test_the_checker_sees_a_broken_guard(owner: type, guard: str, broken: object, message: str) -> None:
    with patch.object(owner, guard, broken), pytest.raises(BrokenRule, match=message):
        for seed in range(200):
            drive_past_crashes(seed)


def drive_past_crashes(seed: int) -> None:
    """Drive a sender; only BrokenRule counts, since a broken guard may also crash the sender itself."""
    try:
        drive(seed)
    except BrokenRule:
        raise
    except Exception:
        return


def test_the_checker_sees_more_calls_than_slots() -> None:
    message_class = api.MessageClass("c", 0.0, 9000.0, api.Effect.SAFE)
    checked = CheckedSender(api.Settings(classes=(message_class,), slots=1, max_open=9))
    infos = tuple(api.EndpointInfo(f"e{i}", i, "k") for i in (1, 2))
    checked.handle(0.0, [api.ListUpdate(api.ListKind.FULL, infos)])
    checked.handle(1.0, [api.NewMessage(1, "c", 1, 9000.0)])
    checked.follow_event(api.NewMessage(2, "c", 2, 9000.0))
    with pytest.raises(BrokenRule, match="slots"):
        checked.check_action(api.Send(2, "e2", 100.0))
