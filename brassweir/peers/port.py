"""One copy's end on the network: one UDP port, liveness stepped by the loop's time, messages handed out.

``send`` never raises, and an error of the socket is evidence of nothing. Times inside are the loop's, in ms.
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

BUFFER = 1 << 20  # bytes asked of the kernel: what comes while the process stands still for some seconds
LIVE = "live"  # the kind that liveness speaks
Handler = Callable[[str, bytes], None]


class PeerPort(asyncio.DatagramProtocol):
    """``counts``: what was sent, taken and dropped, by word, for metrics. ``listen``: "host:port" to bind."""

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
        self.fleet = Fleet(own, copies)
        self.listen = host_port(listen, "peers: listen") if listen else self.fleet.own.host_port()
        self.tuning = tuning
        self.rng = random.Random(seed)
        self.generation = generation if generation is not None else int(time.time() * 1_000)
        self.wire = EnvelopeCodec(own, self.generation, Keys(keys))
        self.counts: Counter[str] = Counter()
        self.bytes_sent = self.bytes_taken = 0
        self.handlers: dict[str, Handler] = {}
        self.once = {LIVE}
        self.addresses = Addresses(self.fleet)
        self.core: FailureDetector | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.on_change: list[Callable[[str, str], None]] = []
        self.on_self: list[Callable[[SelfStateChanged], None]] = []
        self._timer: asyncio.TimerHandle | None = None
        self._wake = 0.0

    # ---- what others use

    async def start(self) -> None:
        """Open the port and begin to probe. Raises OSError where the address cannot be bound."""
        loop = self.loop = asyncio.get_running_loop()
        await self.addresses.resolve(loop)
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.listen)
        self.core = FailureDetector(self.fleet, self.generation, self._now(), self.rng, self.tuning)
        self._step()

    async def stop(self) -> None:
        """Say that this process ends, and close."""
        if self.core is not None and self.transport is not None:
            self._step([Leave()])
        if self._timer is not None:
            self._timer.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None
        await asyncio.sleep(0)

    def on(self, kind: str, handler: Handler, once: bool = True) -> None:
        """Hand messages of a kind to ``handler(sender, body)``. ``once``: a doubled one is dropped."""
        if kind == LIVE or kind in self.handlers:
            raise ValueError(f"kind {kind!r} has its handler")
        self.handlers[kind] = handler
        if once:
            self.once.add(kind)

    def send(self, to: str, kind: str, body: bytes) -> bool:
        """Send it, or not: False for a copy that is not listed, a body too large, or a closed port."""
        address = self.addresses.of.get(to)
        if to not in self.fleet or to == self.fleet.own.name or len(body) > MAX_BODY_BYTES:
            self.counts["unsent_large" if len(body) > MAX_BODY_BYTES else "unsent_unknown"] += 1
            return False
        if self.transport is None or self.transport.is_closing() or address is None:
            self.counts["unsent_closed" if address is not None else "unsent_address"] += 1
            return False
        datagram = self.wire.seal(to, kind, body)
        try:
            self.transport.sendto(datagram, address)
        except (OSError, ValueError):
            self.counts["unsent_error"] += 1
            return False
        self.counts[f"sent_{kind}"] += 1
        self.bytes_sent += len(datagram)
        return True

    def reload(self, copies: Iterable[Copy], keys: Sequence[bytes] | None = None) -> None:
        """Go by another file, and other keys. Raises CopiesError or KeyFault; nothing has changed then."""
        fleet = Fleet(self.fleet.own.name, copies)
        ring = Keys(keys) if keys is not None else self.wire.keys
        self.fleet, self.wire.keys = fleet, ring
        self.wire.forget_unlisted(fleet.by_name)
        self.addresses.listed(fleet)
        if self.core is not None and self.transport is not None:
            self.resolving = asyncio.ensure_future(self.addresses.resolve(self.loop))
            self._step([CopiesChanged(fleet)])

    def view(self) -> View:
        """What this copy thinks of all now; before the start all count as alive."""
        if self.core is None:
            return View({copy.name: "alive" for copy in self.fleet.others}, True, False, False)
        return self.core.view()

    def counters(self) -> dict[str, int]:
        """All counts, for metrics: the port's, liveness's, and bytes."""
        counts = Counter(self.counts)
        counts["bytes_sent"], counts["bytes_taken"] = self.bytes_sent, self.bytes_taken
        if self.core is not None:
            counts.update(self.core.counts)
            counts["refuted"], counts["twins"] = self.core.table.refuted, self.core.table.twins
            counts["health_score"] = self.core.health.score
        return dict(counts)

    # ---- the loop's side

    def _now(self) -> float:
        return self.loop.time() * 1000.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The port is open."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)

    def error_received(self, exc: Exception) -> None:
        """Somebody's port was closed, or the like: counted, and evidence of nothing."""
        self.counts["socket_errors"] += 1

    def datagram_received(self, data: bytes, addr: object) -> None:
        """One datagram; whatever it holds, the process lives."""
        self.bytes_taken += len(data)
        try:
            envelope = self.wire.open(data, self.fleet.by_name, (LIVE, *self.handlers), self.once)
        except Dropped as dropped:
            self.counts[f"dropped_{dropped.reason}"] += 1
            return
        self.counts[f"taken_{envelope.kind}"] += 1
        if envelope.kind == LIVE:
            if self.core is not None:
                self._step([Received(envelope.sender, envelope.generation, envelope.body)])
            return
        try:
            self.handlers[envelope.kind](envelope.sender, envelope.body)
        except Exception as error:  # a handler's fault must not end the port
            self.counts["handler_errors"] += 1
            self.loop.call_exception_handler({"message": f"handler of {envelope.kind}", "exception": error})

    def _due(self) -> None:
        self._timer = None  # it has fired, perhaps a moment early: a loop keeps its time coarsely
        late = self._now() - self._wake
        self._step([LoopDelayed(late)] if late >= self.tuning.late else [])

    def _step(self, facts: Iterable[Fact] = ()) -> None:
        assert self.core is not None
        for step in self.core.step(self._now(), facts):
            self._do(step)
        if self._timer is None or self.core.due != self._wake or self._wake <= self._now():
            if self._timer is not None:
                self._timer.cancel()
            self._wake = self.core.due
            self._timer = self.loop.call_at(self._wake / 1000.0, self._due)

    def _do(self, step: Step) -> None:
        if isinstance(step, Send):
            self.send(step.to, LIVE, step.body)
        elif isinstance(step, NewGeneration):
            self.wire.begin_generation(step.generation)
        elif isinstance(step, StateChanged):
            for told in self.on_change:
                told(step.name, step.state)
        else:
            for heard in self.on_self:
                heard(step)
