"""One watch of the endpoint list: a connection with one request, whose response stays open."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol, cast

import httptools

from brassweir.relay.endpoint_list import ListError, ObjectSplitter

SILENCE_TIMEOUT_SECONDS = 2.5  # without a complete object or empty line: the platform sends one every 2 s
# For the response head; below the 6 s within which a change must take effect.
HEAD_TIMEOUT_SECONDS = 5.5
# After a timeout, to read data that arrived in time while the loop was blocked.
FINAL_READ_SECONDS = 0.02
MAX_OBJECT_BYTES = 8 * 1024 * 1024


class WatchOwner(Protocol):
    """Receives the events of a watch."""

    def head_received(self, watch: Watch) -> None:
        """The response head has arrived, with status 200."""

    def object_started(self, watch: Watch) -> None:
        """An object has begun and is incomplete."""

    def object_received(self, watch: Watch, data: bytes) -> None:
        """A complete object or an empty line has arrived. Raises ListError, which ends the watch."""

    def watch_ended(self, watch: Watch, reason: str) -> None:
        """The watch has failed or was ended by :meth:`Watch.end`. No event follows."""


class Watch(asyncio.Protocol):
    """One connection to the discovery agent at ``address``. The ``on_*`` methods are httptools' callbacks.

    The watch ends by itself if no response head, or later no complete object or empty line, arrives in time.
    """

    def __init__(self, owner: WatchOwner, loop: asyncio.AbstractEventLoop, address: str) -> None:
        self.owner, self.loop, self.address = owner, loop, address
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpResponseParser(self)
        self.splitter = ObjectSplitter(MAX_OBJECT_BYTES)
        self.failure = ""
        self.closed = self.has_head = False
        self.opened_at = self.last_received = loop.time()
        self.timeout = HEAD_TIMEOUT_SECONDS
        self.timer: asyncio.TimerHandle | None = loop.call_later(SILENCE_TIMEOUT_SECONDS, self._check_silence)
        self.connect_task: asyncio.Task[None] | None = None

    def open(self, rev: int) -> None:
        """Connect, and request the changes after a version."""
        host, _, port = self.address.rpartition(":")
        self.connect_task = self.loop.create_task(self._connect(host, int(port), rev))

    async def _connect(self, host: str, port: int, rev: int) -> None:
        try:
            await self.loop.create_connection(lambda: self, host, port)
        except OSError as error:
            self.end(f"no connection: {error}")
            return
        if self.transport is not None and not self.closed:
            self.transport.write(
                f"GET /discovery/hosts?follow=1&since={rev} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode(
                    "ascii"
                )
            )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; abort it if the watch was closed meanwhile."""
        self.transport = cast(asyncio.Transport, transport)
        if self.closed:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the watch."""
        self.end(str(exc) if exc else "closed by the platform")

    def _check_silence(self) -> None:
        # If the loop was blocked, data may wait in the socket: leave time to read it.
        remaining = self.last_received + self.timeout - self.loop.time()
        if remaining > 0.0:
            self.timer = self.loop.call_later(remaining, self._check_silence)
        else:
            self.timer = self.loop.call_later(FINAL_READ_SECONDS, self._confirm_silence)

    def _confirm_silence(self) -> None:
        if self.loop.time() - self.last_received < self.timeout:
            self._check_silence()
        else:
            self.end("silent")

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response.

        Only a head, a complete object or an empty line resets the timeout.
        """
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.failure = self.failure or str(error)
        if self.failure:
            self.end(self.failure)

    def on_headers_complete(self) -> None:
        """Check the status, and report the response head."""
        self.last_received, self.timeout = self.loop.time(), SILENCE_TIMEOUT_SECONDS
        if int(self.parser.get_status_code()) != 200:
            self.failure = f"status {self.parser.get_status_code()}"
            return
        self.has_head = True
        self.owner.head_received(self)

    def on_body(self, chunk: bytes) -> None:
        """Report the objects and empty lines that this chunk completes."""
        if self.failure:
            return
        try:
            for data in self.splitter.feed(chunk):
                self.last_received = self.loop.time()
                self.owner.object_received(self, data)
            if self.splitter.has_partial:
                self.owner.object_started(self)
        except ListError as error:
            self.failure = str(error)

    def on_message_complete(self) -> None:
        """Treat the end of the response as a failure: a watch stays open."""
        self.failure = self.failure or "the response ended"

    def end(self, reason: str) -> None:
        """Close the connection and report the reason to the owner."""
        if not self.closed:
            self.close()
            self.owner.watch_ended(self, reason)

    def close(self) -> None:
        """Close the connection at once, without any further event."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.connect_task is not None:
            self.connect_task.cancel()  # a connection that is never established would keep its descriptor
        if self.transport is not None:
            self.transport.abort()
