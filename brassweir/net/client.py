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
from brassweir.net.parse import Answers, Incoming, TooLarge
from brassweir.net.pool import ConnectionPool

__all__ = ["Address", "CallFailed", "HttpPool", "Reply", "Stage"]


@dataclass(slots=True)
class Reply:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes
    reused: bool = False  # the connection had carried calls before


SETTLED = 0.03  # seconds that the rest of an answer has, once its first line has settled the call


class HttpPool(ConnectionPool):
    """Connections to one endpoint over HTTP.

    ``settling`` holds the statuses whose line alone is the answer, for peers that say so: whatever follows
    it, and however spoilt, the call ends with that status, and with such fields as came whole.
    """

    settling: frozenset[int] = frozenset()

    def new_connection(self, loop: asyncio.AbstractEventLoop) -> Connection:
        """An HTTP connection."""
        return _Connection(self, loop)

    async def post(
        self,
        headers: Headers,
        body: bytes,
        deadline: float,
        begin: float | None = None,
        go: Callable[[], bool] = lambda: True,
        hold: float = 0.0,
    ) -> Reply:
        """Make one call, begun by ``begin`` if ``go`` still says so, and over by ``deadline`` (loop time,
        seconds). Raises CallFailed.

        For ``hold`` seconds the last byte is held back. A peer that has closed the connection, or resets it
        as the request comes, shows it in that time, and cannot have run what it never had whole. Whatever it
        says in that time belongs to an earlier call, and ends the connection. Then ``go`` is asked once more:
        a call begins with its last byte, and the loop may have stood still meanwhile.
        """
        async with self.acquire(deadline, begin, go) as connection:
            assert isinstance(connection, _Connection)
            return await connection.call(self._head(headers, len(body)) + body, deadline, hold, go)

    def _head(self, headers: Headers, length: int) -> bytes:
        at = self.address
        full = Headers([("Host", at.host if at.port in (80, 443) else f"{at.host}:{at.port}")])
        for name, value in headers:
            full.add(name, value)
        full.add("Content-Length", str(length))
        return full.head(f"POST {at.target} HTTP/1.1")


