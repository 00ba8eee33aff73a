"""What the plain HTTP server of a sender shows to its operators besides: its destinations, as JSON."""

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
    """Answers each request from what is there now."""

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
        """``starting`` says what a start still waits for; "" once it is over."""
        super().__init__(metrics, states, lambda: "draining" if engine.stopping else starting())
        self.engine, self.numbers, self.clock = engine, numbers, clock

    def other(self, request: Request) -> Response:
        """The destinations."""
        if request.path.startswith("/destinations"):
            return self._destinations(request.path)
        return super().other(request)

    def _destinations(self, target: str) -> Response:
        path, _, query = target.partition("?")
        name = unquote(path.removeprefix("/destinations").lstrip("/"))
        now, numbers = self.clock.now(), self.numbers
        if name:
            number = numbers.number(name)
            found = inspection.show(self.engine.sender, number, now) if number is not None else None
            if found is None:
                return Response(404, body=f"no destination {name[:128]!r} is known here\n".encode())
            return as_json({"destination": name, **found})
        given = dict(parse_qsl(query))
        count = given.get("count", "10")
        if (
            given.get("by", "open") not in inspection.ORDERS
            or not count.isdigit()
            or not 0 < int(count) <= 100
        ):
            return Response(
                400, body=f"by is one of {', '.join(inspection.ORDERS)}; count is 1 to 100\n".encode()
            )
        return as_json(inspection.top(self.engine.sender, numbers.name, given.get("by", "open"), int(count)))
