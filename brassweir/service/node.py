"""Runs one sender on the platform. Imports only what it needs, for a small memory and a short start."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Mapping
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any

import msgspec

from brassweir import interface as api
from brassweir.core.clock import LoopClock
from brassweir.core.engine import Engine
from brassweir.core.ledger import Waiter
from brassweir.core.ports import Answer, FinalAnswer, Submission
from brassweir.destinations.budget import ConnectionBudget
from brassweir.destinations.setup_queue import SetupQueue
from brassweir.journal import sizes
from brassweir.journal.records import Taken
from brassweir.journal.recover import end_keyless_messages
from brassweir.journal.restart import apply_plan
from brassweir.net.limits import Limits
from brassweir.net.pool_manager import PoolManager
from brassweir.relay.carrier import CONCLUSIVE_STATUSES, RelayCarrier
from brassweir.relay.notices import NoticeSender, build_notice
from brassweir.relay.settings import NodeConfig, NodeConfigError
from brassweir.resp.admission import Admission
from brassweir.resp.front import Front
from brassweir.resp.input_budget import InputBudget
from brassweir.service.journaling import JournalSettings, ProcessJournal
from brassweir.service.node_list import NodeList
from brassweir.service.node_stats import process_usage, sender_status
from brassweir.service.node_trace import TracingObserver
from brassweir.service.saved_list import SavedList

# For ended messages: each submission has a new id, so that only late duplicates repeat one.
RETENTION_MS = 3000.0
MAX_ENDED_MESSAGES = 4000  # remembered
SERVE_SECONDS = 3.3  # after SIGTERM; the platform kills 3.7 s after it at the earliest
CLOSE_TIMEOUT_SECONDS = 0.25  # to answer the commands read, and for clients to close
CLIENT_SHARE = 0.6  # of the descriptors; a third at most for clients that have submitted messages
RESERVED_DESCRIPTORS = 24  # for journal, endpoint list, notices, log and event loop
INPUT_SHARE = 0.06  # of the memory, for client input that was not processed yet
IDLE_CLOSE_SHARE = 0.85  # of the endpoints' idle timeout: closes connections before the endpoint does
NOTICE_CONNECTIONS = 2  # out of the reserved descriptors, so that hanging calls cannot delay notices
MAX_CONNECTION_SETUPS = 64  # at the same time
STATUS_INTERVAL_SECONDS = 1.0  # between status lines in the log
GC_THRESHOLDS = (5_000, 10, 1000)  # as in ``serve``: reference counting frees nearly everything
RESPONSE_LIMITS = Limits(head_bytes=16_384, max_headers=64, body_bytes=65_536)


def _destination_number(destination: str) -> int | None:
    """Parse a destination's number; None if another kind of sender wrote the record."""
    return int(destination) if destination.isascii() and destination.isdigit() else None


def _upgraded(taken: Taken, classes: Mapping[str, api.MessageClass]) -> Taken:
    """Move the key of a record older than format 2 to ``subject``, where the idempotency key is now.

    Without its idempotency key a message of a keyed class could take effect twice.
    """
    cls = classes.get(taken.class_name)
    if taken.subject or cls is None or (cls.in_order and cls.effect is not api.Effect.KEYED):
        return taken
    return msgspec.structs.replace(taken, key="", subject=taken.key)


