"""Sample settings and events for tests of the decision module."""

from __future__ import annotations

from brassweir import interface as api
from brassweir.control import Sender

SAFE = api.MessageClass("safe", 2000.0, 20000.0, api.Effect.SAFE, late_worth=0.3)
UNSAFE = api.MessageClass("unsafe", 2000.0, 20000.0, api.Effect.UNSAFE, late_worth=0.3)
SETTINGS = api.Settings(
    classes=(SAFE, UNSAFE), slots=4, max_open=40, senders=2, max_retry_after=3000.0, tick=5.0, cold=10000.0
)


def full_list(*destinations: int) -> api.ListUpdate:
    """Return a full list with one endpoint for each destination."""
    return api.ListUpdate(
        api.ListKind.FULL, tuple(api.EndpointInfo(f"e{d}", d, "k", rate=10.0) for d in destinations)
    )


def new_message(
    ident: int, destination: int = 1, name: str = "safe", left: float = 20000.0
) -> api.NewMessage:
    """Return a new message."""
    return api.NewMessage(ident, name, destination, left)


def attempt_ended(
    ident: int, result: api.Result, destination: int = 1, attempt: int = 0, **more: float
) -> api.AttemptEnded:
    """Return the end of an attempt, by default after 100 ms; a success ends the message."""
    return api.AttemptEnded(
        ident, attempt, f"e{destination}", result, more.pop("latency", 100.0), result is api.Result.OK, **more
    )


def sent_ids(actions: list[api.Action]) -> list[int]:
    """Return the ids of the messages sent."""
    return [action.id for action in actions if isinstance(action, api.Send)]


def warm_up(sender: Sender, count: int, start: float = 0.0) -> float:
    """Let ``count`` calls succeed, one after the other; return the time after them."""
    now = start
    for ident in range(count):
        assert sent_ids(sender.handle(now, [new_message(10_000 + ident)])) == [10_000 + ident]
        sender.handle(now + 50.0, [attempt_ended(10_000 + ident, api.Result.OK, latency=50.0)])
        now += 60.0
    return now
