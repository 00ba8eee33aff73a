"""Keeps a watch of the endpoint list open and replaces one that fails.

A watch is confirmed by its first complete object or empty line. From then on it delivers each change as it
comes. While no watch is confirmed, a new request goes out every ``request_interval`` seconds without waiting
for those before, so that an agent that comes back is noticed within that time. Unanswered requests stay open,
up to ``MAX_UNCONFIRMED_WATCHES``, because their answers may only be slow. The oldest one stays open until its
timeout, and the second for ``SLOW_ANSWER_SECONDS``: if the answer to one of them never ends, the other learns
the list after one answer time. Later ones give way to newer requests.

The platform allows 6 s for a change to take effect. The worst case is a confirmed watch that falls silent,
followed by one that falls silent after its response head: each takes ``SILENCE_TIMEOUT_SECONDS +
FINAL_READ_SECONDS``, and the next request up to ``request_interval``. That is 5.14 s in total.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from brassweir.relay.endpoint_list import Change, parse_change
from brassweir.relay.watch import SILENCE_TIMEOUT_SECONDS, Watch

REQUEST_INTERVAL_SECONDS = 0.1  # while no watch is confirmed
MAX_UNCONFIRMED_WATCHES = 4  # open at the same time
# In which an answer may come that began late; above the time after which the list is distrusted.
SLOW_ANSWER_SECONDS = SILENCE_TIMEOUT_SECONDS
# For a confirmed watch at the old address after a move; from 4 s on, changes at the new address count.
OLD_ADDRESS_SECONDS = 3.0

Note = Callable[[str, dict[str, object]], None]


def _ignore_confirmed() -> None:
    """Default for ``on_confirmed``."""


def _ignore_lost(reason: str, last_received: float) -> None:
    """Default for ``on_lost``."""


@dataclass(frozen=True, slots=True)
class WatchListeners:
    """Callbacks for each change, for a watch that is confirmed, and for the loss of the confirmed watch.

    ``on_lost`` gets the reason and the loop time (seconds) at which the agent was
    last known to be up.
    """

    on_change: Callable[[Change], None]
    on_confirmed: Callable[[], None] = _ignore_confirmed
    on_lost: Callable[[str, float], None] = _ignore_lost


class DiscoveryClient:
    """Watches the list at ``address``.

    ``rev`` returns the version known, from which a new watch continues.
    """

    def __init__(
        self,
        address: str,
        rev: Callable[[], int],
        listeners: WatchListeners,
        note: Note,
        request_interval: float = REQUEST_INTERVAL_SECONDS,
    ) -> None:
        self.address, self.rev, self.listeners, self.note, self.request_interval = (
            address,
            rev,
            listeners,
            note,
            request_interval,
        )
        self.confirmed_watch: Watch | None = None
        self.unconfirmed_watches: list[Watch] = []  # in the order of their requests
        self.request_count = self.changes = 0
        self.stopped = False
        self.last_failure = ""  # the last one logged: repetitions are not logged
        self.next_request: asyncio.TimerHandle | None = None
        self.old_address_timer: asyncio.TimerHandle | None = None
        self.requested_at = float("-inf")  # loop time of the last request

    def start(self) -> None:
        """Send the first request."""
        self._send_request()

    def move(self, address: str) -> None:
        """Watch at another address.

        A confirmed watch stays open until one is confirmed there, or for some seconds.
        """
        if self.confirmed_watch is not None and self.confirmed_watch.address == address == self.address:
            return
        self.address, self.last_failure = address, ""
        self._close_unconfirmed()
        if self.confirmed_watch is not None and self.old_address_timer is None:
            self.old_address_timer = asyncio.get_running_loop().call_later(
                OLD_ADDRESS_SECONDS, self._end_old_watch
            )
        self._send_request()

    def stop(self) -> None:
        """Close every watch."""
        self.stopped = True
        self._cancel_next_request()
        self._close_unconfirmed()
        self._close_confirmed()

    # ---- requests

    def _send_request(self) -> None:
        self._cancel_next_request()
        loop = asyncio.get_running_loop()
        self.request_count += 1
        self.requested_at = loop.time()
        if len(self.unconfirmed_watches) >= MAX_UNCONFIRMED_WATCHES:
            self._give_up_one_request()
        watch = Watch(self, loop, self.address)
        self.unconfirmed_watches.append(watch)
        watch.open(self.rev())
        self.next_request = loop.call_later(self.request_interval, self._send_request)

    def _give_up_one_request(self) -> None:
        """Close the second oldest request, or the third while the answer to the second may only be slow."""
        age = asyncio.get_running_loop().time() - self.unconfirmed_watches[1].opened_at
        self.unconfirmed_watches.pop(1 if age >= SLOW_ANSWER_SECONDS else 2).close()

    def _schedule_request(self) -> None:
        """Schedule the next request for ``request_interval`` after the last one."""
        self._cancel_next_request()
        loop = asyncio.get_running_loop()
        self.next_request = loop.call_at(
            max(loop.time(), self.requested_at + self.request_interval), self._send_request
        )

    def _cancel_next_request(self) -> None:
        if self.next_request is not None:
            self.next_request.cancel()
            self.next_request = None

    def _close_unconfirmed(self) -> None:
        for watch in self.unconfirmed_watches:
            watch.close()
        self.unconfirmed_watches.clear()

    def _close_confirmed(self) -> None:
        if self.old_address_timer is not None:
            self.old_address_timer.cancel()
            self.old_address_timer = None
        if self.confirmed_watch is not None:
            self.confirmed_watch.close()
            self.confirmed_watch = None

    def _end_old_watch(self) -> None:
        self.old_address_timer = None
        if self.confirmed_watch is not None:
            self.confirmed_watch.end("moved to another address")

    # ---- events of the watches (WatchOwner)

    def head_received(self, watch: Watch) -> None:
        """A response has begun: wait for its first object or empty line before sending another request."""
        if watch in self.unconfirmed_watches:
            self._cancel_next_request()

    def object_started(self, watch: Watch) -> None:
        """An object is incomplete: send other requests meanwhile, since the rest of it may never come."""
        if watch in self.unconfirmed_watches and self.next_request is None:
            self._schedule_request()

    def object_received(self, watch: Watch, data: bytes) -> None:
        """Pass on a change; an object or an empty line also confirms the watch. Raises ListError."""
        if data.strip():
            self.listeners.on_change(parse_change(data))
            self.changes += 1
        if watch in self.unconfirmed_watches:
            self._confirm(watch)

    def _confirm(self, watch: Watch) -> None:
        self._cancel_next_request()
        self.unconfirmed_watches.remove(watch)
        self._close_unconfirmed()
        self._close_confirmed()
        self.confirmed_watch = watch
        self.last_failure = ""
        self.note(
            "watch_confirmed", {"address": watch.address, "requests": self.request_count, "rev": self.rev()}
        )
        self.listeners.on_confirmed()

    def watch_ended(self, watch: Watch, reason: str) -> None:
        """Report a watch that has ended, and send another request where one is needed."""
        if self.stopped:
            return
        if watch is self.confirmed_watch:
            self._close_confirmed()
            self.note("watch_ended", {"why": reason, "confirmed": True})
            self.listeners.on_lost(
                reason, watch.last_received if reason == "silent" else asyncio.get_running_loop().time()
            )
        elif watch in self.unconfirmed_watches:
            self.unconfirmed_watches.remove(watch)
            if reason != self.last_failure:
                self.last_failure = reason
                self.note("watch_ended", {"why": reason, "confirmed": False})
        if self.next_request is None and (
            self.confirmed_watch is None or self.confirmed_watch.address != self.address
        ):
            self._schedule_request()
