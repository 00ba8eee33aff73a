"""An HTTP/1.1 client over pooled connections."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from brassweir.net.address import Address
from brassweir.net.connection import CallFailed, Connection, Stage
from brassweir.net.headers import Headers
from brassweir.net.parse import IncomingMessage, ResponseReader, TooLarge
from brassweir.net.pool import ConnectionPool

__all__ = ["Address", "CallFailed", "HttpPool", "Reply", "Stage"]


@dataclass(slots=True)
class Reply:
    """A response: complete, or only its status and some fields (see HttpPool.decisive_statuses)."""

    status: int
    headers: Headers
    body: bytes
    reused: bool = False  # the connection had carried calls before


GRACE_SECONDS = 0.03  # for the rest of a response whose status line is decisive


class HttpPool(ConnectionPool):
    """The HTTP/1.1 connections to one endpoint.

    A call ends with a status of ``decisive_statuses`` as soon as the complete status line is received, for
    endpoints that guarantee it: the rest of the response may be missing or malformed. Fields received
    completely are returned.
    """

    decisive_statuses: frozenset[int] = frozenset()

    def new_connection(self, loop: asyncio.AbstractEventLoop) -> Connection:
        """Returns an HTTP connection that is not open yet."""
        return _HttpConnection(self, loop)

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
            assert isinstance(connection, _HttpConnection)
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


class _HttpConnection(Connection):
    """An HTTP/1.1 client connection."""

    def __init__(self, pool: HttpPool, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(pool, loop)
        self.reader = ResponseReader(pool.limits)
        self.reader.parser = httptools.HttpResponseParser(self.reader)
        self.pending: asyncio.Future[Reply] | None = None
        self.decisive_statuses = pool.decisive_statuses
        self.grace_timer: asyncio.TimerHandle | None = None
        self.reused = False  # has carried a call before
        self.hold_timer: asyncio.Handle | None = None

    def eof_received(self) -> bool:
        """Completes a response without a declared length (RFC 9112, section 6.3, rule 8)."""
        self.usable = False
        queue = self.reader.queue
        if self.pending is not None and queue and queue[0].head_done:
            headers = queue[0].headers
            if not headers.all("content-length") and not headers.all("transfer-encoding"):
                queue[0].done = True
                self.complete_reply()
        return False

    async def call(
        self, data: bytes, deadline: float, hold_seconds: float, may_start: Callable[[], bool]
    ) -> Reply:
        """Writes a request and returns its response; see HttpPool.post. Raises CallFailed."""
        assert self.transport is not None
        if self.transport.is_closing():
            raise CallFailed(
                Stage.CONNECT, "connection closed before anything was written", reused=self.reused
            )
        pending: asyncio.Future[Reply] = self.loop.create_future()
        self.pending = pending
        self.stage = Stage.CONNECT if hold_seconds else Stage.SENT
        self.transport.write(data[:-1] if hold_seconds else data)
        if hold_seconds:
            self.hold_timer = self.loop.call_later(
                hold_seconds, self._send_last_byte, data[-1:], deadline, may_start
            )
        try:
            async with asyncio.timeout_at(deadline):
                return await pending
        except TimeoutError:
            return self._on_deadline(pending)
        except asyncio.CancelledError:
            self.drop()
            raise
        finally:
            if self.hold_timer is not None:
                self.hold_timer.cancel()
                self.hold_timer = None
            self.pending, self.reused = None, True
            if not pending.cancelled() and pending.done():
                pending.exception()  # avoids asyncio's warning that it was never retrieved
            if self.grace_timer is not None:
                self.grace_timer.cancel()
                self.grace_timer = None

    def _send_last_byte(
        self, last_byte: bytes, deadline: float, may_start: Callable[[], bool], turns: int = 2
    ) -> None:
        """Sends the held-back byte if the deadline has not passed and the connection is still usable.

        It first lets the event loop turn twice. Timers may run before sockets are read, so after a blocked
        loop a reset or early bytes could still be unread.
        """
        assert self.transport is not None
        if turns:
            self.hold_timer = self.loop.call_soon(
                self._send_last_byte, last_byte, deadline, may_start, turns - 1
            )
        elif self.loop.time() < deadline and self.usable and not self.transport.is_closing():
            if may_start():
                self.stage = Stage.SENT
                self.transport.write(last_byte)
            else:
                self.fail(CallFailed(Stage.CONNECT, "it may not begin any more", timed_out=True))
                self.drop()

    def _on_deadline(self, pending: asyncio.Future[Reply]) -> Reply:
        """Returns a reply that came in the turn of the timeout, or an early reply; else raises CallFailed."""
        if pending.done() and not pending.cancelled():
            return pending.result()
        self.drop()
        reply = self.early_reply()
        if reply is None:
            raise CallFailed(self.stage, "no whole answer in time", timed_out=True)
        return reply

    def fail(self, error: CallFailed) -> None:
        """Ends the current call, if any, with ``error``, or with the status received if it is decisive."""
        self.usable = False
        if self.decisive_statuses and self.complete_early():
            return
        if self.pending is not None and not self.pending.done():
            error.reused = self.reused
            self.pending.set_exception(error)

    def data_received(self, data: bytes) -> None:
        """Parses a response; bytes received while no call waits for them end the connection."""
        if self.pending is None or self.pending.done():
            self.drop()
            return
        if self.stage is Stage.CONNECT:
            self.fail(CallFailed(Stage.CONNECT, "bytes came before the call was whole"))
            self.drop()
            return
        try:
            self.reader.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            queue = self.skip_interim()
            if queue and queue[0].done:  # a complete response, followed by invalid bytes
                self.usable = False
                self.complete_reply()
            else:
                self.fail(CallFailed(Stage.GARBLED, f"answer is no HTTP: {error}"))
            self.drop()
            return
        except TooLarge as error:
            self.fail(CallFailed(Stage.GARBLED, str(error)))
            self.drop()
            return
        queue = self.skip_interim()
        if queue:
            self.stage = Stage.BODY if queue[0].head_done else Stage.HEAD
        if queue and queue[0].done:
            self.complete_reply()
        elif self.decisive_statuses and self.grace_timer is None and self.early_reply() is not None:
            self.grace_timer = self.loop.call_later(GRACE_SECONDS, self._on_grace_expired)

    def skip_interim(self) -> deque[IncomingMessage]:
        """Drops complete interim responses (RFC 9110, section 15.2) and returns the queue of messages."""
        queue = self.reader.queue
        while queue and queue[0].done and queue[0].status < 200:
            queue.popleft()
            self.stage = Stage.SENT
        return queue

    def _on_grace_expired(self) -> None:
        """Ends the call with its decisive status; the rest of the response did not arrive."""
        if self.complete_early():
            self.drop()

    def early_reply(self) -> Reply | None:
        """Returns a reply without a body if the status line is complete and decisive, else None."""
        queue = self.skip_interim()
        if not queue or not queue[0].status_line_done or queue[0].status not in self.decisive_statuses:
            return None
        return Reply(queue[0].status, queue[0].headers, b"", self.reused)

    def complete_early(self) -> bool:
        """Ends the call with a decisive status; returns False if there is none or no call waits."""
        reply = self.early_reply()
        if self.pending is None or self.pending.done() or reply is None:
            return False
        self.usable = False
        self.pending.set_result(reply)
        return True

    def complete_reply(self) -> None:
        """Ends the call with the complete response."""
        incoming = self.reader.queue.popleft()
        self.usable = self.usable and incoming.keep_alive and not self.reader.queue
        if self.pending is not None and not self.pending.done():
            self.pending.set_result(
                Reply(incoming.status, incoming.headers, bytes(incoming.body), self.reused)
            )
