"""An HTTP/1.1 server as an asyncio protocol: one request at a time per connection, all of it bounded.

Back-pressure both ways: reading stops while a request is being answered and while bodies held over all
connections are over budget; a peer that does not read what we write is cut off after a time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from email.utils import formatdate
from http import HTTPStatus
from ssl import SSLContext
from typing import cast

import httptools

from brassweir.net.headers import Headers
from brassweir.net.limits import Limits
from brassweir.net.parse import Feed, Incoming, TooLarge


@dataclass(slots=True)
class Request:
    """One whole request. ``gone`` is set once its client has dropped the connection."""

    method: str
    path: str
    headers: Headers
    body: bytes
    peer: str
    gone: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class Response:
    """What goes back; ``close`` ends the connection after it."""

    status: int
    headers: Headers = field(default_factory=Headers)
    body: bytes = b""
    close: bool = False


class Abort(Exception):
    """A handler wants the connection cut, after these bytes and no more."""

    def __init__(self, last: bytes = b"") -> None:
        super().__init__("cut by the handler")
        self.last = last


Handler = Callable[[Request], Awaitable[Response]]
Complaint = Callable[[str, int, str], None]  # peer, status, reason


class Server:
    """Listens, and holds what all its connections share."""

    def __init__(self, handler: Handler, limits: Limits, complain: Complaint = lambda *_: None) -> None:
        self.handler, self.limits, self.complain = handler, limits, complain
        self.connections: set[_Connection] = set()
        self.buffered = self.working = 0  # body bytes held: all, and those of requests being answered
        self.receiving: set[_Connection] = set()  # in the middle of a body, and reading
        self.crowded: dict[_Connection, None] = {}  # the same, stopped: oldest first
        self.listener: asyncio.Server | None = None
        self.draining = False

    async def listen(self, host: str, port: int, tls: SSLContext | None = None) -> int:
        """Start to listen and return the port; ``tls`` is the seam for a later direction."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: _Connection(self, loop), host, port, ssl=tls, backlog=1024
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

    def crowd(self, connection: _Connection) -> bool:
        """Note that a connection is in the middle of a body; true if it is to stop reading for now.

        One may always go on unless requests being answered fill the budget by themselves: else bodies that
        are each half here could wait for one another.
        """
        self.receiving.add(connection)
        alone = len(self.receiving) == 1 and self.working < self.limits.buffered
        if self.buffered < self.limits.buffered or alone:
            return False
        self.receiving.discard(connection)
        self.crowded[connection] = None
        return True

    def settle(self, connection: _Connection) -> None:
        """A connection's body is whole, answered or gone: others may read on."""
        self.receiving.discard(connection)
        self.crowded.pop(connection, None)
        while self.crowded and (self.buffered < self.limits.buffered or not self.receiving):
            if self.buffered >= self.limits.buffered and self.working >= self.limits.buffered:
                return
            oldest = next(iter(self.crowded))
            del self.crowded[oldest]
            self.receiving.add(oldest)
            oldest.resume()


class _Connection(asyncio.Protocol):
    """One client's connection. States: idle, receiving, answering, closing; one timer serves them all."""

    def __init__(self, server: Server, loop: asyncio.AbstractEventLoop) -> None:
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

    # ---- life

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has connected."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclass
        self.peer = str(transport.get_extra_info("peername"))
        if len(self.server.connections) >= self.limits.connections:
            self.drop()
            self.server.complain(self.peer, 503, "too many connections")
            return
        self.server.connections.add(self)
        self.set_timer(self.limits.idle_time)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone; a request in work learns it."""
        self.closing = True
        self.server.connections.discard(self)
        self.count(0, 0)
        self.server.settle(self)
        self.set_timer(None)
        if self.request is not None:
            self.request.gone.set()

    def count(self, partial: int, working: int) -> None:
        """Tell the server how many body bytes are held here now: received so far, and being answered."""
        self.server.buffered += partial + working - self.partial - self.working
        self.server.working += working - self.working
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

    # ---- bytes in

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
                self.set_timer(self.limits.body_time)
            if self.server.crowd(self):
                self.pause()
        elif queue and not begun:
            self.set_timer(self.limits.head_time)
        return None

    def greet(self, incoming: Incoming) -> bool:
        """Check what the head must hold, and say 100 where it is asked for (RFC 9110, section 10.1.1)."""
        headers = incoming.headers
        if incoming.version == "1.1" and len(headers.all("host")) != 1:
            self.refuse(400, "one Host field is needed")
            return False
        codings = headers.all("transfer-encoding")
        if codings and (incoming.version != "1.1" or [one.lower() for one in codings] != ["chunked"]):
            self.refuse(501, "only chunked is served as transfer coding, and only in HTTP/1.1")
            return False
        expect = headers.first("expect").lower()
        if expect and expect != "100-continue":
            self.refuse(417, "unknown expectation")
            return False
        if expect and not incoming.done and not incoming.body and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    # ---- answers out

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
        self.server.settle(self)
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
        self.server.settle(self)
        self.set_timer(self.limits.head_time if self.feed.queue else self.limits.idle_time)
        self.resume()
        self.advance(True, False)

    def write(self, response: Response, keep: bool, bare: bool = False) -> None:
        """Write one whole response."""
        assert self.transport is not None
        headers = Headers(response.headers.pairs)
        headers.add("Date", formatdate(usegmt=True))
        headers.add("Content-Length", str(len(response.body)))
        headers.add("Connection", "keep-alive" if keep else "close")
        phrase = HTTPStatus(response.status).phrase
        self.transport.write(
            headers.head(f"HTTP/1.1 {response.status} {phrase}") + (b"" if bare else response.body)
        )

    def finish(self) -> None:
        """Close once all is written; a peer that does not read it has the write time."""
        self.closing = True
        if self.transport is not None:
            self.transport.close()
        self.set_timer(self.limits.write_time)

    def pause_writing(self) -> None:
        """The peer reads slowly."""
        self.set_timer(self.limits.write_time)

    def resume_writing(self) -> None:
        """The peer has caught up."""
        if not self.closing:
            self.set_timer(None if self.request is not None else self.limits.idle_time)

    def refuse(self, status: int, reason: str) -> None:
        """Answer a bad request and close: what follows on the connection cannot be trusted."""
        self.server.complain(self.peer, status, reason)
        if self.transport is None or self.transport.is_closing():
            return
        self.write(Response(status, body=(reason + "\n").encode("latin-1", "replace")), keep=False)
        self.finish()