class NodeProcess:
    """A running sender. Must be created inside the event loop that it will run on."""

    def __init__(self, config: NodeConfig, state: Path, log: Any) -> None:
        """Create all parts. Raises NodeConfigError, and JournalUnusable if the journal cannot be opened."""
        loop = asyncio.get_running_loop()
        self.config, self.log, self.loop = config, log, loop
        settings = config.settings
        self.classes = classes = {cls.name: cls for cls in settings.classes}
        self.clock = LoopClock(loop)
        self.observer = TracingObserver(log, lambda: self.list.describe())
        sockets = config.limits.sockets
        max_calls = max(8, int(sockets * (1.0 - CLIENT_SHARE)) - RESERVED_DESCRIPTORS)
        self.pools = PoolManager(
            RESPONSE_LIMITS,
            max_calls,
            IDLE_CLOSE_SHARE * settings.idle_close or 4000.0,
            settings.connect_timeout,
            ConnectionBudget(max_calls),
            SetupQueue(MAX_CONNECTION_SETUPS),
            CONCLUSIVE_STATUSES,
        )
        self.journal_failure: asyncio.Future[BaseException] = loop.create_future()
        try:
            journal_sizes = sizes.limits_within(int(config.limits.disk_mb * 1024 * 1024))
        except ValueError as error:
            raise NodeConfigError(f"limits: disk_mb: {error}") from None
        journal_setup = JournalSettings(
            state, config.name, classes, RETENTION_MS, settings.order_pause, journal_sizes, synced=False
        )
        self.journal = ProcessJournal(journal_setup, str, self._on_journal_failure, self.note)
        self.engine = Engine(
            settings,
            config.seed,
            self.clock,
            lambda _: self.carrier,
            store=self.journal.store,
            observer=self.observer,
            retention_ms=RETENTION_MS,
            max_ended=MAX_ENDED_MESSAGES,
        )
        reserved = PoolManager(
            RESPONSE_LIMITS,
            NOTICE_CONNECTIONS,
            self.pools.idle_ms,
            settings.connect_timeout,
            ConnectionBudget(NOTICE_CONNECTIONS),
        )
        self.notices = NoticeSender(
            reserved, config.discovery, self.journal.store.receipt_delivered, self.note
        )
        saved_list = SavedList(state, int(config.limits.disk_mb * 1024 * 1024))
        self.list = NodeList(self.engine, self.clock, config, saved_list, log, self.note)
        self.carrier = RelayCarrier(self.list.endpoints, self.pools, self.clock, self.note)
        max_clients = int(sockets * CLIENT_SHARE)
        self.front = Front(
            self.engine,
            Admission(max_clients, sockets // 3),
            InputBudget(config.limits.memory_mb * 2**20 * INPUT_SHARE, max_clients),
            self.list.endpoints.knows_destination,
            lambda record: self._answer_callback(record.id, record.submission),
            self.journal.store.receipt_delivered,
            self.note,
        )
        self.status_timer: asyncio.TimerHandle | None = None

    def note(self, event: str, details: Mapping[str, object]) -> None:
        """Log an event as a warning."""
        self.log.warning(event, **details)

    def _on_journal_failure(self, error: BaseException) -> None:
        self.log.error("journal_broken", error=str(error))
        if not self.journal_failure.done():
            self.journal_failure.set_result(error)

    def _answer_callback(self, message: int, submission: Submission) -> Waiter:
        """Return the callback for a final answer: a notice to the platform, unless it is a delivery."""

        def on_answer(answer: FinalAnswer) -> None:
            if answer.answer is Answer.DELIVERED:
                self.journal.store.receipt_delivered(message)
            else:
                self.notices.add(message, build_notice(submission.identity, answer))

        return on_answer

    def _recover(self) -> None:
        """Restore the open messages and pending notices of the previous process from the journal."""
        plan = self.journal.plan(_destination_number)
        plan.resumed = [replace(entry, taken=_upgraded(entry.taken, self.classes)) for entry in plan.resumed]
        end_keyless_messages(plan, self.classes, self.journal.clock.now())
        found = self.journal.scan
        self.log.info(
            "recovered",
            again=len(plan.resumed),
            answered=len(plan.answered),
            dropped=plan.dropped,
            owed=sum(entry.receipt_pending for entry in plan.answered),
            records=found.records,
            bytes=found.size,
            torn_bytes=found.torn_bytes,
            holes=len(found.holes),
        )
        apply_plan(plan, self.engine, self.journal.store, _destination_number, self._answer_callback)

    async def start(self) -> None:
        """Load the known list, recover from the journal, start the watch, then listen. Raises OSError."""
        self.list.start(self.config.known)
        self._recover()
        self.list.discovery.start()
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        host, _, port = self.config.listen.rpartition(":")
        await self.front.listen(host, int(port))
        self._log_status(self.loop.time())
        self.log.info(
            "started",
            listen=self.config.listen,
            endpoints=len(self.list.endpoints.known),
            slots=self.config.settings.slots,
            max_open=self.config.settings.max_open,
            cores=self.config.limits.cores,
            memory_mb=self.config.limits.memory_mb,
            sockets=self.config.limits.sockets,
            **process_usage(),
        )

    def _log_status(self, scheduled_at: float) -> None:
        delay = max(0.0, self.loop.time() - scheduled_at)
        self.list.retry_save()
        front = self.front
        self.log.info(
            "belief",
            late_ms=round(delay * 1000.0),
            **sender_status(self.engine.sender, self.clock.now()),
            **self.observer.take(),
            **asdict(front.counts),
            clients=len(front.connections),
            calls=self.pools.budget.open,
            **self.pools.histories.counts.log_fields(),
            owed=len(self.notices.pending),
            rev=self.list.endpoints.rev,
            **self.journal.store.log_fields(),
            ledger=len(self.engine.ledger.by_id),
            **process_usage(),
        )
        scheduled_at = self.loop.time() + STATUS_INTERVAL_SECONDS
        self.status_timer = self.loop.call_at(scheduled_at, self._log_status, scheduled_at)

    def reload(self, config: NodeConfig) -> None:
        """Use the discovery address of a new configuration; its other fields are ignored."""
        self.log.info("reloaded", discovery=config.discovery)
        self.list.discovery.move(config.discovery)
        self.notices.move(config.discovery)

    async def shut_down(self, signalled_at: float) -> None:
        """Serve while there is time, answer the commands read, and close the clients.

        ``signalled_at`` is the loop time of the signal. A journal failure ends the serving at once.
        """
        self.log.info("leaving", open=self.engine.ledger.open_count)
        left = max(0.0, signalled_at + min(SERVE_SECONDS, self.config.longest_deadline) - self.loop.time())
        self.engine.announce_exit(self.clock.now() + left * 1000.0)
        await asyncio.wait([self.journal_failure], timeout=left)
        if not self.journal_failure.done():
            await self.front.close_gracefully(CLOSE_TIMEOUT_SECONDS)

    async def close_after_failure(self) -> None:
        """Fail the commands without a reply and close the clients: the journal takes no more writes."""
        await self.front.fail_unanswered(CLOSE_TIMEOUT_SECONDS)

    def stop(self) -> None:
        """Stop everything at once and close the journal."""
        if self.status_timer is not None:
            self.status_timer.cancel()
        self.list.stop()
        self.front.close()
        self.journal.close()
        self.log.info("stopped", open=self.engine.ledger.open_count, **process_usage())
