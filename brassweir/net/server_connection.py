"""The server side of one HTTP/1.1 connection: reads requests, runs the handler, applies timeouts.

A connection ends with the response to each request that was read, and without a reset (RFC 9112, 9.6).
Aborted are only connections over the limit, those whose peer does not read, and all when the process ends.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

import httptools

from brassweir.net.body_budget import BodyBudget
from brassweir.net.limits import Limits
from brassweir.net.lingering_close import unread_bytes
from brassweir.net.messages import (
    Abort,
    ErrorReporter,
    Handler,
    Request,
    Response,
    encode_response,
    head_error,
)
from brassweir.net.parse import IncomingMessage, MessageReader, TooLarge
from brassweir.net.server_transport import ServerTransport

UNREAD_RETRY_MS = 100.0  # until an idle timeout that met unread bytes is repeated


class ConnectionServer(Protocol):
    """What a connection needs of the server that accepted it."""

    handler: Handler
    limits: Limits
    report_error: ErrorReporter
    connections: set[ServerConnection]
    body_budget: BodyBudget
    draining: bool


class ServerConnection(ServerTransport):
    """One client's connection. It is idle, receiving, handling or closing, with one timer for all states."""

    def __init__(self, server: ConnectionServer, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(server.limits, loop)
        self.server = server
        self.reader = MessageReader(self.limits)
        self.reader.parser = httptools.HttpRequestParser(self.reader)
        self.receiving_bytes = self.answering_bytes = 0  # body bytes counted in the server's budget
        self.request: Request | None = None  # being handled
        self.parse_error: tuple[int, str] | None = None  # status and reason; nothing after it is read
        self.handler_task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection, or aborts it if the server has too many."""
        super().connection_made(transport)
        if len(self.server.connections) >= self.limits.connections:
            self.drop()
            self.server.report_error(self.peer, 503, "too many connections")
            return
        self.server.connections.add(self)
        self.set_timeout(self.limits.idle_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Frees the connection's share of the budget and notifies the request being handled."""
        super().connection_lost(exc)
        self.server.connections.discard(self)
        self.update_counts(0, 0)
        self.server.body_budget.body_done(self)
        if self.request is not None:
            self.request.disconnected.set()

    def eof_received(self) -> bool:
        """Keeps the connection open for the responses to requests that were read whole."""
        self.peer_ended = True
        assert self.transport is not None
        answering = self.request is not None and not self.closing
        return answering and self.transport.can_write_eof()  # TLS closes both directions together

    def update_counts(self, receiving_bytes: int, answering_bytes: int) -> None:
        """Updates the server's budget with the body bytes received here and those being handled."""
        more_answering = answering_bytes - self.answering_bytes
        self.server.body_budget.add(receiving_bytes - self.receiving_bytes + more_answering, more_answering)
        self.receiving_bytes, self.answering_bytes = receiving_bytes, answering_bytes

    def queued_bytes(self) -> int:
        """Returns the body bytes received that were not passed to the handler yet."""
        return sum(len(message.body) for message in self.reader.queue)

    def idle_timeout(self) -> float | None:
        """Returns the time (ms) to wait for a request; None while one is being handled."""
        return None if self.request is not None else self.limits.idle_ms

    def on_timeout(self) -> None:
        """Rejects an unfinished request with status 408, or closes an idle connection."""
        if self.write_blocked:
            self.drop()
        elif self.reader.queue and self.request is None:
            self.reject(408, "request not finished in time")
        elif not self.close_if_idle():
            self.set_timeout(UNREAD_RETRY_MS)

    def close_if_idle(self) -> bool:
        """Closes the connection if no request has begun to arrive; returns whether it did."""
        if self.reader.queue or self.request is not None or self.transport is None or self.closing:
            return False
        if unread_bytes(self.transport):
            return False
        self.close_after_write()
        return True

    def data_received(self, data: bytes) -> None:
        """Parses requests; pipelined ones wait until the current one has its response."""
        if self.lingering is not None:
            self.lingering.discard(len(data))
        if self.closing:
            return
        had_message = bool(self.reader.queue)
        had_head = had_message and self.reader.queue[-1].head_done
        try:
            self.reader.feed(data)
        except httptools.HttpParserUpgrade:
            self.reader.queue.pop()  # a protocol upgrade or CONNECT, not supported
            self.parse_error = (400, "no upgrade is offered")
        except httptools.HttpParserError as error:
            self.parse_error = (400, str(error))
        except TooLarge as error:
            self.parse_error = (error.status, str(error))
        self.update_counts(self.queued_bytes(), self.answering_bytes)
        if self.request is not None or self.parse_error is not None or len(self.reader.queue) > 1:
            self.pause_reading()
        if self.request is None:
            self.process_queue(had_message, had_head)

    def process_queue(self, had_message: bool, had_head: bool) -> None:
        """Handles the next request if it is complete, otherwise sets the timeout for its head or body.

        ``had_message`` and ``had_head``: whether a message, and its head, had been received before this call.
        """
        queue = self.reader.queue
        if queue and queue[0].head_done and not self.check_head(queue[0]):
            return
        if queue and queue[0].done:
            return self.start_handler(queue.popleft())
        if self.parse_error is not None:
            return self.reject(*self.parse_error)
        if queue and queue[0].head_done:
            if not had_head:
                self.set_timeout(self.limits.body_ms)
            if self.server.body_budget.must_pause(self):
                self.pause_reading()
        elif queue and not had_message:
            self.set_timeout(self.limits.head_ms)
        return None

    def check_head(self, incoming: IncomingMessage) -> bool:
        """Returns whether the head is valid; rejects it, or sends 100 Continue (RFC 9110, section 10.1.1)."""
        error = head_error(incoming)
        if error is not None:
            self.reject(*error)
            return False
        expect = incoming.headers.first("expect")
        if expect and not incoming.done and not incoming.body and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    def start_handler(self, incoming: IncomingMessage) -> None:
        """Starts the handler for a complete request."""
        self.set_timeout(None)
        self.request = Request(
            incoming.method,
            incoming.target.decode("latin-1"),
            incoming.headers,
            bytes(incoming.body),
            self.peer,
        )
        self.update_counts(self.queued_bytes(), len(incoming.body))
        self.server.body_budget.body_done(self)
        self.handler_task = self.loop.create_task(self.handle(self.request, incoming.keep_alive))

    async def handle(self, request: Request, keep_alive: bool) -> None:
        """Runs the handler and writes its response; an exception becomes a 500, an Abort closes."""
        try:
            response = await self.server.handler(request)
        except asyncio.CancelledError:
            self.drop()
            raise
        except Abort as abort:
            if abort.final_bytes and self.transport is not None and not self.transport.is_closing():
                self.transport.write(abort.final_bytes)
                self.close_after_write()
            else:
                self.drop()
            return
        except Exception as error:
            self.server.report_error(self.peer, 500, f"{type(error).__name__}: {error}")
            response = Response(500, close=True)
        if self.transport is None or self.transport.is_closing():
            return
        keep_alive = keep_alive and not response.close and not self.is_last()
        self.write(response, keep_alive, request.method == "HEAD")
        if not keep_alive:
            self.close_after_write()
            return
        self.request = None
        self.update_counts(self.queued_bytes(), 0)
        self.server.body_budget.body_done(self)
        self.set_timeout(self.limits.head_ms if self.reader.queue else self.limits.idle_ms)
        self.resume_reading()
        self.process_queue(True, False)

    def is_last(self) -> bool:
        """Whether no request follows the one being handled: the server drains, or the peer has sent EOF."""
        if self.peer_ended:
            return not (self.reader.queue and self.reader.queue[0].done)
        return self.server.draining and not self.reader.queue

    def write(self, response: Response, keep_alive: bool, omit_body: bool = False) -> None:
        """Writes a response."""
        assert self.transport is not None
        self.transport.write(encode_response(response, keep_alive, omit_body))

    def reject(self, status: int, reason: str) -> None:
        """Responds to a bad request and closes: the start of the next request cannot be known reliably."""
        self.server.report_error(self.peer, status, reason)
        if self.transport is None or self.transport.is_closing():
            return
        self.write(Response(status, body=(reason + "\n").encode("latin-1", "replace")), keep_alive=False)
        self.close_after_write()
