"""One sender process: creates its components, starts, drains and stops them."""

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
from brassweir.service.wiring import engine_settings, socket_limits

if TYPE_CHECKING:
    from brassweir.service.peer_group import PeerGroup
    from brassweir.service.versionedlist import VersionedList

_FLUSH_SHARE = 0.2  # of the drain's grace, reserved for writing answers and delivering receipts


class SenderProcess:
    """A sender process. Must be created inside the event loop that it runs on."""

    def __init__(self, config: Config, base: Path, log: Any) -> None:
        """Create all components; paths in the settings are relative to ``base``. Raises ConfigError."""
        loop = asyncio.get_running_loop()
        sender = config.sender
        self.config, self.log = config, log.bind(sender=sender.name)
        raise_soft_limit(config)
        module_settings = engine_settings(config)
        classes = {cls.name: cls for cls in module_settings.classes}
        self.clock = LoopClock(loop)
        self.metrics = Metrics()
        self.observer = Observer(self.log, self.metrics, self.clock, self._endpoint_kind)
        limits = socket_limits(config)
        self.pools = PoolManager(
            limits,
            sender.connections_per_endpoint,
            sender.idle_close_ms,
            sender.connect_timeout_ms,
            ConnectionBudget(sender.connections),
            SetupQueue(sender.setups),
        )
        self.offload = Offload(sender.crypto_threads)
        note = self.observer.note
        self.endpoints = self._create_endpoint_source(base)
        context = ConnectorContext(
            config,
            base,
            classes,
            self.endpoints,
            self.pools,
            self.offload,
            limits,
            self.metrics,
            note,
            self._report_bad_request,
            self._receipt_delivered,
        )
        self.as2 = As2Connector(context) if config.identity is not None else None
        self.forward = ForwardConnector(context)
        self.connectors: list[Connector] = [WebhookConnector(context), self.forward]
        if self.as2 is not None:
            self.connectors.append(self.as2)
        self.carriers: dict[str, Carrier] = {}
        for connector in self.connectors:
            self.carriers.update(connector.carriers)
        self.journal_failure: asyncio.Future[BaseException] = loop.create_future()
        self.journal = self._open_journal(base, classes) if sender.journaled else None
        seed = sender.seed if sender.seed is not None else random.SystemRandom().getrandbits(48)
        self.engine = Engine(
            module_settings,
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
            self.engine.admission_check = self.region.check_admission
        for connector in self.connectors:
            connector.create_front(self.engine)
        self.peer_group = self._create_peer_group(base)
        states = self.peer_group.states if self.peer_group is not None else {}
        self.waiting_for_list = False
        self.starting = "starting" if config.endpoints_in_log else ""
        pages = SenderOperations(
            self.engine, self.endpoints.numbers, self.metrics, self.clock, states, lambda: self.starting
        )
        self.operations_server = Server(pages.answer, limits, self._report_bad_request)
        self.tasks: list[asyncio.Task[None]] = []
        self.metrics_port = 0

    def _open_journal(self, base: Path, classes: dict[str, api.MessageClass]) -> ProcessJournal:
        setup = journal_settings(self.config.sender, base, classes)
        try:
            return ProcessJournal(setup, self.endpoints.numbers.name, self._journal_error, self.observer.note)
        except JournalUnusable as error:
            raise ConfigError([str(error)]) from None

    def _create_peer_group(self, base: Path) -> PeerGroup | None:
        if self.config.peers is None:
            return None
        from brassweir.service.peer_group import PeerGroup  # other processes never load it

        versions = self.endpoints if not isinstance(self.endpoints, ListFile) else None
        return PeerGroup(self.config, base, self.region, self.metrics, self.observer.note, versions)

    def _create_endpoint_source(self, base: Path) -> ListFile | VersionedList:
        if not self.config.endpoints_in_log:
            return ListFile(base / self.config.endpoints, self.config, self._update_list, self.observer.note)
        from brassweir.service.versionedlist import VersionedList  # other processes never load it

        return VersionedList(self.config, self._update_list, self.observer.note)

    @property
    def port(self) -> int:
        """The port of the AS2 server; 0 without AS2."""
        return self.as2.port if self.as2 is not None else 0

    def _endpoint_kind(self, endpoint: str) -> str:
        info = self.engine.endpoints.get(endpoint)
        return info.kind if info is not None else ""

    def _update_list(self, update: api.ListUpdate) -> None:
        self.engine.update_list(update)

    def _receipt_delivered(self, message: int) -> None:
        if self.journal is not None:
            self.journal.store.receipt_delivered(message)

    def _journal_error(self, error: BaseException) -> None:
        """Close all connections once the journal fails: no unstored answer or attempt may go out."""
        self.log.error("journal_broken", error=str(error))
        for connector in self.connectors:
            connector.abort()
        if not self.journal_failure.done():
            self.journal_failure.set_result(error)

    def _restored_waiter(self, message: int, submission: Submission) -> Waiter | None:
        """The connector that took a message knows who waits for it."""
        waiters = (connector.restored_waiter(message, submission) for connector in self.connectors)
        return next((waiter for waiter in waiters if waiter), None)

    def _report_bad_request(self, peer: str, status: int, reason: str) -> None:
        self.observer.note("bad_request", {"peer": peer, "status": status, "reason": reason})

    async def start(self) -> None:
        """Load the endpoint list, recover from the journal, then listen. Raises ConfigError and OSError."""
        if self.region is not None:
            self.region.poll()
            self.region.refresh_rate_share()
            self.endpoints.scale = self.region.rate_share
        fields: dict[str, object] = {}
        list_from_log = self.config.endpoints_in_log  # the list then needs the agreed log to be running
        if list_from_log:
            fields.update(await self._start_operations())
        self.waiting_for_list = True
        await self.endpoints.open()
        self.waiting_for_list = False
        if self.journal is not None:
            await recover(self.journal, self.endpoints.numbers, self.engine, self._restored_waiter, self.log)
        for connector in self.connectors:
            fields.update(await connector.start())
        if not list_from_log:
            fields.update(await self._start_operations())
        freeze_heap()
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.endpoints.watch()),
            loop.create_task(measure_stalls(self.metrics.loop_stall)),
        ]
        if self.region is not None:
            self.tasks.append(loop.create_task(self.region.watch(self.endpoints.reapply)))
        self.starting = ""
        self.log.info("started", metrics_port=self.metrics_port, **fields)

    async def _start_operations(self) -> dict[str, object]:
        """Listen for operators and start the peer group; return fields for the log event ``started``."""
        if self.config.sender.metrics:
            host, _, port = self.config.sender.metrics.rpartition(":")
            self.metrics_port = await self.operations_server.listen(host, int(port))
        return await self.peer_group.start() if self.peer_group is not None else {}

    async def drain(self) -> None:
        """Reject new messages, wait for open ones, fail those left and close, all within the grace period."""
        loop = asyncio.get_running_loop()
        grace = self.config.sender.drain_grace_ms / 1000.0
        end = loop.time() + grace
        self.engine.stop_accepting()
        for connector in self.connectors:
            connector.stop_accepting()
        if self.peer_group is not None:
            self.peer_group.hand_over()
        self.log.info("draining", open=len(self.engine.ledger.open_messages()), grace_ms=round(grace * 1000))
        # The AS2 server stays open meanwhile, because partners post asynchronous receipts to it.
        while self.engine.ledger.open_messages() and loop.time() < end - _FLUSH_SHARE * grace:
            await asyncio.sleep(0.02)
        unfinished = self.engine.close()
        await asyncio.sleep(0.02)  # answers reach their waiters in the loop's next turns
        for connector in self.connectors:
            connector.drain()
        for connector in self.connectors:
            await connector.flush(max(0.0, end - loop.time() - 0.1))
        while (left := sum(connector.connections for connector in self.connectors)) and loop.time() < end:
            await asyncio.sleep(0.02)
        self.log.info("stopped", answered_at_the_end=unfinished, connections_left=left)
        if self.peer_group is not None:
            await self.peer_group.stop()
        self.stop()

    def stop(self) -> None:
        """Cancel all tasks and close all connections at once."""
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
