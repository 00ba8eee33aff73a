"""Sends attempts to the platform's endpoints, each as one ``POST /receive``."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from brassweir.core.exchange import Exchange
from brassweir.core.http_responses import no_answer
from brassweir.core.ports import Attempt, Clock, Outcome, Payload, Urls
from brassweir.core.task_carrier import Note, TaskCarrier
from brassweir.interface import Result
from brassweir.net.client import CallFailed, Stage
from brassweir.net.headers import Headers
from brassweir.net.pool_manager import PoolManager
from brassweir.relay import outcomes
from brassweir.relay.call_deadlines import CallDeadlines

# For the last byte of a request (see ``post``): a reset of the connection that arrives before it proves that
# the attempt has not run.
LAST_BYTE_DELAY_SECONDS = 0.005
# Statuses whose status line decides the outcome, whatever follows it.
CONCLUSIVE_STATUSES = frozenset({200})
# Without a response the network path may have failed, and the idle connections to the endpoint with it.
PATH_SUSPECT_RESULTS = frozenset({Result.TIMEOUT, Result.RESET})


class RelayCarrier(TaskCarrier):
    """Carries attempts to endpoints over HTTP.

    A connection pool belongs to the pair of endpoint and address, so that an endpoint that takes over the
    address of another one does not inherit its connections.
    """

    def __init__(self, urls: Urls, pools: PoolManager, clock: Clock, note: Note) -> None:
        super().__init__(urls, pools, note, "")
        self.pools, self.clock = pools, clock
        self.deadlines = CallDeadlines()

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint."""
        url = self.urls.url(endpoint)
        if url is not None:
            self.pools.close_idle(url, endpoint)

    async def call(self, attempt: Attempt, done: Callable[[Outcome], None]) -> None:
        """Make the attempt and pass its outcome to ``done``.

        An endpoint without an address ends as NO_CONNECTION.
        """
        name, submission = attempt.endpoint.name, attempt.submission
        url, payload = self.urls.url(name), submission.payload
        if url is None or not isinstance(payload, Payload):
            done(Outcome(Result.NO_CONNECTION, "no address for this endpoint"))
            return
        headers = Headers([("X-Correlation-Id", submission.identity)])
        if payload.subject:
            headers.add("Idempotency-Key", payload.subject)
        headers.add("X-Time-Left", f"{max(1.0, attempt.abandon_at - self.clock.now()):.0f}m")
        pool, deadline = self.pools.http_pool(url, name), attempt.abandon_at / 1000.0
        if self.deadlines.any_overdue(name, self.clock.now()):
            pool.close_idle()  # the engine ends the call too, and may retry before its connection does
        try:
            with self.deadlines.track(name, attempt.abandon_at):
                reply = await pool.post(
                    headers,
                    payload.content,
                    deadline,
                    deadline,
                    attempt.start_guard.begin,
                    LAST_BYTE_DELAY_SECONDS,
                )
        except CallFailed as failed:
            if failed.stage is Stage.CONNECT and failed.reused:
                done(Outcome(Result.NOT_STARTED, "a kept connection was closed before the call was whole"))
                return
            outcome = no_answer(failed.stage is not Stage.CONNECT, True, failed.timed_out, failed.reason)
            if outcome.result in PATH_SUSPECT_RESULTS:
                pool.close_idle()  # other connections to the endpoint may be dead too
            done(outcome)
        else:
            outcome = outcomes.response_outcome(reply.status, reply.headers.first, reply.reused)
            exchange = Exchange(reply.connection, reply.earlier_calls, reply.answer_ms)
            done(replace(outcome, exchange=exchange))
