"""Keeps up the watch of the endpoint list: one that is confirmed, and until there is one, requests in a row.

A watch is confirmed by its first whole object or empty line: from then on its connection tells each
change as it comes. Without one a request goes out every ``pace`` seconds, whatever became of those
before: an agent that was silent and is back is heard within that time and the way there. Those that are
not answered are left open as long as there is room, since a slow answer is one too; the oldest always
stays, until it has been silent for too long.

How late a change can be told: on an open watch, at once. A watch that fell silent costs ``SILENT`` and
``READ_FIRST``, one more that gave its head and fell silent the same again, the next request at most ``pace``:
5.14 s as a sum, and 6 s are allowed. A watch that was cut costs ``pace`` at most.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from brassweir.relay.endpoint_list import Change, read
from brassweir.relay.watch import Watch

PACE = 0.1  # seconds between two requests while none is confirmed
MOST_UNCONFIRMED = 4  # requests that are not confirmed, open at once
LEFT_AFTER = 3.0  # seconds after a move for which the old address is still heard: 4 s after it, changes count

Note = Callable[[str, dict[str, object]], None]


def _nothing() -> None:
    """Nobody asked."""


def _unheard(why: str, heard: float) -> None:
    """Nobody asked."""


@dataclass(frozen=True, slots=True)
class Hearers:
    """Who is told of what: each change, that a watch is confirmed, and that none is any more, with the reason
    and the loop time at which the last one was heard."""

    change: Callable[[Change], None]
    confirmed: Callable[[], None] = _nothing
    lost: Callable[[str, float], None] = _unheard


class Discovery:
    """Watches the list at ``address``. ``rev`` tells the version to go on from."""

    def __init__(
        self, address: str, rev: Callable[[], int], hearers: Hearers, note: Note, pace: float = PACE
    ) -> None:
        self.address, self.rev, self.hearers, self.note, self.pace = address, rev, hearers, note, pace
        self.confirmed: Watch | None = None
        self.unconfirmed: list[Watch] = []  # requests in the order in which they went out
        self.opened = self.changes = 0
        self.stopped = False
        self.failure = ""  # the last one told: a row of the same is told once
        self.next: asyncio.TimerHandle | None = None  # of the next request
        self.leaves: asyncio.TimerHandle | None = None  # of the end of the watch at the old address
        self.asked_at = float("-inf")  # loop time of the last request

    def start(self) -> None:
        """Send the first request."""
        self._open()

    def move(self, address: str) -> None:
        """The list is told elsewhere from now on. A confirmed watch is heard until one is confirmed there."""
        if self.confirmed is not None and self.confirmed.address == address == self.address:
            return
        self.address, self.failure = address, ""
        self._drop_unconfirmed()
        if self.confirmed is not None and self.leaves is None:
            self.leaves = asyncio.get_running_loop().call_later(LEFT_AFTER, self._leave)
        self._open()

    def stop(self) -> None:
        """End every watch."""
        self.stopped = True
        self._cancel_next()
        self._drop_unconfirmed()
        self._drop_confirmed()

    # ---- requests

    def _open(self) -> None:
        self._cancel_next()
        loop = asyncio.get_running_loop()
        self.opened += 1
        self.asked_at = loop.time()
        if len(self.unconfirmed) >= MOST_UNCONFIRMED:
            self.unconfirmed.pop(1).drop()
        watch = Watch(self, loop, self.address)
        self.unconfirmed.append(watch)
        watch.open(self.rev())
        self.next = loop.call_later(self.pace, self._open)

    def _open_in_turn(self) -> None:
        """Send the next request, at once if the last one is long enough ago."""
        self._cancel_next()
        loop = asyncio.get_running_loop()
        self.next = loop.call_at(max(loop.time(), self.asked_at + self.pace), self._open)

    def _cancel_next(self) -> None:
        if self.next is not None:
            self.next.cancel()
            self.next = None

    def _drop_unconfirmed(self) -> None:
        for watch in self.unconfirmed:
            watch.drop()
        self.unconfirmed.clear()

    def _drop_confirmed(self) -> None:
        if self.leaves is not None:
            self.leaves.cancel()
            self.leaves = None
        if self.confirmed is not None:
            self.confirmed.drop()
            self.confirmed = None

    def _leave(self) -> None:
        self.leaves = None
        if self.confirmed is not None:
            self.confirmed.end("its address was left")

    # ---- as the watches' owner

    def headed(self, watch: Watch) -> None:
        """An answer has begun: its first object or empty line is waited for before the next request."""
        if watch in self.unconfirmed:
            self._cancel_next()

    def partial(self, watch: Watch) -> None:
        """The rest of an object may never come: others are asked as long as it has not."""
        if watch in self.unconfirmed and self.next is None:
            self._open_in_turn()

    def whole(self, watch: Watch, data: bytes) -> None:
        """One object of a watch, or an empty line. Raises ListError."""
        if data.strip():
            self.hearers.change(read(data))
            self.changes += 1
        if watch in self.unconfirmed:
            self._confirm(watch)

    def _confirm(self, watch: Watch) -> None:
        self._cancel_next()
        self.unconfirmed.remove(watch)
        self._drop_unconfirmed()
        self._drop_confirmed()
        self.confirmed = watch
        self.failure = ""
        self.note("watch_confirmed", {"address": watch.address, "requests": self.opened, "rev": self.rev()})
        self.hearers.confirmed()

    def ended(self, watch: Watch, why: str) -> None:
        """A watch is over; another request follows."""
        if self.stopped:
            return
        if watch is self.confirmed:
            self._drop_confirmed()
            self.note("watch_ended", {"why": why, "confirmed": True})
            self.hearers.lost(why, watch.heard if why == "silent" else asyncio.get_running_loop().time())
        elif watch in self.unconfirmed:
            self.unconfirmed.remove(watch)
            if why != self.failure:
                self.failure = why
                self.note("watch_ended", {"why": why, "confirmed": False})
        if self.next is None and (self.confirmed is None or self.confirmed.address != self.address):
            self._open_in_turn()
