"""What the plain HTTP server of a sender shows to its operators: metrics, health and states as JSON."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import parse_qsl, unquote

from brassweir.core.clock import LoopClock
from brassweir.core.engine import Engine
from brassweir.destinations import shown
from brassweir.net.headers import Headers
from brassweir.net.server import Request, Response
from brassweir.observe.metrics import Metrics
from brassweir.service.listed import Numbers

States = Mapping[str, Callable[[], dict[str, Any]]]  # by path: what is shown there


class Plain:
    """Answers each request from what is there now. ``states`` holds what only some senders have."""

    def __init__(
        self, engine: Engine, numbers: Numbers, metrics: Metrics, clock: LoopClock, states: States
    ) -> None:
        self.engine, self.numbers, self.metrics, self.clock = engine, numbers, metrics, clock
        self.states = states

    async def answer(self, request: Request) -> Response:
        """One request."""
        if request.path == "/metrics":
            return Response(
                200,
                Headers([("Content-Type", "text/plain; version=0.0.4; charset=utf-8")]),
                self.metrics.text(),
            )
        if request.path == "/healthz":
            state = b"draining\n" if self.engine.stopping else b"ready\n"
            return Response(503 if self.engine.stopping else 200, body=state)
        if request.path.startswith("/destinations"):
            return self._destinations(request.path)
        state_of = self.states.get(request.path)
        if state_of is not None:
            return _json(state_of())
        also = "".join(f", {path}" for path in self.states)
        return Response(404, body=f"only /metrics, /healthz{also} and /destinations\n".encode())

    def _destinations(self, target: str) -> Response:
        path, _, query = target.partition("?")
        name = unquote(path.removeprefix("/destinations").lstrip("/"))
        now, numbers = self.clock.now(), self.numbers
        if name:
            number = numbers.number(name)
            found = shown.show(self.engine.sender, number, now) if number is not None else None
            if found is None:
                return Response(404, body=f"no destination {name[:128]!r} is known here\n".encode())
            return _json({"destination": name, **found})
        given = dict(parse_qsl(query))
        count = given.get("count", "10")
        if given.get("by", "open") not in shown.ORDERS or not count.isdigit() or not 0 < int(count) <= 100:
            return Response(400, body=f"by is one of {', '.join(shown.ORDERS)}; count is 1 to 100\n".encode())
        return _json(shown.top(self.engine.sender, numbers.name, given.get("by", "open"), int(count)))


def _json(tree: dict[str, Any]) -> Response:
    return Response(200, Headers([("Content-Type", "application/json")]), json.dumps(tree).encode())
