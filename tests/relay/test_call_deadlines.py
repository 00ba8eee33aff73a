"""A retry never takes an idle connection of an endpoint at which a call has timed out."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from brassweir.core.ports import Attempt, Payload, Submission
from brassweir.interface import EndpointInfo
from brassweir.relay.call_deadlines import TIMER_RESOLUTION_MS
from brassweir.relay.carrier import RelayCarrier
from tests.conftest import run

DEADLINE_MS = 500.0


class Pool:
    """Records what is asked of it; calls are never answered."""

    def __init__(self) -> None:
        self.steps: list[str] = []

    async def post(self, *_: object) -> None:
        self.steps.append("post")
        await asyncio.Event().wait()

    def close_idle(self) -> int:
        self.steps.append("close idle")
        return 0


class Surroundings:
    """Addresses, pools and clock of the carrier."""

    def __init__(self) -> None:
        self.pool, self.now_ms = Pool(), 0.0

    def url(self, endpoint: str) -> str:
        return "http://127.0.0.1:9/receive"

    def http_pool(self, url: str, endpoint: str) -> Pool:
        return self.pool

    def now(self) -> float:
        return self.now_ms


def attempt(number: int, endpoint: str, deadline: float) -> Attempt:
    submission = Submission("relay", f"m{number}", "note", 1, 5000.0, payload=Payload("", b"text"))
    return Attempt(number, 1, submission, EndpointInfo(endpoint, 1, ""), deadline, False)


@pytest.mark.parametrize(
    ("endpoint", "now", "steps"),
    [
        ("a", DEADLINE_MS, ["post", "close idle", "post"]),
        ("a", DEADLINE_MS - TIMER_RESOLUTION_MS, ["post", "close idle", "post"]),
        ("a", DEADLINE_MS - 2.0 * TIMER_RESOLUTION_MS, ["post", "post"]),
        ("b", DEADLINE_MS, ["post", "post"]),
    ],
)
def test_a_retry_before_the_connection_reports_the_timeout_closes_idle_connections(
    endpoint: str, now: float, steps: list[str]
) -> None:
    """Guards against the order of the two timers, the engine's and the connection's, that end one call."""

    async def scenario() -> None:
        around = Surroundings()
        carrier = RelayCarrier(
            cast(Any, around), cast(Any, around), cast(Any, around), lambda event, details: None
        )
        carrier.start(attempt(1, "a", DEADLINE_MS), lambda outcome: None)
        await asyncio.sleep(0)
        around.now_ms = now
        carrier.start(attempt(2, endpoint, DEADLINE_MS + 1000.0), lambda outcome: None)
        await asyncio.sleep(0)
        assert around.pool.steps == steps
        for task in list(carrier.tasks):
            task.cancel()
        await asyncio.gather(*carrier.tasks, return_exceptions=True)
        assert not carrier.deadlines.by_endpoint

    run(scenario())
