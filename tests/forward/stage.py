"""A forward front on loopback with a scripted engine behind it, and lines to it."""

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
from brassweir.forward.ports import Bounds, Source
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
    """A ledger, and answers as a test scripts them; ``hold`` keeps them back."""

    def __init__(self) -> None:
        self.ledger = Ledger(CLASSES, 60_000.0, 1000)
        self.answers: dict[str, FinalAnswer] = {}
        self.taken: list[Submission] = []
        self.hold: asyncio.Event | None = None

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
        how, record = self.ledger.accept(submission, self.now, waiter)
        loop = asyncio.get_running_loop()
        if how is SubmitStatus.ENDED:
            assert record.answer is not None
            loop.call_soon(waiter, record.answer)
        elif how is SubmitStatus.NEW:
            self.taken.append(submission)
            loop.create_task(self._end(record))
        return how, record

    async def _end(self, record: MessageRecord) -> None:
        if self.hold is not None:
            await self.hold.wait()
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


class Stage:
    """A front, its engine, and what it noted."""

    def __init__(self, folder: Path, bounds: Bounds, sources: int, acks: bool, kept: int) -> None:
        self.engine, self.folder = Engine(), folder
        self.notes: list[tuple[str, dict[str, object]]] = []
        names = [f"edge-{i}" for i in range(sources)]
        self.kept = UndeliveredStore(folder, kept)
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
            lambda event, details: self.notes.append((event, details)),
            bounds,
        )
        self.port = 0
        self.lines: list[Line] = []

    async def _keep(self, item: UndeliveredItem) -> None:
        await asyncio.to_thread(self.kept.save, item)

    async def line(self, number: int = 0) -> Line:
        one = await connect("127.0.0.1", self.port, f"edge-{number}", f"key edge-{number}".encode())
        self.lines.append(one)
        return one

    def noted(self, event: str) -> list[dict[str, object]]:
        return [details for name, details in self.notes if name == event]

    def items(self) -> list[UndeliveredItem]:
        return [item for _, item in read_all(self.folder) if isinstance(item, UndeliveredItem)]


@asynccontextmanager
async def stage(
    folder: Path,
    bounds: Bounds | None = None,
    sources: int = 2,
    acks: bool = True,
    kept: int = 10_000_000,
    **kwargs: Any,
) -> AsyncIterator[Stage]:
    one = Stage(folder / "kept", bounds or Bounds(), sources, acks, kept)
    one.port = await one.front.listen("127.0.0.1", 0, **kwargs)
    try:
        yield one
    finally:
        for line in one.lines:
            line.close()
        one.front.abort()
        one.front.offload.close()


def chunk(ident: str, tag: str = "log.a", mode: Mode = Mode.PACKED, count: int = 2) -> bytes:
    return message.build(
        mode,
        tag,
        [Event(EventTime(1_700_000_000), {"n": i}) for i in range(1 if mode is Mode.MESSAGE else count)],
        ident,
    )


async def send(line: Line, ident: str, data: bytes, seconds: float = 5.0) -> str:
    waiting: asyncio.Future[str] = asyncio.get_running_loop().create_future()
    line.acks[ident] = waiting
    line.writer.write(data)
    async with asyncio.timeout(seconds):
        return await waiting
