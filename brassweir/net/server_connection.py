"""One client's connection to an HTTP/1.1 server: what has come, what is being answered, which time runs."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

import httptools

from brassweir.net.body_budget import BodyBudget
from brassweir.net.limits import Limits
from brassweir.net.messages import Abort, Complaint, Handler, Request, Response, encoded, fault_of
from brassweir.net.parse import Feed, Incoming, TooLarge


class Host(Protocol):
    """The server that has accepted a connection, as the connection needs it."""

    handler: Handler
    limits: Limits
    complain: Complaint
    connections: set[ServerConnection]
    bodies: BodyBudget
    draining: bool


class ServerConnection(asyncio.Protocol):
    """One client's connection. States: idle, receiving, answering, closing; one timer serves them all."""

    def __init__(self, server: Host, loop: asyncio.AbstractEventLoop) -> None:
        self.server, self.loop, self.limits = server, loop, server.limits
        self.transport: asyncio.Transport | None = None
        self.peer = ""
        self.feed = Feed(self.limits)
        self.feed.parser = httptools.HttpRequestParser(self.feed)
        self.partial = self.working = 0  # body bytes held against the server's budget
        self.request: Request | None = None  # being answered
        self.broken: tuple[int, str] | None = None  # what came after it cannot be read
        self.closing = False
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has connected."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclass
        self.peer = str(transport.get_extra_info("peername"))
        if len(self.server.connections) >= self.limits.connections:
            self.drop()
            self.server.complain(self.peer, 503, "too many connections")
            return
        self.server.connections.add(self)
        self.set_timer(self.limits.idle_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone; a request in work learns it."""
        self.closing = True
        self.server.connections.discard(self)
        self.count(0, 0)
        self.server.bodies.settle(self)
        self.set_timer(None)
        if self.request is not None:
            self.request.gone.set()

    def count(self, partial: int, working: int) -> None:
        """Tell the server how many body bytes are held here now: received so far, and being answered."""
        self.server.bodies.buffered += partial + working - self.partial - self.working
        self.server.bodies.working += working - self.working
        self.partial, self.working = partial, working

    def queued(self) -> int:
        """Body bytes received that no handler has yet."""
        return sum(len(message.body) for message in self.feed.queue)

    def set_timer(self, span: float | None) -> None:
        """Set the time-out (ms) of the present state, or none."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(span / 1000.0, self.late) if span is not None else None

    def late(self) -> None:
        """The time of the present state is over."""
        if self.feed.queue and self.request is None and not self.closing:
            self.refuse(408, "request not finished in time")
        else:
            self.drop()

    def drop(self) -> None:
        """Close without another word."""
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def close_if_idle(self) -> None:
        """Close if no request has begun."""
        if not self.feed.queue and self.request is None and self.transport is not None:
            self.closing = True
            self.transport.close()

    def pause(self) -> None:
        """Read no more for now."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse on; a request in work holds up those sent behind it."""
        if self.closing:
            return
        begun = bool(self.feed.queue)
        headed = begun and self.feed.queue[-1].head_done
        try:
            self.feed.feed(data)
        except httptools.HttpParserUpgrade:
            self.feed.queue.pop()  # what asks for another protocol, or CONNECT, is not served
            self.broken = (400, "no upgrade is offered")
        except httptools.HttpParserError as error:
            self.broken = (400, str(error))
        except TooLarge as error:
            self.broken = (error.status, str(error))
        self.count(self.queued(), self.working)
        if self.request is not None or self.broken is not None or len(self.feed.queue) > 1:
            self.pause()
        if self.request is None:
            self.advance(begun, headed)

    def advance(self, begun: bool, headed: bool) -> None:
        """Serve the next request if it is whole, else set the time-out of what it lacks."""
        queue = self.feed.queue
        if queue and queue[0].head_done and not self.greet(queue[0]):
            return
        if queue and queue[0].done:
            return self.serve(queue.popleft())
        if self.broken is not None:
            return self.refuse(*self.broken)
        if queue and queue[0].head_done:
            if not headed:
                self.set_timer(self.limits.body_ms)
            if self.server.bodies.must_pause(self):
                self.pause()
        elif queue and not begun:
            self.set_timer(self.limits.head_ms)
        return None

    def greet(self, incoming: Incoming) -> bool:
        """Check what the head must hold, and say 100 where it is asked for (RFC 9110, section 10.1.1)."""
        fault = fault_of(incoming)
        if fault is not None:
            self.refuse(*fault)
            return False
        expect = incoming.headers.first("expect")
        if expect and not incoming.done and not incoming.body and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    def serve(self, incoming: Incoming) -> None:
        """Hand one whole request to the handler."""
        self.set_timer(None)
        self.request = Request(
            incoming.method,
            incoming.target.decode("latin-1"),
            incoming.headers,
            bytes(incoming.body),
            self.peer,
        )
        self.count(self.queued(), len(incoming.body))
        self.server.bodies.settle(self)
        self.task = self.loop.create_task(self.answer(self.request, incoming.keep))

    async def answer(self, request: Request, keep: bool) -> None:
        """Run the handler and write what it says."""
        try:
            response = await self.server.handler(request)
        except asyncio.CancelledError:
            self.drop()
            raise
        except Abort as abort:
            if abort.last and self.transport is not None and not self.transport.is_closing():
                self.transport.write(abort.last)
                self.finish()
            else:
                self.drop()
            return
        except Exception as error:  # the one place where a fault of a handler becomes an answer
            self.server.complain(self.peer, 500, f"{type(error).__name__}: {error}")
            response = Response(500, close=True)
        if self.transport is None or self.transport.is_closing():
            return
        keep = keep and not response.close and not self.server.draining
        self.write(response, keep, request.method == "HEAD")
        if not keep:
            self.finish()
            return
        self.request = None
        self.count(self.queued(), 0)
        self.server.bodies.settle(self)
        self.set_timer(self.limits.head_ms if self.feed.queue else self.limits.idle_ms)
        self.resume()
        self.advance(True, False)

    def write(self, response: Response, keep: bool, bare: bool = False) -> None:
        """Write one whole response."""
        assert self.transport is not None
        self.transport.write(encoded(response, keep, bare))

    def finish(self) -> None:
        """Close once all is written; a peer that does not read it has the write time."""
        self.closing = True
        if self.transport is not None:
            self.transport.close()
        self.set_timer(self.limits.write_ms)

    def pause_writing(self) -> None:
        """The peer reads slowly."""
        self.set_timer(self.limits.write_ms)

    def resume_writing(self) -> None:
        """The peer has caught up."""
        if not self.closing:
            self.set_timer(None if self.request is not None else self.limits.idle_ms)

    def refuse(self, status: int, reason: str) -> None:
        """Answer a bad request and close: what follows on the connection cannot be trusted."""
        self.server.complain(self.peer, status, reason)
        if self.transport is None or self.transport.is_closing():
            return
        self.write(Response(status, body=(reason + "\n").encode("latin-1", "replace")), keep=False)
        self.finish()
