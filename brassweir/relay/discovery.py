"""Keeps up the watch of the endpoint list: one open answer, an object a line, and a line every two seconds.

A watch that says nothing for too long is dead, whatever its connection says: another is opened, from the last
version on. What cannot be read ends the watch; the list that is known stands.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

import httptools

from brassweir.relay.listing import Change, ListError, read

SILENT = 2.8  # seconds without a byte: the platform sends an empty line every 2 s
FIRST, LONGEST = 0.05, 0.6  # seconds until the next try, doubled up to the longest
LARGEST = 8 * 1024 * 1024  # bytes of one object

Note = Callable[[str, dict[str, object]], None]


class Discovery:
    """Watches the list at ``address``. ``take`` gets each change, ``rev`` tells the version to go on from."""

    def __init__(self, address: str, rev: Callable[[], int], take: Callable[[Change], None],
                 note: Note) -> None:
        self.address, self.rev, self.take, self.note = address, rev, take, note
        self.watch: _Watch | None = None
        self.wait = FIRST
        self.opened = self.changes = 0
        self.stopped = False
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Open the first watch."""
        self._open()

    def move(self, address: str) -> None:
        """The list is told elsewhere from now on."""
        self.address, self.wait = address, FIRST
        self._open()

    def stop(self) -> None:
        """End the watch."""
        self.stopped = True
        self._drop()

    def _drop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.watch is not None:
            watch, self.watch = self.watch, None
            watch.drop()

    def _open(self) -> None:
        self._drop()
        loop = asyncio.get_running_loop()
        watch = self.watch = _Watch(self, loop)
        self.opened += 1
        host, _, port = self.address.rpartition(":")
        loop.create_task(watch.connect(host, int(port), self.rev()))

    def ended(self, watch: _Watch, why: str) -> None:
        """A watch has ended; the next is opened after a while."""
        if watch is not self.watch or self.stopped:
            return
        self.watch = None
        self.note("watch_ended", {"why": why, "next_s": self.wait})
        self.timer = asyncio.get_running_loop().call_later(self.wait, self._open)
        self.wait = min(2.0 * self.wait, LONGEST)

    def line(self, watch: _Watch, data: bytes) -> None:
        """One line of the watch. Raises ListError."""
        if watch is not self.watch:
            return
        if data.strip():
            self.take(read(data))
            self.changes += 1
        self.wait = FIRST


class _Watch(asyncio.Protocol):
    """One connection. httptools' callbacks are its own."""

    def __init__(self, owner: Discovery, loop: asyncio.AbstractEventLoop) -> None:
        self.owner, self.loop = owner, loop
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpResponseParser(self)
        self.rest = bytearray()
        self.failed = ""
        self.dropped = False
        self.heard = loop.time()
        self.timer: asyncio.TimerHandle | None = loop.call_later(SILENT, self._listen)

    async def connect(self, host: str, port: int, rev: int) -> None:
        """Open it and ask."""
        try:
            await self.loop.create_connection(lambda: self, host, port)
        except OSError as error:
            self.end(f"no connection: {error}")
            return
        if self.transport is not None and not self.dropped:
            self.transport.write(f"GET /discovery/hosts?follow=1&since={rev} HTTP/1.1\r\n"
                                 f"Host: {host}:{port}\r\n\r\n".encode("ascii"))

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
        left = self.heard + SILENT - self.loop.time()
        if left > 0.0:
            self.timer = self.loop.call_later(left, self._listen)
        else:
            self.timer = self.loop.call_later(0.02, self._silent)

    def _silent(self) -> None:
        if self.loop.time() - self.heard < SILENT:
            self._listen()
        else:
            self.end("silent")

    def data_received(self, data: bytes) -> None:
        """Read on."""
        self.heard = self.loop.time()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.failed = self.failed or str(error)
        if self.failed:
            self.end(self.failed)

    def on_headers_complete(self) -> None:
        """The answer's head has come."""
        if int(self.parser.get_status_code()) != 200:
            self.failed = f"status {self.parser.get_status_code()}"

    def on_body(self, part: bytes) -> None:
        """Some of the list."""
        if self.failed:
            return
        self.rest += part
        while not self.failed and (end := self.rest.find(b"\n")) >= 0:
            line = bytes(self.rest[:end])
            del self.rest[:end + 1]
            try:
                self.owner.line(self, line)
            except ListError as error:
                self.failed = str(error)
        if len(self.rest) > LARGEST:
            self.failed = f"an object over {LARGEST} bytes"

    def on_message_complete(self) -> None:
        """A watch lasts; an answer that ends is no watch."""
        self.failed = self.failed or "the answer ended"

    def end(self, why: str) -> None:
        """It is over."""
        self.drop()
        self.owner.ended(self, why)

    def drop(self) -> None:
        """Close at once, and say nothing more."""
        self.dropped = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.transport is not None:
            self.transport.abort()
