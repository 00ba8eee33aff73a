"""The HTTP pages for operators that every process serves: metrics, health, and states as JSON."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any

from brassweir.net.headers import Headers
from brassweir.net.server import Request, Response
from brassweir.observe.metrics import Metrics

States = Mapping[str, Callable[[], dict[str, Any]]]  # state by path


class Operations:
    """Answers operators' requests.

    ``states`` holds the pages that only some processes have, by path. ``health`` returns why this process
    accepts no messages now, or an empty string if it does.
    """

    also = ""  # further paths, for the text of a 404

    def __init__(self, metrics: Metrics, states: States, health: Callable[[], str]) -> None:
        self.metrics, self.states, self.health = metrics, states, health

    async def answer(self, request: Request) -> Response:
        """Answer one request."""
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
        return self.other_path(request)

    def other_path(self, request: Request) -> Response:
        """Answer a path that not every process has; a subclass adds its own."""
        paths = ", ".join(("/metrics", "/healthz", *self.states))
        return Response(404, body=f"only {paths}{self.also}\n".encode())


def as_json(tree: dict[str, Any]) -> Response:
    """Return a JSON response."""
    return Response(200, Headers([("Content-Type", "application/json")]), json.dumps(tree).encode())
