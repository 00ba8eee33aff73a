"""A forward front on loopback with a scripted engine, and connections to it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from brassweir.core.ledger import Ledger, MessageRecord, SubmitStatus
from brassweir.core.offload import Offload
from brassweir.core.ports import Answer, FinalAnswer, Submission
from brassweir.forward import message
from brassweir.forward.decide.rules import Body, TagRule
from brassweir.forward.events import Event, EventTime
from brassweir.forward.front import ForwardFront
from brassweir.forward.message import Mode
from brassweir.forward.ports import FrontLimits, Source
from brassweir.interface import Effect, MessageClass
from brassweir.lab.standins.shipper import Line, connect
from brassweir.undelivered.item import UndeliveredItem
from brassweir.undelivered.store import UndeliveredStore, read_all

CLASSES = {
    "status": MessageClass("status", 500.0, 5000.0, Effect.SAFE),
    "order": MessageClass("order", 500.0, 5000.0, Effect.KEYED, window=10_000.0, in_order=True),
}
RULES = (
    TagRule("log.**", "status", "store"),
    TagRule("pay.*", "order", "bank", Body.PACKED, "{1}"),
    TagRule("far", "status", "nowhere"),
)
DELIVERED, FAILED = FinalAnswer(Answer.DELIVERED), FinalAnswer(Answer.FAILED, "the destination said no")
REFUSED = FinalAnswer(Answer.REFUSED, "not now", 300.0)


class Engine:
    """A ledger with scripted final answers, which wait for ``release`` if it is set."""

    def __init__(self) -> None:
        self.ledger = Ledger(CLASSES, 60_000.0, 1000)
        self.answers: dict[str, FinalAnswer] = {}
        self.submissions: list[Submission] = []
        self.release: asyncio.Event | None = None

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time() * 1000.0

    def knows(self, owner: str, identity: str) -> bool:
        record = self.ledger.by_identity.get((owner, identity))
        return record is not None and (
            record.answer is None or self.ledger.retry_window(record, self.now) <= 0.0
        )

    def submit(
        self, submission: Submission, waiter: Callable[[FinalAnswer], None]
    ) -> tuple[SubmitStatus, MessageRecord]:
        status, record = self.ledger.accept(submission, self.now, waiter)
        loop = asyncio.get_running_loop()
        if status is SubmitStatus.ENDED:
            assert record.answer is not None
            loop.call_soon(waiter, record.answer)
        elif status is SubmitStatus.NEW:
            self.submissions.append(submission)
            loop.create_task(self._end(record))
        return status, record

    async def _end(self, record: MessageRecord) -> None:
        if self.release is not None:
            await self.release.wait()
        answer = self.answers.get(record.submission.identity, DELIVERED)
        for waiter in self.ledger.finish(record.id, answer, self.now) or []:
            waiter(answer)


class Gate:
    def __init__(self, names: dict[str, bytes]) -> None:
        self.names = names

    def keys(self, source: str) -> tuple[bytes, ...]:
        return (self.names[source],) if source in self.names else ()

    def password(self, source: str, username: str) -> bytes | None:
        return None

    def needs_user(self) -> bool:
        return False


class FrontHarness:
    """A front, its engine and its log entries."""

    def __init__(self, directory: Path, bounds: FrontLimits, sources: int, acks: bool, kept: int) -> None:
        self.engine, self.directory = Engine(), directory
        self.log_entries: list[tuple[str, dict[str, object]]] = []
        names = [f"edge-{i}" for i in range(sources)]
        self.kept = UndeliveredStore(directory, kept)
        self.gate = Gate({name: f"key {name}".encode() for name in names})
        self.front = ForwardFront(
            {name: Source(name, RULES, acks) for name in names},
            self.gate,
            "hub",
            CLASSES,
            {"store": 1, "bank": 2}.get,
            self.engine,
            Offload(2),
            self._keep,
            lambda event, details: self.log_entries.append((event, details)),
            bounds,
        )
        self.port = 0
        self.clients: list[Line] = []

    async def _keep(self, item: UndeliveredItem) -> None:
        await asyncio.to_thread(self.kept.save, item)

    async def connect_source(self, number: int = 0) -> Line:
        client = await connect("127.0.0.1", self.port, f"edge-{number}", f"key edge-{number}".encode())
        self.clients.append(client)
        return client

    def logged(self, event: str) -> list[dict[str, object]]:
        return [details for name, details in self.log_entries if name == event]

    def items(self) -> list[UndeliveredItem]:
        return [item for _, item in read_all(self.directory) if isinstance(item, UndeliveredItem)]


@asynccontextmanager
async def running_front(
    directory: Path,
    bounds: FrontLimits | None = None,
    sources: int = 2,
    acks: bool = True,
    kept: int = 10_000_000,
    **kwargs: Any,
) -> AsyncIterator[FrontHarness]:
    harness = FrontHarness(directory / "kept", bounds or FrontLimits(), sources, acks, kept)
    harness.port = await harness.front.listen("127.0.0.1", 0, **kwargs)
    try:
        yield harness
    finally:
        for client in harness.clients:
            client.close()
        harness.front.abort()
        harness.front.offload.close()


def chunk(chunk_id: str, tag: str = "log.a", mode: Mode = Mode.PACKED, count: int = 2) -> bytes:
    return message.build(
        mode,
        tag,
        [Event(EventTime(1_700_000_000), {"n": i}) for i in range(1 if mode is Mode.MESSAGE else count)],
        chunk_id,
    )


async def send(client: Line, chunk_id: str, data: bytes, seconds: float = 5.0) -> str:
    waiting: asyncio.Future[str] = asyncio.get_running_loop().create_future()
    client.acks[chunk_id] = waiting
    client.writer.write(data)
    async with asyncio.timeout(seconds):
        return await waiting
