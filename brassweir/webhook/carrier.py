"""Sends attempts to webhook endpoints over HTTP."""

from __future__ import annotations

import time
from collections.abc import Callable

from brassweir.core.http_responses import no_answer, read_hints
from brassweir.core.identity import delivery_id
from brassweir.core.ports import Attempt, Outcome, Payload, Urls
from brassweir.core.task_carrier import Note, TaskCarrier
from brassweir.interface import Result
from brassweir.net.client import CallFailed, Stage
from brassweir.net.headers import Headers
from brassweir.net.pool_manager import PoolManager
from brassweir.webhook import codec, outcomes


class WebhookCarrier(TaskCarrier):
    """Posts messages as webhooks, signed with each of ``keys``; all attempts of a message have the same id.

    A response is still awaited for ``linger_ms`` after an attempt is abandoned.
    """

    def __init__(
        self,
        urls: Urls,
        pools: PoolManager,
        keys: tuple[bytes, ...],
        note: Note,
        name: str = "",
        linger_ms: float = 2000.0,
    ) -> None:
        super().__init__(urls, pools, note, name)
        self.pools, self.keys, self.linger_ms = pools, keys, linger_ms

    async def call(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        """Makes an attempt and passes its outcome to ``done``."""
        url, payload = self.urls.url(attempt.endpoint.name), attempt.submission.payload
        if url is None or not isinstance(payload, Payload):
            done(Outcome(Result.NO_CONNECTION, "no address for this endpoint"))
            return
        webhook_id = delivery_id(attempt.submission.owner, attempt.submission.identity)
        fields = Headers(
            [("User-Agent", self.agent), *codec.headers(webhook_id, int(time.time()), payload, self.keys)]
        )
        start_by, deadline = attempt.abandon_at / 1000.0, (attempt.abandon_at + self.linger_ms) / 1000.0
        try:
            reply = await self.pools.http_pool(url).post(
                fields, payload.content, deadline, start_by, attempt.start_guard.begin
            )
        except CallFailed as failure:
            done(no_answer(failure.stage is not Stage.CONNECT, True, failure.timed_out, failure.reason))
        else:
            done(outcomes.from_status(reply.status, read_hints(reply.headers.first, time.time())))
