"""Carries attempts to forward endpoints; those released together share a call, each with its own ack."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from brassweir.core.identity import delivery_id
from brassweir.core.offload import Offload
from brassweir.core.ports import Attempt, Outcome, Payload, Urls
from brassweir.core.task_carrier import Note, TaskCarrier
from brassweir.forward import endings, events, message
from brassweir.forward.decide.joining import Joining
from brassweir.forward.errors import ForwardError
from brassweir.forward.link import Credentials, ForwardLink, ForwardLinks
from brassweir.interface import Result
from brassweir.net.address import Address
from brassweir.net.connection import CallFailed, Stage
from brassweir.net.pool import ConnectionPool
from brassweir.net.pool_manager import PoolManager

INLINE = 16_384  # bytes: what is built in less time than a thread takes to hear of it
Done = Callable[[Outcome], None]


class ForwardCarrier(TaskCarrier):
    """Carries attempts of one kind. ``tag`` is given to documents that came without one; ``linger`` (ms) is
    how long a call whose time is over is still listened to."""

    def __init__(
        self,
        urls: Urls,
        pools: PoolManager,
        credentials: Credentials,
        offload: Offload,
        note: Note,
        *,
        batch: int = 1,
        tag: str = "brassweir",
        compress: bool = False,
        linger: float = 2000.0,
    ) -> None:
        super().__init__(urls, pools, note, credentials.hostname)
        self.pools, self.credentials, self.offload, self.tag = pools, credentials, offload, tag
        self.compress, self.linger = compress, linger
        self.joining = Joining(batch)
        self.calls: dict[int, tuple[Attempt, Done]] = {}
        self.numbers = 0
        self.flushing = False

    def start(self, attempt: Attempt, done: Done) -> None:
        """Begin an attempt, with those to the same endpoint that come in the same turn."""
        loop = asyncio.get_running_loop()
        self.numbers += 1
        self.calls[self.numbers] = (attempt, done)
        full = self.joining.add(attempt.endpoint.name, self.numbers)
        if full is not None:
            self._begin(full)
        elif not self.flushing:
            self.flushing = True
            loop.call_soon(self._flush)

    def _flush(self) -> None:
        self.flushing = False
        for _, numbers in self.joining.rest():
            self._begin(numbers)

    def _begin(self, numbers: list[int]) -> None:
        calls = [self.calls.pop(number) for number in numbers]
        task = asyncio.get_running_loop().create_task(self._together(calls))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _together(self, calls: list[tuple[Attempt, Done]]) -> None:
        told: set[int] = set()

        def once(number: int) -> Done:
            def done(outcome: Outcome) -> None:
                if number not in told:
                    told.add(number)
                    calls[number][1](outcome)

            return done

        each = [once(number) for number in range(len(calls))]
        try:
            await self._call(calls, each)
        except asyncio.CancelledError:
            for done in each:
                done(Outcome(Result.CANCELLED, "the sender stopped"))
            raise
        except Exception as error:  # a fault here must not leave an attempt without an outcome
            self.note(
                "carrier_fault", {"message": calls[0][0].id, "error": f"{type(error).__name__}: {error}"}
            )
            for done in each:
                done(Outcome(Result.ERROR, f"internal: {type(error).__name__}"))

    async def _call(self, calls: list[tuple[Attempt, Done]], each: list[Done]) -> None:
        url = self.urls.url(calls[0][0].endpoint.name)
        ready: list[tuple[Attempt, str, bytes, Done]] = []
        for (attempt, _), done in zip(calls, each, strict=True):
            given = attempt.submission
            if url is None or not isinstance(given.payload, Payload):
                done(Outcome(Result.NO_CONNECTION, "no address for this endpoint"))
                continue
            chunk = delivery_id(given.owner, given.identity)
            content = given.payload

            def build(content: Payload = content, chunk: str = chunk) -> bytes:
                tag, entries, count = events.of_payload(content, self.tag, time.time())
                return message.packed_message(tag, entries, chunk, count, compress=self.compress)

            try:
                data = await self.offload(build) if len(content.content) > INLINE else build()
            except ForwardError as error:
                done(Outcome(Result.NO_CONNECTION, f"cannot be built: {error}"))
                continue
            ready.append((attempt, chunk, data, done))
        if not ready or url is None:
            return
        links = self.pools.pool(url, self._make)
        last = (max(attempt.abandon_at for attempt, _, _, _ in ready) + self.linger) / 1000.0
        begin = min(attempt.abandon_at for attempt, _ in calls) / 1000.0
        try:
            async with links.acquire(last, begin) as link:
                assert isinstance(link, ForwardLink)
                try:
                    out = [self._send(link, *one) for one in ready]
                    await asyncio.gather(*out)
                finally:
                    link.ended()
        except CallFailed as failed:  # no connection: nothing of any was written
            for _, _, _, done in ready:
                done(endings.failed(failed))

    def _make(self, address: Address, pools: PoolManager) -> ConnectionPool:
        return ForwardLinks(address, pools, self.credentials)

    async def _send(self, link: ForwardLink, attempt: Attempt, chunk: str, data: bytes, done: Done) -> None:
        """One chunk of a call, to its own ending."""
        until = (attempt.abandon_at + self.linger) / 1000.0
        if not attempt.start_guard.begin():
            done(Outcome(Result.NO_CONNECTION, "called back before anything was written"))
            return
        try:
            waiting = link.send(chunk, data)
        except CallFailed as failed:
            done(endings.failed(failed))
            return
        try:
            async with asyncio.timeout_at(until):
                await asyncio.shield(waiting)
        except TimeoutError:
            done(endings.failed(CallFailed(Stage.SENT, "no ack in time", timed_out=True)))
        except CallFailed as failed:
            done(endings.failed(failed))
        else:
            done(endings.ACKED)
