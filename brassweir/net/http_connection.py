"""One HTTP/1.1 client connection, which carries one call at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count

import httptools

from brassweir.net.connection import CallFailed, Connection, ConnectionOwner, Stage
from brassweir.net.parse import IncomingMessage, ResponseReader, TooLarge
from brassweir.net.repeats import EarlierResponses, ResponseHistory
from brassweir.net.reply import Reply

GRACE_SECONDS = 0.03  # for the rest of a response whose status line is decisive

_connection_numbers = count(1)


class HttpConnection(Connection):
    """An HTTP/1.1 client connection. Its calls end early with a status of ``decisive_statuses``.

    It carries another call only if ``history`` says that the endpoint's responses differ (see repeats).
    """

    def __init__(
        self,
        owner: ConnectionOwner,
        loop: asyncio.AbstractEventLoop,
        decisive_statuses: frozenset[int],
        history: ResponseHistory,
    ) -> None:
        super().__init__(owner, loop)
        self.number = next(_connection_numbers)
        self.reader = ResponseReader(owner.limits)
        self.reader.parser = httptools.HttpResponseParser(self.reader)
        self.pending: asyncio.Future[Reply] | None = None
        self.decisive_statuses, self.history = decisive_statuses, history
        self.earlier = EarlierResponses()
        # Of a response that came during this call and equals an earlier one; 0 if there is none.
        self.skipped_status = 0
        self.grace_timer: asyncio.TimerHandle | None = None
        self.finished_calls = 0
        # Loop times of the request's last byte and of the response's first one.
        self.sent_at = self.answered_at = 0.0
        self.hold_timer: asyncio.Handle | None = None

    def eof_received(self) -> bool:
        """Completes a response without a declared length (RFC 9112, section 6.3, rule 8)."""
        self.usable = False
        queue = self.reader.queue
        if self.pending is not None and queue and queue[0].head_done:
            headers = queue[0].headers
            if not headers.all("content-length") and not headers.all("transfer-encoding"):
                queue[0].done = True
                if self.next_response() is not None:
                    self.complete_reply()
        return False

    async def call(
        self, data: bytes, deadline: float, hold_seconds: float, may_start: Callable[[], bool]
    ) -> Reply:
        """Writes a request and returns its response; see HttpPool.post. Raises CallFailed."""
        assert self.transport is not None
        if self.transport.is_closing():
            raise CallFailed(
                Stage.CONNECT, "connection closed before anything was written", reused=self.finished_calls > 0
            )
        pending: asyncio.Future[Reply] = self.loop.create_future()
        self.pending = pending
        self.stage = Stage.CONNECT if hold_seconds else Stage.SENT
        self.sent_at, self.answered_at = self.loop.time(), 0.0
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
            self.pending = None
            self.finished_calls += 1
            if self.skipped_status:
                self.history.record_doubt(self.skipped_status)
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
                self.sent_at = self.loop.time()
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
            error.reused = self.finished_calls > 0
            self.pending.set_exception(error)

    def data_received(self, data: bytes) -> None:
        """Parses a response; bytes received while no call waits for them end the connection."""
        if self.pending is None or self.pending.done():
            self.history.counts.unrequested += self.usable
            self.drop()
            return
        if self.stage is Stage.CONNECT:
            self.history.counts.unrequested += 1
            self.fail(CallFailed(Stage.CONNECT, "bytes came before the call was whole"))
            self.drop()
            return
        self.answered_at = self.answered_at or self.loop.time()
        try:
            self.reader.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            response = self.next_response()
            if response is not None and response.done:  # a complete response, followed by invalid bytes
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
        response = self.next_response()
        if response is not None:
            self.stage = Stage.BODY if response.head_done else Stage.HEAD
        if response is not None and response.done:
            self.complete_reply()
        elif self.decisive_statuses and self.grace_timer is None and self.early_reply() is not None:
            self.grace_timer = self.loop.call_later(GRACE_SECONDS, self._on_grace_expired)

    def next_response(self) -> IncomingMessage | None:
        """Returns the current call's response, perhaps incomplete, or None if no byte of it was received.

        Drops complete interim responses (RFC 9110, section 15.2) and those that equal a response to an
        earlier call. After one of the latter the connection carries no other call.
        """
        queue = self.reader.queue
        while queue and queue[0].done:
            response = queue[0]
            if response.status >= 200:
                if not self.earlier.has_equal(response):
                    break
                self.skipped_status, self.usable = response.status, False
                self.history.counts.skipped += 1
            queue.popleft()
            self.stage = Stage.SENT
        return queue[0] if queue else None

    def _on_grace_expired(self) -> None:
        """Ends the call with its decisive status; the rest of the response did not arrive."""
        if self.complete_early():
            self.drop()

    def early_reply(self) -> Reply | None:
        """Returns a reply without a body if the status line is complete and decisive, else None.

        On a kept connection the part received must also differ from the responses to earlier calls.
        """
        response = self.next_response()
        if response is None or not response.status_line_done:
            return None
        if response.status not in self.decisive_statuses:
            return None
        if self.earlier.may_continue(response):
            return None
        return self._reply(response, b"")

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
        body = bytes(incoming.body)
        distinct = self.history.record(incoming.status, body)
        self.earlier.add(incoming.status, body)
        in_step = incoming.keep_alive and not self.reader.queue
        self.usable = self.usable and in_step and distinct and not self.earlier.full
        if self.pending is not None and not self.pending.done():
            self.pending.set_result(self._reply(incoming, body))

    def _reply(self, incoming: IncomingMessage, body: bytes) -> Reply:
        self.skipped_status = 0  # another response followed, so the one skipped was a copy
        return Reply(
            incoming.status,
            incoming.headers,
            body,
            self.number,
            self.finished_calls,
            (self.answered_at - self.sent_at) * 1000.0,
        )
