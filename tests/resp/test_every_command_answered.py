"""Whatever clients send and whenever connections end, each command that was read gets its reply.

The sentences judged are those of the platform's protocol: once a request's last byte is written, ending its
connection with no answer loses it; between requests a connection may be closed, also across a request that was
not read; a new connection may be shut unread.
"""

from __future__ import annotations

import asyncio
import socket

import pytest
from hypothesis import Phase, example, given, settings
from hypothesis import strategies as st

from brassweir.resp.admission import Admission
from brassweir.resp.codec import MAX_LENGTH_LINE_BYTES
from tests.resp.drawn_clients import CLIENT_PLANS, ClientPlan, DrawnClient, drawn_clients
from tests.resp.harness import Harness
from tests.resp.test_closing import run_scenario

PLANS = st.lists(CLIENT_PLANS, min_size=1, max_size=12)
LIMITS = st.sampled_from([200, 2000, 30_000, 150_000, 10_000_000])
PHASES = (Phase.explicit, Phase.generate)  # real sockets: shrinking would take minutes


async def wait_until_read(harness: Harness, clients: list[DrawnClient]) -> None:
    """Waits until everything that was written has come out of the sockets, but for readers that are paused."""
    async with asyncio.timeout(5.0):
        while any(client.bytes_on_the_way() for client in clients) or any(
            connection.unread_bytes() and not connection.read_paused
            for connection in harness.front.connections.values()
        ):
            await asyncio.sleep(0.002)


async def wait_for_replies(harness: Harness, clients: list[DrawnClient]) -> None:
    budget = harness.front.input_budget
    async with asyncio.timeout(10.0):
        while not all(client.ending or client.has_due_replies() for client in clients) or any(
            not client.tasks[0].done() and not client.ending for client in clients
        ):
            bound = budget.max_bytes + len(harness.front.connections) * MAX_LENGTH_LINE_BYTES
            assert budget.buffered_bytes <= bound
            await asyncio.sleep(0.001)


def judge(harness: Harness, clients: list[DrawnClient]) -> None:
    refused = set()
    for client in clients:
        for number, (size, reply) in enumerate(zip(client.plan.sizes, client.replies(), strict=False)):
            if size is None and number < client.due_replies():
                assert reply == b"+PONG", (client, reply)
            elif reply != b"+OK":
                refused.add(f"{client.name}-{number}")
    for client in clients:
        assert client.has_due_replies(), f"{client.name} ended by {client.ending} without its replies"
        assert len(client.replies()) <= client.whole_commands() + 1
    assert refused.isdisjoint(harness.carrier.sent)


@settings(max_examples=60, derandomize=True, deadline=None, phases=PHASES)
@given(PLANS, LIMITS)
@example([ClientPlan((100, 65_536), 200_000, 0, 1.0, False)] * 12, 150_000)
def test_with_little_memory_each_command_is_answered_and_no_connection_ends(
    plans: list[ClientPlan], limit: int
) -> None:
    """Guards against resets, lost replies and deadlocks when unprocessed input reaches its limit."""

    async def scenario(harness: Harness) -> None:
        may_write = asyncio.Event()
        may_write.set()
        async with drawn_clients(harness, plans, may_write) as clients:
            await wait_for_replies(harness, clients)
            judge(harness, clients)
            assert not any(client.ending for client in clients)

    run_scenario(scenario, max_open=30, max_input=limit)


@pytest.mark.parametrize("ending", ["stop", "crowd"])
@settings(max_examples=30, derandomize=True, deadline=None, phases=PHASES)
@given(PLANS, LIMITS, st.integers(0, 30))
def test_commands_read_before_the_connection_ends_are_answered(
    ending: str, plans: list[ClientPlan], limit: int, turns: int
) -> None:
    """Guards against commands that are lost as the process stops, or as a connection gives way to another."""

    async def scenario(harness: Harness) -> None:
        if ending == "crowd":
            harness.front.admission = Admission(len(plans) + 2, 100)
        may_write = asyncio.Event()
        may_write.set()
        async with drawn_clients(harness, plans, may_write) as clients:
            for _ in range(turns):
                await asyncio.sleep(0)
            may_write.clear()
            await wait_until_read(harness, clients)
            for client in clients:
                client.freeze_due()
            if ending == "stop":
                closing = asyncio.ensure_future(harness.front.close_gracefully(0.5))
            else:
                closing = asyncio.ensure_future(crowd(harness, len(plans) + 8))
            await asyncio.sleep(0)
            may_write.set()
            await wait_for_replies(harness, clients)
            await closing
            judge(harness, clients)

    run_scenario(scenario, max_open=30, max_input=limit)


async def crowd(harness: Harness, count: int) -> None:
    """Opens connections that say nothing."""
    for _ in range(count):
        newcomer = socket.socket()
        newcomer.setblocking(False)
        harness.clients.append(newcomer)
        await harness.loop.sock_connect(newcomer, ("127.0.0.1", harness.port))
        await asyncio.sleep(0.002)
