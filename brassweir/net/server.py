"""An HTTP/1.1 server as an asyncio protocol: one request at a time per connection, all of it bounded.

Back-pressure both ways: reading stops while a request is being answered and while bodies held over all
connections are over budget; a peer that does not read what we write is cut off after a time.
"""

from __future__ import annotations

import asyncio
from ssl import SSLContext

from brassweir.net.body_budget import BodyBudget
from brassweir.net.limits import Limits
from brassweir.net.messages import Abort, Complaint, Handler, Request, Response
from brassweir.net.server_connection import ServerConnection

__all__ = ["Abort", "Complaint", "Handler", "Request", "Response", "Server"]


class Server:
    """Listens, and holds what all its connections share."""

    def __init__(self, handler: Handler, limits: Limits, complain: Complaint = lambda *_: None) -> None:
        self.handler, self.limits, self.complain = handler, limits, complain
        self.connections: set[ServerConnection] = set()
        self.bodies = BodyBudget(limits.buffered_bytes)
        self.listener: asyncio.Server | None = None
        self.draining = False

    async def listen(self, host: str, port: int, tls: SSLContext | None = None) -> int:
        """Start to listen and return the port; ``tls`` is the seam for a later direction."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ServerConnection(self, loop), host, port, ssl=tls, backlog=1024
        )
        return int(self.listener.sockets[0].getsockname()[1])

    def drain(self) -> None:
        """Take no new connection, close idle ones, and close each other one after its answer."""
        self.draining = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.close_if_idle()

    def abort(self) -> None:
        """Drop every connection."""
        self.drain()
        for connection in list(self.connections):
            connection.drop()
