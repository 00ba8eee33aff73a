"""Sends attempts to forward endpoints; attempts started together share a call, each with its own ack."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from brassweir.core.identity import delivery_id
from brassweir.core.offload import Offload
from brassweir.core.ports import Attempt, Outcome, Payload, Urls
from brassweir.core.task_carrier import Note, TaskCarrier
from brassweir.forward import endings, events, message
from brassweir.forward.decide.batching import CallBatcher
from brassweir.forward.errors import ForwardError
from brassweir.forward.link import Credentials, ForwardLink, ForwardLinks
from brassweir.interface import Result
from brassweir.net.address import Address
from brassweir.net.connection import CallFailed, Stage
from brassweir.net.pool import ConnectionPool
from brassweir.net.pool_manager import PoolManager

MAX_INLINE_BYTES = 16_384  # larger payloads are encoded in a worker thread
Done = Callable[[Outcome], None]


class ForwardCarrier(TaskCarrier):
    """Carries attempts of one kind of endpoint.

    ``batch`` is the maximum of attempts in a call. ``tag`` is the tag of payloads that have none.
    ``linger_ms`` is how long after an attempt's time is over its ack is still awaited.
    """

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
        linger_ms: float = 2000.0,
    ) -> None:
        super().__init__(urls, pools, note, credentials.hostname)
        self.pools, self.credentials, self.offload, self.tag = pools, credentials, offload, tag
        self.compress, self.linger_ms = compress, linger_ms
        self.batcher = CallBatcher(batch)
        self.calls: dict[int, tuple[Attempt, Done]] = {}
        self.last_call_number = 0
        self.flush_scheduled = False

    def start(self, attempt: Attempt, done: Done) -> None:
        """Start an attempt; it shares a call with others to its endpoint in the same event loop iteration."""
        loop = asyncio.get_running_loop()
        self.last_call_number += 1
        self.calls[self.last_call_number] = (attempt, done)
        full = self.batcher.add(attempt.endpoint.name, self.last_call_number)
        if full is not None:
            self._start_call(full)
        elif not self.flush_scheduled:
            self.flush_scheduled = True
            loop.call_soon(self._flush)

    def _flush(self) -> None:
        self.flush_scheduled = False
        for _, call_numbers in self.batcher.flush():
            self._start_call(call_numbers)

    def _start_call(self, call_numbers: list[int]) -> None:
        calls = [self.calls.pop(number) for number in call_numbers]
        task = asyncio.get_running_loop().create_task(self._run_call(calls))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run_call(self, calls: list[tuple[Attempt, Done]]) -> None:
        reported: set[int] = set()

        def once(number: int) -> Done:
            def done(outcome: Outcome) -> None:
                if number not in reported:
                    reported.add(number)
                    calls[number][1](outcome)

            return done

        callbacks = [once(number) for number in range(len(calls))]
        try:
            await self._call(calls, callbacks)
        except asyncio.CancelledError:
            for done in callbacks:
                done(Outcome(Result.CANCELLED, "the sender stopped"))
            raise
        except Exception as error:  # a fault here must not leave an attempt without an outcome
            self.note(
                "carrier_fault", {"message": calls[0][0].id, "error": f"{type(error).__name__}: {error}"}
            )
            for done in callbacks:
                done(Outcome(Result.ERROR, f"internal: {type(error).__name__}"))

    async def _call(self, calls: list[tuple[Attempt, Done]], callbacks: list[Done]) -> None:
        url = self.urls.url(calls[0][0].endpoint.name)
        built: list[tuple[Attempt, str, bytes, Done]] = []
        for (attempt, _), done in zip(calls, callbacks, strict=True):
            submission = attempt.submission
            if url is None or not isinstance(submission.payload, Payload):
                done(Outcome(Result.NO_CONNECTION, "no address for this endpoint"))
                continue
            chunk = delivery_id(submission.owner, submission.identity)
            payload = submission.payload

            def build(payload: Payload = payload, chunk: str = chunk) -> bytes:
                tag, entries, count = events.of_payload(payload, self.tag, time.time())
                return message.packed_message(tag, entries, chunk, count, compress=self.compress)

            try:
                data = await self.offload(build) if len(payload.content) > MAX_INLINE_BYTES else build()
            except ForwardError as error:
                done(Outcome(Result.NO_CONNECTION, f"cannot be built: {error}"))
                continue
            built.append((attempt, chunk, data, done))
        if not built or url is None:
            return
        links = self.pools.pool(url, self._new_pool)
        give_up_at = (max(attempt.abandon_at for attempt, _, _, _ in built) + self.linger_ms) / 1000.0
        start_by = min(attempt.abandon_at for attempt, _ in calls) / 1000.0
        try:
            async with links.acquire(give_up_at, start_by) as link:
                assert isinstance(link, ForwardLink)
                try:
                    sends = [self._send(link, *one) for one in built]
                    await asyncio.gather(*sends)
                finally:
                    link.finish_call()
        except CallFailed as error:  # no connection: nothing was written
            for _, _, _, done in built:
                done(endings.failed(error))

    def _new_pool(self, address: Address, pools: PoolManager) -> ConnectionPool:
        return ForwardLinks(address, pools, self.credentials)

    async def _send(self, link: ForwardLink, attempt: Attempt, chunk: str, data: bytes, done: Done) -> None:
        """Send one chunk of a call and report its outcome."""
        ack_deadline = (attempt.abandon_at + self.linger_ms) / 1000.0
        if not attempt.start_guard.begin():
            done(Outcome(Result.NO_CONNECTION, "called back before anything was written"))
            return
        try:
            ack = link.send(chunk, data)
        except CallFailed as error:
            done(endings.failed(error))
            return
        try:
            async with asyncio.timeout_at(ack_deadline):
                await asyncio.shield(ack)
        except TimeoutError:
            done(endings.failed(CallFailed(Stage.SENT, "no ack in time", timed_out=True)))
        except CallFailed as error:
            done(endings.failed(error))
        else:
            done(endings.ACKED)
