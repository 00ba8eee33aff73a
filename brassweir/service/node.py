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
from brassweir.relay.carrier import SETTLING, RelayCarrier
from brassweir.relay.notices import Notices, notice
from brassweir.relay.settings import NodeConfig, NodeError
from brassweir.resp.admission import Admission
from brassweir.resp.front import Front
from brassweir.service.journaling import JournalSettings, ProcessJournal
from brassweir.service.node_list import NodeList
from brassweir.service.node_stats import belief, usage
from brassweir.service.node_trace import Tracing
from brassweir.service.saved_list import SavedList

FAILURE_MEMORY_MS = (
    3000.0  # for ended messages: each submission has a new id, so that only late duplicates repeat one
)
REMEMBER_MOST = 4000  # remembered
SERVES_ON = 3.3  # after SIGTERM; the platform kills 3.7 s after it at the earliest
ENDS_IN = 0.25  # to answer the commands read, and for clients to close
CLIENTS = 0.6  # of the descriptors; a third at most for clients that have submitted messages
KEPT_BACK = 24  # for journal, endpoint list, notices, log and event loop
UNREAD = 0.06  # of the memory, for client input that was not processed yet
IDLE = 0.85  # of the endpoints' idle timeout: closes connections before the endpoint does
NOTICES = 2  # out of the reserved descriptors, so that hanging calls cannot delay notices
SETUPS = 64  # at the same time
BELIEF = 1.0  # between status lines in the log
COLLECT = (5_000, 10, 1000)  # as in ``serve``: reference counting frees nearly everything
ANSWERS = Limits(head_bytes=16_384, max_headers=64, body_bytes=65_536)


def _number(destination: str) -> int | None:
    """Parse a destination's number; None if another kind of sender wrote the record."""
    return int(destination) if destination.isascii() and destination.isdigit() else None


