"""Keeps a watch of the endpoint list open and replaces one that fails.

A watch is confirmed by its first complete object or empty line. From then on it delivers each change as it
comes. While no watch is confirmed, a new request goes out every ``request_interval`` seconds without waiting
for those before, so that an agent that comes back is noticed within that time. Unanswered requests stay open,
up to ``MAX_UNCONFIRMED_WATCHES``, because their answers may only be slow. The oldest one stays open until its
timeout.

The platform allows 6 s for a change to take effect. The worst case is a confirmed watch that falls silent,
followed by one that falls silent after its response head: each takes ``SILENCE_TIMEOUT_SECONDS +
FINAL_READ_SECONDS``, and the next request up to ``request_interval``. That is 5.14 s in total.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from brassweir.relay.endpoint_list import Change, read
from brassweir.relay.watch import Watch

PACE = 0.1  # while no watch is confirmed
MOST_UNCONFIRMED = 4  # open at the same time
# For a confirmed watch at the old address after a move; from 4 s on, changes at the new address count.
LEFT_AFTER = 3.0

Note = Callable[[str, dict[str, object]], None]


def _nothing() -> None:
    """Default for ``on_confirmed``."""


def _unheard(why: str, heard: float) -> None:
    """Default for ``on_lost``."""


@dataclass(frozen=True, slots=True)
class Hearers:
    """Callbacks for each change, for a watch that is confirmed, and for the loss of the confirmed watch.

    ``on_lost`` gets the reason and the loop time (seconds) at which the agent was
    last known to be up.
    """

    change: Callable[[Change], None]
    confirmed: Callable[[], None] = _nothing
    lost: Callable[[str, float], None] = _unheard


class Discovery:
    """Watches the list at ``address``.

    ``rev`` returns the version known, from which a new watch continues.
    """

    def __init__(
        self, address: str, rev: Callable[[], int], hearers: Hearers, note: Note, pace: float = PACE
    ) -> None:
        self.address, self.rev, self.hearers, self.note, self.pace = address, rev, hearers, note, pace
        self.confirmed: Watch | None = None
        self.unconfirmed: list[Watch] = []  # in the order of their requests
        self.opened = self.changes = 0
        self.stopped = False
        self.failure = ""  # the last one logged: repetitions are not logged
        self.next: asyncio.TimerHandle | None = None
        self.leaves: asyncio.TimerHandle | None = None
        self.asked_at = float("-inf")  # loop time of the last request

    def start(self) -> None:
        """Send the first request."""
        self._open()

    def move(self, address: str) -> None:
        """Watch at another address.

        A confirmed watch stays open until one is confirmed there, or for some seconds.
        """
        if self.confirmed is not None and self.confirmed.address == address == self.address:
            return
        self.address, self.failure = address, ""
        self._drop_unconfirmed()
        if self.confirmed is not None and self.leaves is None:
            self.leaves = asyncio.get_running_loop().call_later(LEFT_AFTER, self._leave)
        self._open()

    def stop(self) -> None:
        """Close every watch."""
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
        """Schedule the next request for ``request_interval`` after the last one."""
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
            self.confirmed.end("moved to another address")

    # ---- events of the watches (WatchOwner)

    def headed(self, watch: Watch) -> None:
        """A response has begun: wait for its first object or empty line before sending another request."""
        if watch in self.unconfirmed:
            self._cancel_next()

    def partial(self, watch: Watch) -> None:
        """An object is incomplete: send other requests meanwhile, since the rest of it may never come."""
        if watch in self.unconfirmed and self.next is None:
            self._open_in_turn()

    def whole(self, watch: Watch, data: bytes) -> None:
        """Pass on a change; an object or an empty line also confirms the watch. Raises ListError."""
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
        """Report a watch that has ended, and send another request where one is needed."""
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
