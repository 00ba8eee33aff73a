"""Proof that the checker of the six rules can fail: each guard taken out is seen."""

from __future__ import annotations

from unittest.mock import patch

import pytest

from brassweir import interface as api
from brassweir.control import Sender
from brassweir.control.aggregates import INF
from brassweir.control.entities import Message
from brassweir.control.gate import Gate
from tests.checker import BrokenRule, Checked
from tests.rules_driver import drive


def always(*_: object) -> bool:
    return True


def no_wait(self: Gate, now: float, wait: float) -> None:
    """A gate that hears no told wait."""


def deaf(self: Sender, news: api.ListUpdate) -> None:
    """A sender that keeps to its first list."""
    if not self.destination_ids:
        HEARD(self, news)


def no_answer(self: Sender, message: Message) -> None:
    """Forgets to answer."""
    self._end(message)


def twice(self: Sender, message: Message) -> None:
    """Answers twice."""
    self.actions.append(api.Fail(message.id))
    ANSWERED(self, message)


def always_refuse(self: Sender, message: Message) -> None:
    """Promises a harmless repeat whatever has run."""
    self.actions.append(api.Refuse(message.id, 0.0))
    self._end(message)


def no_rest(self: Sender, event: api.AttemptEnded) -> None:
    """Lets no key rest."""
    ENDED(self, event)
    for line in self.key_queues.values():
        line.paused_until = -INF


def sends_on(self: Sender, message: Message) -> None:
    """Sends a message after its answer."""
    endpoints = [e for e in message.destination.endpoints.values() if e.usable]
    if message.attempts < self.settings.max_attempts and not message.in_flight and endpoints:
        self.actions.append(api.Fail(message.id))
        self._send(message, endpoints[0])
        message.ended = True
    else:
        ANSWERED(self, message)


HEARD, ANSWERED, ENDED = Sender._on_list_update, Sender._end_undelivered, Sender._on_attempt_ended

GUARDS = [
    (Sender, "_may_retry", always, "repeated|unsafe|attempt"),
    (Sender, "_has_turn", always, "turn|rests"),
    (Sender, "_in_key_scope", always, "zone"),
    (Gate, "on_requested_wait", no_wait, "wait"),
    (Sender, "_on_list_update", deaf, "drains or is gone"),
    (Sender, "_end_undelivered", no_answer, "no answer"),
    (Sender, "_end_undelivered", twice, "second answer"),
    (Sender, "_end_undelivered", always_refuse, "refused though"),
    (Sender, "_end_undelivered", sends_on, "after its end"),
    (Sender, "_on_attempt_ended", no_rest, "rests"),
]


@pytest.mark.parametrize(("owner", "guard", "broken", "words"), GUARDS)
def test_the_checker_sees_a_broken_guard(owner: type, guard: str, broken: object, words: str) -> None:
    with patch.object(owner, guard, broken), pytest.raises(BrokenRule, match=words):
        for seed in range(200):
            drive_past_crashes(seed)


def drive_past_crashes(seed: int) -> None:
    """A broken guard may break the module itself too; only what the checker says counts."""
    try:
        drive(seed)
    except BrokenRule:
        raise
    except Exception:
        return


def test_the_checker_sees_more_calls_than_slots() -> None:
    cls = api.MessageClass("c", 0.0, 9000.0, api.Effect.SAFE)
    box = Checked(api.Settings(classes=(cls,), slots=1, max_open=9))
    infos = tuple(api.EndpointInfo(f"e{i}", i, "k") for i in (1, 2))
    box.handle(0.0, [api.ListUpdate(api.ListKind.FULL, infos)])
    box.handle(1.0, [api.NewMessage(1, "c", 1, 9000.0)])
    box.event(api.NewMessage(2, "c", 2, 9000.0))
    with pytest.raises(BrokenRule, match="slots"):
        box.action(api.Send(2, "e2", 100.0))