class _Connection(Connection):
    """One HTTP connection."""

    def __init__(self, pool: HttpPool, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(pool, loop)
        self.feed = Answers(pool.limits)
        self.feed.parser = httptools.HttpResponseParser(self.feed)
        self.answer: asyncio.Future[Reply] | None = None
        self.settling = pool.settling
        self.settler: asyncio.TimerHandle | None = None
        self.reused = False  # it has carried a call before
        self.holder: asyncio.Handle | None = None  # of a last byte held back

    def eof_received(self) -> bool:
        """The peer sends no more: an answer without length ends here (RFC 9112, section 6.3, rule 8)."""
        self.usable = False
        queue = self.feed.queue
        if self.answer is not None and queue and queue[0].head_done:
            headers = queue[0].headers
            if not headers.all("content-length") and not headers.all("transfer-encoding"):
                queue[0].done = True
                self.finish()
        return False

    async def call(self, data: bytes, deadline: float, hold: float, go: Callable[[], bool]) -> Reply:
        """Write a request and wait for its answer."""
        assert self.transport is not None
        if self.transport.is_closing():
            raise CallFailed(
                Stage.CONNECT, "connection closed before anything was written", reused=self.reused
            )
        answer: asyncio.Future[Reply] = self.loop.create_future()
        self.answer = answer
        self.stage = Stage.CONNECT if hold else Stage.SENT
        self.transport.write(data[:-1] if hold else data)
        if hold:
            self.holder = self.loop.call_later(hold, self._whole, data[-1:], deadline, go)
        try:
            async with asyncio.timeout_at(deadline):
                return await answer
        except TimeoutError:
            return self._overdue(answer)
        except asyncio.CancelledError:
            self.drop()
            raise
        finally:
            if self.holder is not None:
                self.holder.cancel()
                self.holder = None
            self.answer, self.reused = None, True
            if not answer.cancelled() and answer.done():
                answer.exception()  # nobody may be left to ask for it
            if self.settler is not None:
                self.settler.cancel()
                self.settler = None

    def _whole(self, last: bytes, deadline: float, go: Callable[[], bool], turns: int = 2) -> None:
        """The last byte goes out, if there is time and the connection still stands and has said nothing.

        Timers may come before the sockets in a turn, and the loop may have stood still: they are read first.
        """
        assert self.transport is not None
        if turns:
            self.holder = self.loop.call_soon(self._whole, last, deadline, go, turns - 1)
        elif self.loop.time() < deadline and self.usable and not self.transport.is_closing():
            if go():
                self.stage = Stage.SENT
                self.transport.write(last)
            else:
                self.fail(CallFailed(Stage.CONNECT, "it may not begin any more", timed_out=True))
                self.drop()

    def _overdue(self, answer: asyncio.Future[Reply]) -> Reply:
        """What a call has come to as its time runs out: what was read up to that very turn counts."""
        if answer.done() and not answer.cancelled():
            return answer.result()
        self.drop()
        reply = self.settled()
        if reply is None:
            raise CallFailed(self.stage, "no whole answer in time", timed_out=True)
        return reply

    def fail(self, error: CallFailed) -> None:
        """End the call in work, if there is one."""
        self.usable = False
        if self.settling and self.settle():
            return
        if self.answer is not None and not self.answer.done():
            error.reused = self.reused
            self.answer.set_exception(error)

    def data_received(self, data: bytes) -> None:
        """Parse on; bytes that no call waits for end the connection."""
        if self.answer is None or self.answer.done():
            self.drop()
            return
        if self.stage is Stage.CONNECT:
            self.fail(CallFailed(Stage.CONNECT, "bytes came before the call was whole"))
            self.drop()
            return
        try:
            self.feed.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            queue = self.passed_over()
            if queue and queue[0].done:  # a whole answer, with noise behind it
                self.usable = False
                self.finish()
            else:
                self.fail(CallFailed(Stage.GARBLED, f"answer is no HTTP: {error}"))
            self.drop()
            return
        except TooLarge as error:
            self.fail(CallFailed(Stage.GARBLED, str(error)))
            self.drop()
            return
        queue = self.passed_over()
        if queue:
            self.stage = Stage.BODY if queue[0].head_done else Stage.HEAD
        if queue and queue[0].done:
            self.finish()
        elif self.settling and self.settler is None and self.settled() is not None:
            self.settler = self.loop.call_later(SETTLED, self._late)

    def passed_over(self) -> deque[Incoming]:
        """What has come, without whole interim answers (RFC 9110, section 15.2)."""
        queue = self.feed.queue
        while queue and queue[0].done and queue[0].status < 200:
            queue.popleft()
            self.stage = Stage.SENT
        return queue

    def _late(self) -> None:
        """The first line settled it and the rest did not come: the connection is of no further use."""
        if self.settle():
            self.drop()

    def settled(self) -> Reply | None:
        """What the status line alone says, if it is whole and that is enough."""
        queue = self.passed_over()
        if not queue or not queue[0].line or queue[0].status not in self.settling:
            return None
        return Reply(queue[0].status, queue[0].headers, b"", self.reused)

    def settle(self) -> bool:
        """End the call by its status line, if that is enough."""
        reply = self.settled()
        if self.answer is None or self.answer.done() or reply is None:
            return False
        self.usable = False
        self.answer.set_result(reply)
        return True

    def finish(self) -> None:
        """Give the whole answer to the call."""
        incoming = self.feed.queue.popleft()
        self.usable = self.usable and incoming.keep and not self.feed.queue
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(
                Reply(incoming.status, incoming.headers, bytes(incoming.body), self.reused)
            )
