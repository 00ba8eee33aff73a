"""An HTTP/1.1 server as an asyncio protocol, which handles one request at a time per connection.

Backpressure: a connection is not read while its request is being handled, or while the request bodies of all
connections exceed their budget. A client that does not read its response is disconnected after a timeout.
"""

from __future__ import annotations

import asyncio
from ssl import SSLContext

from brassweir.net.body_budget import BodyBudget
from brassweir.net.limits import Limits
from brassweir.net.messages import Abort, ErrorReporter, Handler, Request, Response
from brassweir.net.server_connection import ServerConnection

__all__ = ["Abort", "ErrorReporter", "Handler", "Request", "Response", "Server"]


class Server:
    """Accepts connections and holds the state they share."""

    def __init__(
        self, handler: Handler, limits: Limits, report_error: ErrorReporter = lambda *_: None
    ) -> None:
        self.handler, self.limits, self.report_error = handler, limits, report_error
        self.connections: set[ServerConnection] = set()
        self.body_budget = BodyBudget(limits.buffered_bytes)
        self.listener: asyncio.Server | None = None
        self.draining = False

    async def listen(self, host: str, port: int, tls: SSLContext | None = None) -> int:
        """Starts to listen and returns the port."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ServerConnection(self, loop), host, port, ssl=tls, backlog=1024
        )
        return int(self.listener.sockets[0].getsockname()[1])

    def drain(self) -> None:
        """Stops listening, closes idle connections, and closes the others after their next response."""
        self.draining = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.close_if_idle()

    def abort(self) -> None:
        """Stops listening and aborts every connection."""
        self.drain()
        for connection in list(self.connections):
            connection.drop()
