"""Keeps up the watch of the endpoint list: one open answer, objects in lines, a line every two seconds.

A watch that says nothing whole for too long is dead, whatever its connection says: another is opened, from
the last version on. What cannot be read ends the watch; the list that is known stands.

How late a change can be told, as a sum of waits: a watch that gave its head and fell silent costs ``SILENT``,
one that was not answered ``UNANSWERED`` or, each fourth, the same, all with ``READ_FIRST`` and at most
``LONGEST`` until the next. After a silent one, and one more like it (5.44 s) or two not answered (5.16 s), a
change is told within 6 s.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

import httptools

from brassweir.relay.listing import Change, ListError, Objects, read

SILENT = 2.5  # seconds without a whole object or empty line: the platform sends one of them every 2 s
UNANSWERED = 1.0  # seconds without the answer's head: whom we ask is on this machine, and answers at once
PATIENT = 4  # one of so many calls that are not answered has ``SILENT`` instead: a slow answer is heard too
READ_FIRST = 0.02  # seconds in which what lies in the socket is read before silence is believed
FIRST, LONGEST = 0.05, 0.2  # seconds until the next try, doubled up to the longest
LARGEST = 8 * 1024 * 1024  # bytes of one object

Note = Callable[[str, dict[str, object]], None]


class Discovery:
    """Watches the list at ``address``. ``take`` gets each change, ``rev`` tells the version to go on from."""

    def __init__(
        self, address: str, rev: Callable[[], int], take: Callable[[Change], None], note: Note
    ) -> None:
        self.address, self.rev, self.take, self.note = address, rev, take, note
        self.watch: _Watch | None = None
        self.wait = FIRST
        self.opened = self.changes = 0
        self.unanswered = 0  # calls since one was answered
        self.stopped = False
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Open the first watch."""
        self._open()

    def move(self, address: str) -> None:
        """The list is told elsewhere from now on."""
        self.address, self.wait, self.unanswered = address, FIRST, 0
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
        self.opened += 1
        self.unanswered += 1
        patience = UNANSWERED if self.unanswered % PATIENT else SILENT
        watch = self.watch = _Watch(self, asyncio.get_running_loop(), patience)
        host, _, port = self.address.rpartition(":")
        watch.open(host, int(port), self.rev())

    def ended(self, watch: _Watch, why: str) -> None:
        """A watch has ended; the next is opened after a while."""
        if watch is not self.watch or self.stopped:
            return
        self.watch = None
        self.note("watch_ended", {"why": why, "next_s": self.wait})
        self.timer = asyncio.get_running_loop().call_later(self.wait, self._open)
        self.wait = min(2.0 * self.wait, LONGEST)

    def whole(self, watch: _Watch, data: bytes) -> None:
        """One object of the watch, or an empty line. Raises ListError."""
        if watch is not self.watch:
            return
        if data.strip():
            self.take(read(data))
            self.changes += 1
        self.wait = FIRST


class _Watch(asyncio.Protocol):
    """One connection. httptools' callbacks are its own."""

    def __init__(self, owner: Discovery, loop: asyncio.AbstractEventLoop, patience: float) -> None:
        self.owner, self.loop = owner, loop
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpResponseParser(self)
        self.objects = Objects(LARGEST)
        self.failed = ""
        self.dropped = False
        self.heard, self.patience = loop.time(), patience
        self.timer: asyncio.TimerHandle | None = loop.call_later(patience, self._listen)
        self.opening: asyncio.Task[None] | None = None

    def open(self, host: str, port: int, rev: int) -> None:
        """Open it and ask."""
        self.opening = self.loop.create_task(self._connect(host, port, rev))

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
        self.owner.unanswered = 0
        if int(self.parser.get_status_code()) != 200:
            self.failed = f"status {self.parser.get_status_code()}"

    def on_body(self, part: bytes) -> None:
        """Some of the list."""
        if self.failed:
            return
        try:
            for data in self.objects.feed(part):
                self.heard = self.loop.time()
                self.owner.whole(self, data)
        except ListError as error:
            self.failed = str(error)

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
        if self.opening is not None:
            self.opening.cancel()  # one that never comes up would hold its descriptor for ever
        if self.transport is not None:
            self.transport.abort()
