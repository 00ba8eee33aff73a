"""An HTTP/1.1 client over pooled connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from brassweir.net.address import Address
from brassweir.net.connection import CallFailed, Connection, Stage
from brassweir.net.headers import Headers
from brassweir.net.http_connection import HttpConnection
from brassweir.net.pool import ConnectionPool
from brassweir.net.repeats import ResponseHistory
from brassweir.net.reply import Reply

__all__ = ["Address", "CallFailed", "HttpPool", "Reply", "Stage"]


class HttpPool(ConnectionPool):
    """The HTTP/1.1 connections to one endpoint.

    A call ends with a status of ``decisive_statuses`` as soon as the complete status line is received, for
    endpoints that guarantee it: the rest of the response may be missing or malformed. Fields received
    completely are returned.

    A connection carries another call only if the endpoint's responses, which ``history`` describes, can be
    told from copies of earlier ones; see repeats.
    """

    decisive_statuses: frozenset[int] = frozenset()
    history: ResponseHistory | None = None

    def new_connection(self, loop: asyncio.AbstractEventLoop) -> Connection:
        """Returns an HTTP connection that is not open yet."""
        if self.history is None:
            self.history = ResponseHistory()
        return HttpConnection(self, loop, self.decisive_statuses, self.history)

    async def post(
        self,
        headers: Headers,
        body: bytes,
        deadline: float,
        start_by: float | None = None,
        may_start: Callable[[], bool] = lambda: True,
        hold_seconds: float = 0.0,
    ) -> Reply:
        """Sends one POST request and returns its response by ``deadline`` (loop time, seconds).

        Raises CallFailed, also at ``start_by`` (loop time) or if ``may_start`` returns False.

        The last byte is sent ``hold_seconds`` after the others. If the endpoint closes or resets the
        connection meanwhile, it cannot have processed the incomplete request. Bytes received meanwhile
        belong to an earlier call and end the connection. ``may_start`` is called again before the last byte,
        because the event loop may have been blocked in between.
        """
        async with self.acquire(deadline, start_by, may_start) as connection:
            assert isinstance(connection, HttpConnection)
            return await connection.call(
                self._request_head(headers, len(body)) + body, deadline, hold_seconds, may_start
            )

    def _request_head(self, headers: Headers, length: int) -> bytes:
        """Returns the request's head, with Host and Content-Length added to ``headers``."""
        addr = self.address
        fields = Headers([("Host", addr.host if addr.port in (80, 443) else f"{addr.host}:{addr.port}")])
        for name, value in headers:
            fields.add(name, value)
        fields.add("Content-Length", str(length))
        return fields.encode_head(f"POST {addr.target} HTTP/1.1")
