"""Makes one attempt at one endpoint of the platform: ``POST /receive``."""

from __future__ import annotations

from collections.abc import Callable

from brassweir.core.http_responses import no_answer
from brassweir.core.ports import Attempt, Clock, Outcome, Payload, Urls
from brassweir.core.task_carrier import Note, TaskCarrier
from brassweir.interface import Result
from brassweir.net.client import CallFailed, Stage
from brassweir.net.headers import Headers
from brassweir.net.pool_manager import PoolManager
from brassweir.relay import outcomes

# Seconds for which a call's last byte is held back (see HttpPool): enough for a reset to come from the next
# machine but one, and little beside a call. Without it every closing that crosses a call may have run it.
HOLD = 0.005
SETTLING = frozenset({200})  # a first line with this status is true, whatever follows it
UNSURE = frozenset({Result.TIMEOUT, Result.RESET})  # endings without a word: the path may be gone


class RelayCarrier(TaskCarrier):
    """Carries attempts to endpoints. A pool belongs to an endpoint and its address together: one that comes
    to an address that another has left inherits none of its connections."""

    def __init__(self, urls: Urls, pools: PoolManager, clock: Clock, note: Note) -> None:
        super().__init__(urls, pools, note, "")
        self.pools, self.clock = pools, clock

    def close_idle(self, endpoint: str) -> None:
        """Close idle connections to an endpoint."""
        url = self.urls.url(endpoint)
        if url is not None:
            self.pools.close_idle(url, endpoint)

    async def call(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        """Make the attempt and tell how it ended."""
        name, given = attempt.endpoint.name, attempt.submission
        url, payload = self.urls.url(name), given.payload
        if url is None or not isinstance(payload, Payload):
            done(Outcome(Result.NO_CONNECTION, "no address for this endpoint"))
            return
        fields = Headers([("X-Correlation-Id", given.identity)])
        if payload.subject:
            fields.add("Idempotency-Key", payload.subject)
        fields.add("X-Time-Left", f"{max(1.0, attempt.abandon_at - self.clock.now()):.0f}m")
        pool, until = self.pools.http_pool(url, name), attempt.abandon_at / 1000.0
        try:
            reply = await pool.post(fields, payload.content, until, until, attempt.start_guard.begin, HOLD)
        except CallFailed as failed:
            if failed.stage is Stage.CONNECT and failed.reused:
                done(Outcome(Result.NOT_STARTED, "a kept connection was closed before the call was whole"))
                return
            outcome = no_answer(failed.stage is not Stage.CONNECT, True, failed.timed_out, failed.reason)
            if outcome.result in UNSURE:
                pool.close_idle()  # the others to it may be as dead, and would say so no sooner
            done(outcome)
        else:
            done(outcomes.status(reply.status, reply.headers.first, reply.reused))
