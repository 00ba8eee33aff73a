"""One sender: its parts, their start, the drain and the end."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import TYPE_CHECKING, Any

from brassweir import interface as api
from brassweir.config.load import ConfigError
from brassweir.config.model import Config
from brassweir.core.clock import LoopClock
from brassweir.core.engine import Engine
from brassweir.core.ledger import Waiter
from brassweir.core.offload import Offload
from brassweir.core.ports import Carrier, Submission
from brassweir.destinations.budget import ConnectionBudget
from brassweir.destinations.setup_queue import SetupQueue
from brassweir.net.pool_manager import PoolManager
from brassweir.net.server import Server
from brassweir.observe.metrics import Metrics
from brassweir.service.as2_connector import As2Connector
from brassweir.service.connector import Connector, ConnectorContext
from brassweir.service.forward_connector import ForwardConnector
from brassweir.service.journaling import JournalUnusable, ProcessJournal
from brassweir.service.listfile import ListFile
from brassweir.service.observer import Observer
from brassweir.service.open_file_limit import raise_soft_limit
from brassweir.service.ownership_factory import create_ownership
from brassweir.service.recovery import journal_settings, recover
from brassweir.service.runtime import freeze_heap, measure_stalls
from brassweir.service.sender_operations import SenderOperations
from brassweir.service.webhook_connector import WebhookConnector
from brassweir.service.wiring import limits, settings

if TYPE_CHECKING:
    from brassweir.service.peer_group import PeerGroup
    from brassweir.service.versionedlist import VersionedList

_ANSWERS = 0.2  # share of the drain's grace kept for answers to be written and receipts to be brought


class SenderProcess:
    """A running sender. Made inside the loop that it will run on."""

    def __init__(self, config: Config, base: Path, log: Any) -> None:
        """Wire everything together; paths count from ``base``. Raises ConfigError."""
        loop = asyncio.get_running_loop()
        sender = config.sender
        self.config, self.log = config, log.bind(sender=sender.name)
        raise_soft_limit(config)
        given = settings(config)
        classes = {cls.name: cls for cls in given.classes}
        self.clock = LoopClock(loop)
        self.metrics = Metrics()
        self.observer = Observer(self.log, self.metrics, self.clock, self._kind)
        bounds = limits(config)
        self.pools = PoolManager(
            bounds,
            sender.connections_per_endpoint,
            sender.idle_close_ms,
            sender.connect_timeout_ms,
            ConnectionBudget(sender.connections),
            SetupQueue(sender.setups),
        )
        self.offload = Offload(sender.crypto_threads)
        note = self.observer.note
        self.endpoints = self._endpoints(base)
        parts = ConnectorContext(
            config,
            base,
            classes,
            self.endpoints,
            self.pools,
            self.offload,
            bounds,
            self.metrics,
            note,
            self._complain,
            self._told,
        )
        self.as2 = As2Connector(parts) if config.identity is not None else None
        self.forward = ForwardConnector(parts)
        self.connectors: list[Connector] = [WebhookConnector(parts), self.forward]
        if self.as2 is not None:
            self.connectors.append(self.as2)
        self.carriers: dict[str, Carrier] = {}
        for connector in self.connectors:
            self.carriers.update(connector.carriers)
        self.journal_failure: asyncio.Future[BaseException] = loop.create_future()
        self.journal = self._journal(base, classes) if sender.journaled else None
        seed = sender.seed if sender.seed is not None else random.SystemRandom().getrandbits(48)
        self.engine = Engine(
            given,
            seed,
            self.clock,
            lambda info: self.carriers[info.kind],
            store=self.journal.store if self.journal is not None else None,
            observer=self.observer,
            retention_ms=sender.remember_ms,
            max_ended=sender.remember_most,
        )
        self.region = create_ownership(config, base, classes, self.metrics, note)
        if self.region is not None:
            self.engine.admission_check = self.region.admits
        for connector in self.connectors:
            connector.create_front(self.engine)
        self.peer_group = self._together(base)
        states = self.peer_group.states if self.peer_group is not None else {}
        self.waiting_for_list = False  # for a first endpoint list
        self.starting = "starting" if config.endpoints_in_log else ""
        plain = SenderOperations(
            self.engine, self.endpoints.numbers, self.metrics, self.clock, states, lambda: self.starting
        )
        self.operations_server = Server(plain.answer, bounds, self._complain)
        self.tasks: list[asyncio.Task[None]] = []
        self.metrics_port = 0

    def _journal(self, base: Path, classes: dict[str, api.MessageClass]) -> ProcessJournal:
        keeping = journal_settings(self.config.sender, base, classes)
        try:
            return ProcessJournal(keeping, self.endpoints.numbers.name, self._broken, self.observer.note)
        except JournalUnusable as error:
            raise ConfigError([str(error)]) from None

    def _together(self, base: Path) -> PeerGroup | None:
        if self.config.peers is None:
            return None
        from brassweir.service.peer_group import PeerGroup  # other processes never load it

        versions = self.endpoints if not isinstance(self.endpoints, ListFile) else None
        return PeerGroup(self.config, base, self.region, self.metrics, self.observer.note, versions)

    def _endpoints(self, base: Path) -> ListFile | VersionedList:
        if not self.config.endpoints_in_log:
            return ListFile(base / self.config.endpoints, self.config, self._news, self.observer.note)
        from brassweir.service.versionedlist import VersionedList  # other processes never load it

        return VersionedList(self.config, self._news, self.observer.note)

    @property
    def port(self) -> int:
        """Where AS2 clients come."""
        return self.as2.port if self.as2 is not None else 0

    def _kind(self, endpoint: str) -> str:
        info = self.engine.endpoints.get(endpoint)
        return info.kind if info is not None else ""

    def _news(self, news: api.ListUpdate) -> None:
        self.engine.update_list(news)

    def _told(self, message: int) -> None:
        if self.journal is not None:
            self.journal.store.receipt_delivered(message)

    def _broken(self, error: BaseException) -> None:
        """The journal's disk can no longer be trusted: nothing may be answered or sent as if it could."""
        self.log.error("journal_broken", error=str(error))
        for connector in self.connectors:
            connector.abort()
        if not self.journal_failure.done():
            self.journal_failure.set_result(error)

    def _owing(self, message: int, submission: Submission) -> Waiter | None:
        """The connector that took a message knows who waits for it."""
        waiters = (connector.restored_waiter(message, submission) for connector in self.connectors)
        return next((waiter for waiter in waiters if waiter), None)

    def _complain(self, peer: str, status: int, reason: str) -> None:
        self.observer.note("bad_request", {"peer": peer, "status": status, "reason": reason})

    async def start(self) -> None:
        """Take in the list, then listen. Raises ConfigError and OSError."""
        if self.region is not None:
            self.region.look()
            self.region.part_changed()
            self.endpoints.scale = self.region.part
        said: dict[str, object] = {}
        first = self.config.endpoints_in_log  # then the log is what the list comes from
        if first:
            said.update(await self._take_part())
        self.waiting_for_list = True
        await self.endpoints.open()
        self.waiting_for_list = False
        if self.journal is not None:
            await recover(self.journal, self.endpoints.numbers, self.engine, self._owing, self.log)
        for connector in self.connectors:
            said.update(await connector.start())
        if not first:
            said.update(await self._take_part())
        freeze_heap()
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.endpoints.watch()),
            loop.create_task(measure_stalls(self.metrics.loop_stall)),
        ]
        if self.region is not None:
            self.tasks.append(loop.create_task(self.region.watch(self.endpoints.again)))
        self.starting = ""
        self.log.info("started", metrics_port=self.metrics_port, **said)

    async def _take_part(self) -> dict[str, object]:
        """Show operators what there is, and take part in what copies share."""
        if self.config.sender.metrics:
            host, _, port = self.config.sender.metrics.rpartition(":")
            self.metrics_port = await self.operations_server.listen(host, int(port))
        return await self.peer_group.start() if self.peer_group is not None else {}

    async def drain(self) -> None:
        """Take nothing new, let open work end, answer what is left, and close: all within the grace."""
        loop = asyncio.get_running_loop()
        grace = self.config.sender.drain_grace_ms / 1000.0
        end = loop.time() + grace
        self.engine.stop_accepting()
        for connector in self.connectors:
            connector.stop_accepting()
        if self.peer_group is not None:
            self.peer_group.hand_over()
        self.log.info("draining", open=len(self.engine.ledger.open_messages()), grace_ms=round(grace * 1000))
        # Partners bring receipts to our own address: it stays open until nothing waits for one.
        while self.engine.ledger.open_messages() and loop.time() < end - _ANSWERS * grace:
            await asyncio.sleep(0.02)
        cut = self.engine.close()
        await asyncio.sleep(0.02)  # answers reach their waiters in the next turns
        for connector in self.connectors:
            connector.drain()
        for connector in self.connectors:
            await connector.flush(max(0.0, end - loop.time() - 0.1))
        while (left := sum(connector.connections for connector in self.connectors)) and loop.time() < end:
            await asyncio.sleep(0.02)
        self.log.info("stopped", answered_at_the_end=cut, connections_left=left)
        if self.peer_group is not None:
            await self.peer_group.stop()
        self.stop()

    def stop(self) -> None:
        """End everything at once."""
        for task in self.tasks:
            task.cancel()
        for connector in self.connectors:
            connector.abort()
        self.operations_server.abort()
        if self.peer_group is not None:
            self.peer_group.abort()
        self.pools.close_all_idle()
        self.offload.close()
        if self.journal is not None:
            self.journal.close()
