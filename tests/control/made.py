"""Settings, events and senders that several tests of the decisions use."""

from __future__ import annotations

from brassweir import interface as api
from brassweir.control import Sender

SAFE = api.MessageClass("safe", 2000.0, 20000.0, api.Effect.SAFE, late_worth=0.3)
UNSAFE = api.MessageClass("unsafe", 2000.0, 20000.0, api.Effect.UNSAFE, late_worth=0.3)
SETTINGS = api.Settings(
    classes=(SAFE, UNSAFE), slots=4, max_open=40, senders=2, max_retry_after=3000.0, tick=5.0, cold=10000.0
)


def listed(*destinations: int) -> api.ListUpdate:
    """A full list with one endpoint for each destination."""
    return api.ListUpdate(
        api.ListKind.FULL, tuple(api.EndpointInfo(f"e{d}", d, "k", rate=10.0) for d in destinations)
    )


def new(ident: int, destination: int = 1, name: str = "safe", left: float = 20000.0) -> api.NewMessage:
    """A message."""
    return api.NewMessage(ident, name, destination, left)


def over(
    ident: int, result: api.Result, destination: int = 1, attempt: int = 0, **more: float
) -> api.AttemptEnded:
    """An outcome."""
    return api.AttemptEnded(
        ident, attempt, f"e{destination}", result, more.pop("latency", 100.0), result is api.Result.OK, **more
    )


def sends(actions: list[api.Action]) -> list[int]:
    """The ids sent."""
    return [action.id for action in actions if isinstance(action, api.Send)]


def warm(sender: Sender, count: int, start: float = 0.0) -> float:
    """Calls out and passed again, one after the other; returns the time after them."""
    now = start
    for ident in range(count):
        assert sends(sender.handle(now, [new(10_000 + ident)])) == [10_000 + ident]
        sender.handle(now + 50.0, [over(10_000 + ident, api.Result.OK, latency=50.0)])
        now += 60.0
    return now
