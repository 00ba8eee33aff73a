"""Makes one attempt at one webhook endpoint."""

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
from brassweir.webhook import codec, endings


class WebhookCarrier(TaskCarrier):
    """Carries attempts to webhooks. ``keys`` sign every post; the id is the same over all attempts.

    ``linger`` (ms) is how long a call whose time is over is still listened to, as for AS2.
    """

    def __init__(
        self,
        urls: Urls,
        pools: PoolManager,
        keys: tuple[bytes, ...],
        note: Note,
        name: str = "",
        linger: float = 2000.0,
    ) -> None:
        super().__init__(urls, pools, note, name)
        self.pools, self.keys, self.linger = pools, keys, linger

    async def call(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        """Make the attempt and tell how it ended."""
        url, payload = self.urls.url(attempt.endpoint.name), attempt.submission.payload
        if url is None or not isinstance(payload, Payload):
            done(Outcome(Result.NO_CONNECTION, "no address for this endpoint"))
            return
        ident = delivery_id(attempt.submission.owner, attempt.submission.identity)
        fields = Headers(
            [("User-Agent", self.agent), *codec.headers(ident, int(time.time()), payload, self.keys)]
        )
        begin, until = attempt.abandon_at / 1000.0, (attempt.abandon_at + self.linger) / 1000.0
        try:
            reply = await self.pools.http_pool(url).post(
                fields, payload.content, until, begin, attempt.start_guard.begin
            )
        except CallFailed as failed:
            done(no_answer(failed.stage is not Stage.CONNECT, True, failed.timed_out, failed.reason))
        else:
            done(endings.status(reply.status, read_hints(reply.headers.first, time.time())))
