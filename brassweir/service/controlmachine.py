"""A control machine: a process that is a member of the agreed log but delivers nothing."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING, Any

from brassweir.config.model import ControlConfig
from brassweir.core.clock import LoopClock
from brassweir.net.server import Server
from brassweir.observe.metrics import Metrics
from brassweir.service.observer import Observer
from brassweir.service.operations import Operations
from brassweir.service.ownership_factory import create_ownership
from brassweir.service.peer_group import PeerGroup
from brassweir.service.runtime import measure_stalls
from brassweir.service.wiring import socket_limits

if TYPE_CHECKING:
    from brassweir.service.version_follower import Follower


class ControlMachine:
    """A control machine. Must be created inside the event loop that it runs on."""

    waiting_for_list = False

    def __init__(self, config: ControlConfig, base: Path, log: Any) -> None:
        """Create all components; paths in the settings are relative to ``base``. Raises ConfigError."""
        loop = asyncio.get_running_loop()
        self.config, self.log = config, log.bind(sender=config.sender.name)
        self.metrics = Metrics()
        self.observer = Observer(self.log, self.metrics, LoopClock(loop), lambda _: "")
        self.region = create_ownership(config, base, {}, self.metrics, self.observer.note)
        self.peer_group = PeerGroup(
            config, base, self.region, self.metrics, self.observer.note, self._create_follower()
        )
        self.stopping = False
        operations = Operations(
            self.metrics, self.peer_group.states, lambda: "draining" if self.stopping else ""
        )
        self.server = Server(operations.answer, socket_limits(config), self._report_bad_request)
        self.journal_failure: asyncio.Future[BaseException] = (
            loop.create_future()
        )  # never set: there is no journal
        self.tasks: list[asyncio.Task[None]] = []

    def _create_follower(self) -> Follower | None:
        """Return a follower if the settings use versions of the endpoint list; imported only then."""
        if self.config.configuration is None:
            return None
        from brassweir.service.version_follower import PassiveFollower

        return PassiveFollower()

    def _report_bad_request(self, peer: str, status: int, reason: str) -> None:
        self.observer.note("bad_request", {"peer": peer, "status": status, "reason": reason})

    async def start(self) -> None:
        """Listen and join the peer group. Raises ConfigError and OSError."""
        fields: dict[str, object] = {"metrics_port": 0}
        if self.config.sender.metrics:
            host, _, port = self.config.sender.metrics.rpartition(":")
            fields["metrics_port"] = await self.server.listen(host, int(port))
        fields.update(await self.peer_group.start())
        self.tasks.append(asyncio.create_task(measure_stalls(self.metrics.loop_stall)))
        if self.region is not None:
            self.region.poll()
            self.tasks.append(asyncio.create_task(self.region.watch()))
        self.log.info("started", **fields)

    async def drain(self) -> None:
        """Transfer leadership of the agreed log and stop."""
        self.stopping = True
        self.peer_group.hand_over()
        await self.peer_group.stop()
        self.log.info("stopped")
        self.stop()

    def stop(self) -> None:
        """Cancel all tasks and close all connections at once."""
        for task in self.tasks:
            task.cancel()
        self.server.abort()
        self.peer_group.abort()
