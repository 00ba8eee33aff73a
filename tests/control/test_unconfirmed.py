"""While the endpoint list is unconfirmed, messages wait in the sender, and none is lost or late for it."""

from __future__ import annotations

from brassweir import interface as api
from brassweir.control import Sender

CLASSES = (api.MessageClass("safe", 1000.0, 4000.0, api.Effect.SAFE),)
READY = api.EndpointInfo("d1-0", 1, "")
AWAY = api.EndpointInfo("d1-0", 1, "", state=api.EntryState.DRAINING)
SPARE = api.EndpointInfo("d1-1", 1, "")
UNCONFIRMED, USABLE = api.ListUpdate(api.ListKind.UNCONFIRMED), api.ListUpdate(api.ListKind.USABLE)


def unconfirmed_sender(slots: int = 4, max_open: int = 20) -> Sender:
    sender = Sender(api.Settings(classes=CLASSES, slots=slots, max_open=max_open), 1, 0.0)
    sender.handle(0.0, [api.ListUpdate(api.ListKind.CACHED, (READY,)), UNCONFIRMED])
    return sender


def sends(actions: list[api.Action]) -> list[tuple[int, str]]:
    return [(action.id, action.endpoint) for action in actions if isinstance(action, api.Send)]


def new_message(ident: int, left: float = 4000.0, admitted: bool = False) -> api.NewMessage:
    return api.NewMessage(ident, "safe", 1, left, admitted=admitted)


def test_messages_wait_and_follow_the_confirmed_list() -> None:
    sender = unconfirmed_sender()
    assert sends(sender.handle(1.0, [new_message(1), new_message(2, admitted=True)])) == []
    assert sends(sender.handle(500.0, [api.TimerDue()])) == []
    confirmed: list[api.Event] = [api.ListUpdate(api.ListKind.DELTA, (AWAY, SPARE)), USABLE]
    assert sends(sender.handle(600.0, confirmed)) == [(1, "d1-1"), (2, "d1-1")]


def test_a_message_that_expires_meanwhile_is_answered_in_time() -> None:
    sender = unconfirmed_sender()
    sender.handle(1.0, [new_message(1, 300.0)])
    actions = [action for at in range(10, 400, 10) for action in sender.handle(float(at), [api.TimerDue()])]
    assert [action.id for action in actions if isinstance(action, api.Refuse)] == [1]


def test_no_more_is_admitted_meanwhile_than_the_bound_allows() -> None:
    sender = unconfirmed_sender(slots=4, max_open=1000)
    actions = sender.handle(1.0, [*map(new_message, range(200))])
    refused = [action for action in actions if isinstance(action, api.Refuse)]
    assert 0 < len(refused) < 200 and not sends(actions)


def test_messages_of_attempts_that_never_started_wait_too() -> None:
    sender = unconfirmed_sender()
    sender.handle(1.0, [USABLE])
    assert sends(sender.handle(2.0, [new_message(1)])) == [(1, "d1-0")]
    never_started = api.AttemptEnded(1, 0, "d1-0", api.Result.NOT_STARTED, 1.0)
    assert sends(sender.handle(3.0, [UNCONFIRMED, never_started])) == []
    assert sends(sender.handle(900.0, [USABLE])) == [(1, "d1-0")]
