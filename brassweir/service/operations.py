"""What every process shows to its operators over plain HTTP: metrics, health, and states as JSON."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any

from brassweir.net.headers import Headers
from brassweir.net.server import Request, Response
from brassweir.observe.metrics import Metrics

States = Mapping[str, Callable[[], dict[str, Any]]]  # by path: what is shown there


class Operations:
    """Answers each request from what is there now. ``states`` holds what only some processes have;
    ``health`` says why this one takes nothing now, "" if it does."""

    also = ""  # what else is shown, in the words for an unknown path

    def __init__(self, metrics: Metrics, states: States, health: Callable[[], str]) -> None:
        self.metrics, self.states, self.health = metrics, states, health

    async def answer(self, request: Request) -> Response:
        """One request."""
        if request.path == "/metrics":
            return Response(
                200,
                Headers([("Content-Type", "text/plain; version=0.0.4; charset=utf-8")]),
                self.metrics.text(),
            )
        if request.path == "/healthz":
            why = self.health()
            return Response(503 if why else 200, body=f"{why or 'ready'}\n".encode())
        state_of = self.states.get(request.path)
        if state_of is not None:
            return as_json(state_of())
        return self.other(request)

    def other(self, request: Request) -> Response:
        """A path that not every process has."""
        paths = ", ".join(("/metrics", "/healthz", *self.states))
        return Response(404, body=f"only {paths}{self.also}\n".encode())


def as_json(tree: dict[str, Any]) -> Response:
    """A state as it is shown."""
    return Response(200, Headers([("Content-Type", "application/json")]), json.dumps(tree).encode())
