"""One watch of the endpoint list: a connection, a request, an answer that stays open."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol, cast

import httptools

from brassweir.relay.endpoint_list import ListError, Objects

SILENT = 2.5  # seconds without a whole object or empty line: the platform sends one of them every 2 s
UNANSWERED = (
    5.5  # seconds without the answer's head: a slow one is heard within the 6 s that a change may take
)
READ_FIRST = 0.02  # seconds in which what lies in the socket is read before silence is believed
LARGEST = 8 * 1024 * 1024  # bytes of one object


class Owner(Protocol):
    """Who has opened a watch."""

    def headed(self, watch: Watch) -> None:
        """Its answer has begun."""

    def partial(self, watch: Watch) -> None:
        """An object of it has begun, and its rest has not come yet."""

    def whole(self, watch: Watch, data: bytes) -> None:
        """One object of it, or an empty line. Raises ListError."""

    def ended(self, watch: Watch, why: str) -> None:
        """It is over."""


class Watch(asyncio.Protocol):
    """One connection. httptools' callbacks are its own. ``address`` is where the list is told."""

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
        """Open it and ask for what came after a version."""
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
        """It stands."""
        self.transport = cast(asyncio.Transport, transport)
        if self.dropped:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """It is gone."""
        self.end(str(exc) if exc else "closed by the platform")

    def _listen(self) -> None:
        # The loop may have stood still itself: what lies in the socket is read before silence is believed.
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
        """Read on. Only what is whole counts as heard: its head, an object, an empty line."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.failed = self.failed or str(error)
        if self.failed:
            self.end(self.failed)

    def on_headers_complete(self) -> None:
        """The answer's head has come."""
        self.heard, self.patience = self.loop.time(), SILENT
        if int(self.parser.get_status_code()) != 200:
            self.failed = f"status {self.parser.get_status_code()}"
            return
        self.has_head = True
        self.owner.headed(self)

    def on_body(self, part: bytes) -> None:
        """Some of the list."""
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
        """A watch lasts; an answer that ends is no watch."""
        self.failed = self.failed or "the answer ended"

    def end(self, why: str) -> None:
        """It is over."""
        if not self.dropped:
            self.drop()
            self.owner.ended(self, why)

    def drop(self) -> None:
        """Close at once, and say nothing more."""
        self.dropped = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.opening is not None:
            self.opening.cancel()  # one that never comes up would hold its descriptor for ever
        if self.transport is not None:
            self.transport.abort()
