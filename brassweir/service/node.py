"""One sender on the platform: engine, journal and links as in ``serve``, with the platform's protocol around.

Nothing else is imported here: memory is small, and time spent starting is time not served.
"""

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
    3000.0  # ms that an ended message is known: ids are new at each hand-in, so only strays come again
)
REMEMBER_MOST = 4000  # of them
SERVES_ON = 3.3  # seconds after SIGTERM: the platform kills no sooner than 3.7 s after it
ENDS_IN = 0.25  # seconds for what was read to be answered and for clients to close, before the process ends
CLIENTS = 0.6  # share of the descriptors that clients may hold; usual ones take a third at most
KEPT_BACK = 24  # descriptors for the journal, the list, notices, the log and the loop itself
UNREAD = 0.06  # share of the memory for what clients have sent and was not taken up yet
IDLE = 0.85  # share of the endpoints' idle time after which a connection is not trusted any more
NOTICES = 2  # connections for notices, of those kept back: calls that hang hold none of them
SETUPS = 64  # connections being made at once
BELIEF = 1.0  # seconds between two lines of what the sender believes
COLLECT = (5_000, 10, 1000)  # as in ``serve``: what is no longer used goes without the collector
ANSWERS = Limits(head_bytes=16_384, max_headers=64, body_bytes=65_536)  # of endpoints and of the platform


def _number(destination: str) -> int | None:
    """The number behind a destination's name in the journal; None if another kind of sender wrote it."""
    return int(destination) if destination.isascii() and destination.isdigit() else None


def _as_now(taken: Taken, classes: Mapping[str, api.MessageClass]) -> Taken:
    """Before format 2 the idempotency key stood where the key of order stands now. A keyed message that went
    out without it could take effect twice."""
    cls = classes.get(taken.class_name)
    if taken.subject or cls is None or (cls.in_order and cls.effect is not api.Effect.KEYED):
        return taken
    return msgspec.structs.replace(taken, key="", subject=taken.key)


class NodeProcess:
    """A running sender. Made inside the loop that it will run on."""

    def __init__(self, config: NodeConfig, state: Path, log: Any) -> None:
        """Wire everything together. Raises NodeError, and Unusable if the journal cannot be opened."""
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
        """Something worth a line."""
        self.log.warning(event, **details)

    def _broken(self, error: BaseException) -> None:
        self.log.error("journal_broken", error=str(error))
        if not self.broken.done():
            self.broken.set_result(error)

    def _waiter(self, message: int, submission: Submission) -> Waiter:
        """Who waits for the end of a message that was taken on: the platform, unless it is a delivery."""

        def tell(answer: FinalAnswer) -> None:
            if answer.answer is Answer.DELIVERED:
                self.journal.store.receipt_delivered(message)
            else:
                self.notices.owe(message, notice(submission.identity, answer))

        return tell

    def _recover(self) -> None:
        """Go on where the process before this one was, whatever ended it."""
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
        """Know the list, recover, watch, then listen. Raises OSError."""
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
        """The platform moves: the list and notices are elsewhere from now on."""
        self.log.info("reloaded", discovery=config.discovery)
        self.list.discovery.move(config.discovery)
        self.notices.move(config.discovery)

    async def leave(self, told: float) -> None:
        """A planned restart, told at a loop time: serve while there is time, answer what was read, and end.

        A journal that breaks ends it at once, since nothing can be promised any more.
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
        """End everything at once."""
        if self.telling is not None:
            self.telling.cancel()
        self.list.stop()
        self.front.close()
        self.front.withdraw_unanswered()
        self.journal.close()
        self.log.info("stopped", open=self.engine.ledger.open_count, **usage())
