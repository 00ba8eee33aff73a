"""The server side of one HTTP/1.1 connection: reads requests, runs the handler, applies timeouts."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

import httptools

from brassweir.net.body_budget import BodyBudget
from brassweir.net.limits import Limits
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


class ConnectionServer(Protocol):
    """What a connection needs of the server that accepted it."""

    handler: Handler
    limits: Limits
    report_error: ErrorReporter
    connections: set[ServerConnection]
    body_budget: BodyBudget
    draining: bool


class ServerConnection(asyncio.Protocol):
    """One client's connection. It is idle, receiving, handling or closing, with one timer for all states."""

    def __init__(self, server: ConnectionServer, loop: asyncio.AbstractEventLoop) -> None:
        self.server, self.loop, self.limits = server, loop, server.limits
        self.transport: asyncio.Transport | None = None
        self.peer = ""
        self.reader = MessageReader(self.limits)
        self.reader.parser = httptools.HttpRequestParser(self.reader)
        self.receiving_bytes = self.answering_bytes = 0  # body bytes counted in the server's budget
        self.request: Request | None = None  # being handled
        self.parse_error: tuple[int, str] | None = None  # status and reason; nothing after it is read
        self.closing = False
        self.handler_task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection, or aborts it if the server has too many."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's do not subclass it
        self.peer = str(transport.get_extra_info("peername"))
        if len(self.server.connections) >= self.limits.connections:
            self.drop()
            self.server.report_error(self.peer, 503, "too many connections")
            return
        self.server.connections.add(self)
        self.set_timeout(self.limits.idle_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Frees the connection's share of the budget and notifies the request being handled."""
        self.closing = True
        self.server.connections.discard(self)
        self.update_counts(0, 0)
        self.server.body_budget.body_done(self)
        self.set_timeout(None)
        if self.request is not None:
            self.request.disconnected.set()

    def update_counts(self, receiving_bytes: int, answering_bytes: int) -> None:
        """Updates the server's budget with the body bytes received here and those being handled."""
        self.server.body_budget.buffered_bytes += (
            receiving_bytes + answering_bytes - self.receiving_bytes - self.answering_bytes
        )
        self.server.body_budget.answering_bytes += answering_bytes - self.answering_bytes
        self.receiving_bytes, self.answering_bytes = receiving_bytes, answering_bytes

    def queued_bytes(self) -> int:
        """Returns the body bytes received that were not passed to the handler yet."""
        return sum(len(message.body) for message in self.reader.queue)

    def set_timeout(self, timeout_ms: float | None) -> None:
        """Sets the timeout of the current state; None cancels it."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = (
            self.loop.call_later(timeout_ms / 1000.0, self.on_timeout) if timeout_ms is not None else None
        )

    def on_timeout(self) -> None:
        """Rejects an unfinished request with status 408, or closes an idle or closing connection."""
        if self.reader.queue and self.request is None and not self.closing:
            self.reject(408, "request not finished in time")
        else:
            self.drop()

    def drop(self) -> None:
        """Aborts the connection."""
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection if no request has begun."""
        if not self.reader.queue and self.request is None and self.transport is not None:
            self.closing = True
            self.transport.close()

    def pause_reading(self) -> None:
        """Pauses reading from the socket."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Resumes reading from the socket."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parses requests; pipelined ones wait until the current one has its response."""
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
        keep_alive = keep_alive and not response.close and not self.server.draining
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

    def write(self, response: Response, keep_alive: bool, omit_body: bool = False) -> None:
        """Writes a response."""
        assert self.transport is not None
        self.transport.write(encode_response(response, keep_alive, omit_body))

    def close_after_write(self) -> None:
        """Closes once all is written, at the latest after the write timeout."""
        self.closing = True
        if self.transport is not None:
            self.transport.close()
        self.set_timeout(self.limits.write_ms)

    def pause_writing(self) -> None:
        """Starts the write timeout: the peer does not read fast enough."""
        self.set_timeout(self.limits.write_ms)

    def resume_writing(self) -> None:
        """Ends the write timeout."""
        if not self.closing:
            self.set_timeout(None if self.request is not None else self.limits.idle_ms)

    def reject(self, status: int, reason: str) -> None:
        """Responds to a bad request and closes: the start of the next request cannot be known reliably."""
        self.server.report_error(self.peer, status, reason)
        if self.transport is None or self.transport.is_closing():
            return
        self.write(Response(status, body=(reason + "\n").encode("latin-1", "replace")), keep_alive=False)
        self.close_after_write()
