"""One watch of the endpoint list: a connection with one request, whose response stays open."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol, cast

import httptools

from brassweir.relay.endpoint_list import ListError, Objects

SILENT = 2.5  # without a complete object or empty line: the platform sends one every 2 s
# For the response head; below the 6 s within which a change must take effect.
UNANSWERED = 5.5
# After a timeout, to read data that arrived in time while the loop was blocked.
READ_FIRST = 0.02
LARGEST = 8 * 1024 * 1024


class Owner(Protocol):
    """Receives the events of a watch."""

    def headed(self, watch: Watch) -> None:
        """The response head has arrived, with status 200."""

    def partial(self, watch: Watch) -> None:
        """An object has begun and is incomplete."""

    def whole(self, watch: Watch, data: bytes) -> None:
        """A complete object or an empty line has arrived. Raises ListError, which ends the watch."""

    def ended(self, watch: Watch, why: str) -> None:
        """The watch has failed or was ended by :meth:`Watch.end`. No event follows."""


class Watch(asyncio.Protocol):
    """One connection to the discovery agent at ``address``. The ``on_*`` methods are httptools' callbacks.

    The watch ends by itself if no response head, or later no complete object or empty line, arrives in time.
    """

    def __init__(self, owner: Owner, loop: asyncio.AbstractEventLoop, address: str) -> None:
        self.owner, self.loop, self.address = owner, loop, address
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpResponseParser(self)
        self.objects = Objects(LARGEST)
        self.failed = ""
        self.dropped = self.has_head = False
        self.heard, self.patience = loop.time(), UNANSWERED
        self.timer: asyncio.TimerHandle | None = loop.call_later(SILENT, self._listen)
        self.opening: asyncio.Task[None] | None = None

    def open(self, rev: int) -> None:
        """Connect, and request the changes after a version."""
        host, _, port = self.address.rpartition(":")
        self.opening = self.loop.create_task(self._connect(host, int(port), rev))

    async def _connect(self, host: str, port: int, rev: int) -> None:
        try:
            await self.loop.create_connection(lambda: self, host, port)
        except OSError as error:
            self.end(f"no connection: {error}")
            return
        if self.transport is not None and not self.dropped:
            self.transport.write(
                f"GET /discovery/hosts?follow=1&since={rev} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode(
                    "ascii"
                )
            )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; abort it if the watch was closed meanwhile."""
        self.transport = cast(asyncio.Transport, transport)
        if self.dropped:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the watch."""
        self.end(str(exc) if exc else "closed by the platform")

    def _listen(self) -> None:
        # If the loop was blocked, data may wait in the socket: leave time to read it.
        left = self.heard + self.patience - self.loop.time()
        if left > 0.0:
            self.timer = self.loop.call_later(left, self._listen)
        else:
            self.timer = self.loop.call_later(READ_FIRST, self._silent)

    def _silent(self) -> None:
        if self.loop.time() - self.heard < self.patience:
            self._listen()
        else:
            self.end("silent")

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response.

        Only a head, a complete object or an empty line resets the timeout.
        """
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.failed = self.failed or str(error)
        if self.failed:
            self.end(self.failed)

    def on_headers_complete(self) -> None:
        """Check the status, and report the response head."""
        self.heard, self.patience = self.loop.time(), SILENT
        if int(self.parser.get_status_code()) != 200:
            self.failed = f"status {self.parser.get_status_code()}"
            return
        self.has_head = True
        self.owner.headed(self)

    def on_body(self, part: bytes) -> None:
        """Report the objects and empty lines that this chunk completes."""
        if self.failed:
            return
        try:
            for data in self.objects.feed(part):
                self.heard = self.loop.time()
                self.owner.whole(self, data)
            if self.objects.partial:
                self.owner.partial(self)
        except ListError as error:
            self.failed = str(error)

    def on_message_complete(self) -> None:
        """Treat the end of the response as a failure: a watch stays open."""
        self.failed = self.failed or "the response ended"

    def end(self, why: str) -> None:
        """Close the connection and report the reason to the owner."""
        if not self.dropped:
            self.drop()
            self.owner.ended(self, why)

    def drop(self) -> None:
        """Close the connection at once, without any further event."""
        self.dropped = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.opening is not None:
            self.opening.cancel()  # a connection that is never established would keep its descriptor
        if self.transport is not None:
            self.transport.abort()
