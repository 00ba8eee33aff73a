"""The HTTP pages for operators that a sender serves in addition: its destinations, as JSON."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import parse_qsl, unquote

from brassweir.core.clock import LoopClock
from brassweir.core.engine import Engine
from brassweir.destinations import inspection
from brassweir.net.server import Request, Response
from brassweir.observe.metrics import Metrics
from brassweir.service.operations import Operations, States, as_json
from brassweir.service.resolved_list import DestinationNumbers


class SenderOperations(Operations):
    """Adds ``/destinations`` to the common pages."""

    also = " and /destinations"

    def __init__(
        self,
        engine: Engine,
        numbers: DestinationNumbers,
        metrics: Metrics,
        clock: LoopClock,
        states: States,
        starting: Callable[[], str] = lambda: "",
    ) -> None:
        """``starting`` returns a health text while the process starts, and an empty string afterwards."""
        super().__init__(metrics, states, lambda: "draining" if engine.stopping else starting())
        self.engine, self.numbers, self.clock = engine, numbers, clock

    def other_path(self, request: Request) -> Response:
        """Answer ``/destinations`` and below."""
        if request.path.startswith("/destinations"):
            return self._destinations(request.path)
        return super().other_path(request)

    def _destinations(self, request_target: str) -> Response:
        path, _, query = request_target.partition("?")
        name = unquote(path.removeprefix("/destinations").lstrip("/"))
        now, numbers = self.clock.now(), self.numbers
        if name:
            number = numbers.number(name)
            state = inspection.show(self.engine.sender, number, now) if number is not None else None
            if state is None:
                return Response(404, body=f"no destination {name[:128]!r} is known here\n".encode())
            return as_json({"destination": name, **state})
        parameters = dict(parse_qsl(query))
        count = parameters.get("count", "10")
        if (
            parameters.get("by", "open") not in inspection.ORDERS
            or not count.isdigit()
            or not 0 < int(count) <= 100
        ):
            return Response(
                400, body=f"by is one of {', '.join(inspection.ORDERS)}; count is 1 to 100\n".encode()
            )
        return as_json(
            inspection.top(self.engine.sender, numbers.name, parameters.get("by", "open"), int(count))
        )