def _as_now(taken: Taken, classes: Mapping[str, api.MessageClass]) -> Taken:
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
        given = config.settings
        self.classes = classes = {cls.name: cls for cls in given.classes}
        self.clock = LoopClock(loop)
        self.counts = Tracing(log, lambda: self.list.knowledge())
        sockets = config.limits.sockets
        calls = max(8, int(sockets * (1.0 - CLIENTS)) - KEPT_BACK)
        self.pools = PoolManager(
            ANSWERS,
            calls,
            IDLE * given.idle_close or 4000.0,
            given.connect_timeout,
            ConnectionBudget(calls),
            SetupQueue(SETUPS),
            SETTLING,
        )
        self.broken: asyncio.Future[BaseException] = loop.create_future()
        try:
            parts = sizes.limits_within(int(config.limits.disk_mb * 1024 * 1024))
        except ValueError as error:
            raise NodeError(f"limits: disk_mb: {error}") from None
        keeping = JournalSettings(
            state, config.name, classes, FAILURE_MEMORY_MS, given.order_pause, parts, synced=False
        )
        self.journal = ProcessJournal(keeping, str, self._broken, self.note)
        self.engine = Engine(
            given,
            config.seed,
            self.clock,
            lambda _: self.carrier,
            store=self.journal.store,
            observer=self.counts,
            retention_ms=FAILURE_MEMORY_MS,
            max_ended=REMEMBER_MOST,
        )
        apart = PoolManager(
            ANSWERS, NOTICES, self.pools.idle_ms, given.connect_timeout, ConnectionBudget(NOTICES)
        )
        self.notices = Notices(apart, config.discovery, self.journal.store.receipt_delivered, self.note)
        saved = SavedList(state, int(config.limits.disk_mb * 1024 * 1024))
        self.list = NodeList(self.engine, self.clock, config, saved, log, self.note)
        self.carrier = RelayCarrier(self.list.listing, self.pools, self.clock, self.note)
        admission = Admission(int(sockets * CLIENTS), sockets // 3, config.limits.memory_mb * 2**20 * UNREAD)
        self.front = Front(
            self.engine,
            admission,
            self.list.listing.listed,
            lambda record: self._waiter(record.id, record.submission),
            self.journal.store.receipt_delivered,
            self.note,
        )
        self.telling: asyncio.TimerHandle | None = None

    def note(self, event: str, details: Mapping[str, object]) -> None:
        """Log an event as a warning."""
        self.log.warning(event, **details)

    def _broken(self, error: BaseException) -> None:
        self.log.error("journal_broken", error=str(error))
        if not self.broken.done():
            self.broken.set_result(error)

    def _waiter(self, message: int, submission: Submission) -> Waiter:
        """Return the callback for a final answer: a notice to the platform, unless it is a delivery."""

        def tell(answer: FinalAnswer) -> None:
            if answer.answer is Answer.DELIVERED:
                self.journal.store.receipt_delivered(message)
            else:
                self.notices.owe(message, notice(submission.identity, answer))

        return tell

    def _recover(self) -> None:
        """Restore the open messages and pending notices of the previous process from the journal."""
        plan = self.journal.plan(_number)
        plan.resumed = [replace(one, taken=_as_now(one.taken, self.classes)) for one in plan.resumed]
        end_keyless_messages(plan, self.classes, self.journal.clock.now())
        found = self.journal.scan
        self.log.info(
            "recovered",
            again=len(plan.resumed),
            answered=len(plan.answered),
            dropped=plan.dropped,
            owed=sum(one.receipt_pending for one in plan.answered),
            records=found.records,
            bytes=found.size,
            torn_bytes=found.torn_bytes,
            holes=len(found.holes),
        )
        apply_plan(plan, self.engine, self.journal.store, _number, self._waiter)

    async def start(self) -> None:
        """Load the known list, recover from the journal, start the watch, then listen. Raises OSError."""
        self.list.begin(self.config.known)
        self._recover()
        self.list.discovery.start()
        gc.collect()
        gc.freeze()
        gc.set_threshold(*COLLECT)
        host, _, port = self.config.listen.rpartition(":")
        await self.front.listen(host, int(port))
        self._belief(self.loop.time())
        self.log.info(
            "started",
            listen=self.config.listen,
            endpoints=len(self.list.listing.known),
            slots=self.config.settings.slots,
            max_open=self.config.settings.max_open,
            cores=self.config.limits.cores,
            memory_mb=self.config.limits.memory_mb,
            sockets=self.config.limits.sockets,
            **usage(),
        )

    def _belief(self, due: float) -> None:
        late = max(0.0, self.loop.time() - due)
        self.list.look()
        front = self.front
        self.log.info(
            "belief",
            late_ms=round(late * 1000.0),
            **belief(self.engine.sender, self.clock.now()),
            **self.counts.take(),
            **asdict(front.counts),
            clients=len(front.connections),
            calls=self.pools.budget.open,
            owed=len(self.notices.owed),
            rev=self.list.listing.rev,
            journal=self.journal.writer.total_bytes,
            ledger=len(self.engine.ledger.by_id),
            **usage(),
        )
        due = self.loop.time() + BELIEF
        self.telling = self.loop.call_at(due, self._belief, due)

    def reload(self, config: NodeConfig) -> None:
        """Use the discovery address of a new configuration; its other fields are ignored."""
        self.log.info("reloaded", discovery=config.discovery)
        self.list.discovery.move(config.discovery)
        self.notices.move(config.discovery)

    async def leave(self, told: float) -> None:
        """Shut down: serve while there is time, answer the commands read, and close the clients.

        ``signalled_at`` is the loop time of the signal. A journal failure ends the shutdown at once, since no
        message can be accepted any more.
        """
        self.log.info("leaving", open=self.engine.ledger.open_count)
        left = max(0.0, told + min(SERVES_ON, self.config.longest) - self.loop.time())
        self.engine.announce_exit(self.clock.now() + left * 1000.0)
        await asyncio.wait([self.broken], timeout=left)
        self.front.close()
        end = self.loop.time() + ENDS_IN
        while self.front.connections and self.loop.time() < end and not self.broken.done():
            await asyncio.sleep(0.01)

    def stop(self) -> None:
        """Stop everything at once and close the journal."""
        if self.telling is not None:
            self.telling.cancel()
        self.list.stop()
        self.front.close()
        self.front.withdraw_unanswered()
        self.journal.close()
        self.log.info("stopped", open=self.engine.ledger.open_count, **usage())
