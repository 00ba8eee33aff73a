"""The UDP port of one copy: drives the failure detector and dispatches other messages to their handlers.

``send`` never raises, and socket errors do not count as evidence against a copy. Times are the event loop's,
in ms.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import cast

from brassweir.peers.addresses import Addresses
from brassweir.peers.copies import Copy, Fleet, host_port
from brassweir.peers.envelope import MAX_BODY_BYTES, Dropped, EnvelopeCodec, Keys
from brassweir.peers.failure_detector import FailureDetector
from brassweir.peers.messages import (
    CopiesChanged,
    Fact,
    Leave,
    LoopDelayed,
    NewGeneration,
    Received,
    SelfStateChanged,
    Send,
    StateChanged,
    Step,
    View,
)
from brassweir.peers.tuning import DEFAULT, Tuning

RECEIVE_BUFFER_BYTES = 1 << 20  # holds what arrives while the process stands still for some seconds
LIVENESS_KIND = "live"  # of the failure detector's messages
Handler = Callable[[str, bytes], None]


class PeerPort(asyncio.DatagramProtocol):
    """Sends and receives for one copy. ``counts``: messages sent, taken and dropped, for metrics."""

    def __init__(
        self,
        own: str,
        copies: Iterable[Copy],
        keys: Sequence[bytes],
        listen: str | None = None,
        *,
        tuning: Tuning = DEFAULT,
        seed: int | None = None,
        generation: int | None = None,
    ) -> None:
        """``listen``: "host:port" to bind, if not the copy's listed address; ``generation``: this process's,
        greater than that of any earlier process of the name (default: wall clock in ms)."""
        self.fleet = Fleet(own, copies)
        self.listen = host_port(listen, "peers: listen") if listen else self.fleet.own.host_port()
        self.tuning = tuning
        self.rng = random.Random(seed)
        self.generation = generation if generation is not None else int(time.time() * 1_000)
        self.codec = EnvelopeCodec(own, self.generation, Keys(keys))
        self.counts: Counter[str] = Counter()
        self.bytes_sent = self.bytes_taken = 0
        self.handlers: dict[str, Handler] = {}
        self.unique_kinds = {LIVENESS_KIND}
        self.addresses = Addresses(self.fleet)
        self.detector: FailureDetector | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.on_change: list[Callable[[str, str], None]] = []
        self.on_self: list[Callable[[SelfStateChanged], None]] = []
        self._timer: asyncio.TimerHandle | None = None
        self._wake_at = 0.0

    # ---- for other packages

    async def start(self) -> None:
        """Open the port and begin to probe. Raises OSError if the address cannot be bound."""
        loop = self.loop = asyncio.get_running_loop()
        await self.addresses.resolve(loop)
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.listen)
        self.detector = FailureDetector(self.fleet, self.generation, self._now(), self.rng, self.tuning)
        self._step()

    async def stop(self) -> None:
        """Tell other copies that this process ends, and close the port."""
        if self.detector is not None and self.transport is not None:
            self._step([Leave()])
        if self._timer is not None:
            self._timer.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None
        await asyncio.sleep(0)

    def on(self, kind: str, handler: Handler, once: bool = True) -> None:
        """Pass messages of a kind to ``handler(sender, body)``. ``once``: drop repeated ones.

        Raises ValueError if the kind has a handler.
        """
        if kind == LIVENESS_KIND or kind in self.handlers:
            raise ValueError(f"kind {kind!r} already has a handler")
        self.handlers[kind] = handler
        if once:
            self.unique_kinds.add(kind)

    def send(self, to: str, kind: str, body: bytes) -> bool:
        """Send a message, without any promise of delivery.

        Returns False if it was not sent: receiver not listed or not resolved, body too large, port closed, or
        socket error.
        """
        address = self.addresses.by_name.get(to)
        if to not in self.fleet or to == self.fleet.own.name or len(body) > MAX_BODY_BYTES:
            self.counts["unsent_large" if len(body) > MAX_BODY_BYTES else "unsent_unknown"] += 1
            return False
        if self.transport is None or self.transport.is_closing() or address is None:
            self.counts["unsent_closed" if address is not None else "unsent_address"] += 1
            return False
        datagram = self.codec.seal(to, kind, body)
        try:
            self.transport.sendto(datagram, address)
        except (OSError, ValueError):
            self.counts["unsent_error"] += 1
            return False
        self.counts[f"sent_{kind}"] += 1
        self.bytes_sent += len(datagram)
        return True

    def reload(self, copies: Iterable[Copy], keys: Sequence[bytes] | None = None) -> None:
        """Replace the copies and, if given, the keys. Raises CopiesError or KeyFault without any change."""
        fleet = Fleet(self.fleet.own.name, copies)
        key_ring = Keys(keys) if keys is not None else self.codec.keys
        self.fleet, self.codec.keys = fleet, key_ring
        self.codec.forget_unlisted(fleet.by_name)
        self.addresses.set_fleet(fleet)
        if self.detector is not None and self.transport is not None:
            self.resolving = asyncio.ensure_future(self.addresses.resolve(self.loop))
            self._step([CopiesChanged(fleet)])

    def view(self) -> View:
        """This copy's current view; before the start all others count as alive, and it suspects itself."""
        if self.detector is None:
            return View({copy.name: "alive" for copy in self.fleet.others}, True, False, False)
        return self.detector.view()

    def counters(self) -> dict[str, int]:
        """All counts, for metrics: the port's, the failure detector's, and bytes."""
        counts = Counter(self.counts)
        counts["bytes_sent"], counts["bytes_taken"] = self.bytes_sent, self.bytes_taken
        if self.detector is not None:
            counts.update(self.detector.counts)
            counts["refuted"], counts["twins"] = self.detector.table.refuted, self.detector.table.twins
            counts["health_score"] = self.detector.health.score
        return dict(counts)

    # ---- called by the event loop

    def _now(self) -> float:
        return self.loop.time() * 1000.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The port is open: enlarge its receive buffer."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def error_received(self, exc: Exception) -> None:
        """Count an error, such as a receiver's closed port; it is no evidence against any copy."""
        self.counts["socket_errors"] += 1

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Open and dispatch one datagram. A bad one is counted and dropped; a handler's error is reported."""
        self.bytes_taken += len(data)
        try:
            envelope = self.codec.open(
                data, self.fleet.by_name, (LIVENESS_KIND, *self.handlers), self.unique_kinds
            )
        except Dropped as dropped:
            self.counts[f"dropped_{dropped.reason}"] += 1
            return
        self.counts[f"taken_{envelope.kind}"] += 1
        if envelope.kind == LIVENESS_KIND:
            if self.detector is not None:
                self._step([Received(envelope.sender, envelope.generation, envelope.body)])
            return
        try:
            self.handlers[envelope.kind](envelope.sender, envelope.body)
        except Exception as error:  # an error in a handler must not end the port
            self.counts["handler_errors"] += 1
            self.loop.call_exception_handler({"message": f"handler of {envelope.kind}", "exception": error})

    def _timer_fired(self) -> None:
        self._timer = None  # it may have fired slightly early: the event loop rounds times
        delay = self._now() - self._wake_at
        self._step([LoopDelayed(delay)] if delay >= self.tuning.loop_delay_ms else [])

    def _step(self, facts: Iterable[Fact] = ()) -> None:
        assert self.detector is not None
        for step in self.detector.step(self._now(), facts):
            self._carry_out(step)
        if self._timer is None or self.detector.due != self._wake_at or self._wake_at <= self._now():
            if self._timer is not None:
                self._timer.cancel()
            self._wake_at = self.detector.due
            self._timer = self.loop.call_at(self._wake_at / 1000.0, self._timer_fired)

    def _carry_out(self, step: Step) -> None:
        if isinstance(step, Send):
            self.send(step.to, LIVENESS_KIND, step.body)
        elif isinstance(step, NewGeneration):
            self.codec.begin_generation(step.generation)
        elif isinstance(step, StateChanged):
            for listener in self.on_change:
                listener(step.name, step.state)
        else:
            for listener_to_self in self.on_self:
                listener_to_self(step)
