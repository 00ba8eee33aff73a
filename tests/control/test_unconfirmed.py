"""While nobody vouches for the list, messages wait in the module; nothing of them is lost by it."""

from __future__ import annotations

from brassweir import interface as api
from brassweir.control import Sender

CLASSES = (api.MessageClass("safe", 1000.0, 4000.0, api.Effect.SAFE),)
READY = api.EndpointInfo("d1-0", 1, "")
AWAY = api.EndpointInfo("d1-0", 1, "", state=api.EntryState.DRAINING)
SPARE = api.EndpointInfo("d1-1", 1, "")
UNCONFIRMED, USABLE = api.ListUpdate(api.ListKind.UNCONFIRMED), api.ListUpdate(api.ListKind.USABLE)


def sender(slots: int = 4, max_open: int = 20) -> Sender:
    made = Sender(api.Settings(classes=CLASSES, slots=slots, max_open=max_open), 1, 0.0)
    made.handle(0.0, [api.ListUpdate(api.ListKind.CACHED, (READY,)), UNCONFIRMED])
    return made


def sends(actions: list[api.Action]) -> list[tuple[int, str]]:
    return [(one.id, one.endpoint) for one in actions if isinstance(one, api.Send)]


def message(ident: int, left: float = 4000.0, admitted: bool = False) -> api.NewMessage:
    return api.NewMessage(ident, "safe", 1, left, admitted=admitted)


def test_messages_wait_and_go_by_the_list_that_was_confirmed() -> None:
    made = sender()
    assert sends(made.handle(1.0, [message(1), message(2, admitted=True)])) == []
    assert sends(made.handle(500.0, [api.TimerDue()])) == []
    confirmed: list[api.Event] = [api.ListUpdate(api.ListKind.DELTA, (AWAY, SPARE)), USABLE]
    assert sends(made.handle(600.0, confirmed)) == [(1, "d1-1"), (2, "d1-1")]


def test_a_message_whose_time_is_up_meanwhile_has_its_answer_in_time() -> None:
    made = sender()
    made.handle(1.0, [message(1, 300.0)])
    actions = [one for at in range(10, 400, 10) for one in made.handle(float(at), [api.TimerDue()])]
    assert [one.id for one in actions if isinstance(one, api.Refuse)] == [1]


def test_no_more_is_taken_on_meanwhile_than_the_bound_allows() -> None:
    made = sender(slots=4, max_open=1000)
    actions = made.handle(1.0, [*map(message, range(200))])
    refused = [one for one in actions if isinstance(one, api.Refuse)]
    assert 0 < len(refused) < 200 and not sends(actions)


def test_attempts_that_came_back_unbegun_wait_too() -> None:
    made = sender()
    made.handle(1.0, [USABLE])
    assert sends(made.handle(2.0, [message(1)])) == [(1, "d1-0")]
    moot = api.AttemptEnded(1, 0, "d1-0", api.Result.NOT_STARTED, 1.0)
    assert sends(made.handle(3.0, [UNCONFIRMED, moot])) == []
    assert sends(made.handle(900.0, [USABLE])) == [(1, "d1-0")]
