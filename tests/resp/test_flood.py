"""Many clients that each send part of a command: buffered bytes are limited, and every client is answered."""

from __future__ import annotations

import asyncio
import socket

import pytest

from brassweir.resp import admission
from brassweir.resp.codec import BUSY, MAX_LENGTH_LINE_BYTES, OK, PONG
from brassweir.resp.input_budget import CLIENT_TIMEOUT_SECONDS, BufferState, InputBudget
from tests.resp.harness import PING, Harness, put
from tests.resp.test_closing import run_scenario

CLIENTS = 40


@pytest.mark.parametrize("part", [60_000, 30])
def test_incomplete_commands_stay_within_the_buffer_limit(monkeypatch: pytest.MonkeyPatch, part: int) -> None:
    """Guards against a reset of connections, in place of a refusal, when all input is over its limit."""
    monkeypatch.setattr(admission, "IDLE_SECONDS", 60.0)  # expiry has tests of its own

    async def scenario(harness: Harness) -> None:
        budget, submitter = harness.front.input_budget, await harness.client()
        commands = [put(f"h{i}", body=b"x" * 60_000) for i in range(CLIENTS)]
        flooders = []
        for i, command in enumerate(commands):
            flooders.append(flooder := await harness.client())
            await harness.loop.sock_sendall(flooder, command[:part])
            state = harness.front.admission.clients[harness.front.last_id]
            while state.buffered_bytes < max(1, part - 1000):
                await asyncio.sleep(0)
            if not i:
                budget.max_bytes = 5.5 * budget.buffered_bytes
            assert budget.buffered_bytes <= budget.max_bytes + i * MAX_LENGTH_LINE_BYTES
            if i % 10 == 0:
                submitter.send(put(f"u{i}", "note"))
                assert await harness.loop.sock_recv(submitter, 100) == OK
        assert len(harness.front.connections) == CLIENTS + 1 and harness.front.counts.dropped == 0
        replies = []
        for flooder, command in zip(flooders, commands, strict=True):
            await harness.loop.sock_sendall(flooder, command[part:] + PING)
            replies.append(await receive(harness, flooder, 2))
        kept = 5 if part > MAX_LENGTH_LINE_BYTES else 0  # of the small ones the rest is too much
        assert replies == [BUSY + PONG] * (CLIENTS - kept) + [OK + PONG] * kept
        assert budget.buffered_bytes == 0 and harness.front.counts.discarded == CLIENTS - kept

    run_scenario(scenario, max_open=500)


async def receive(harness: Harness, client: socket.socket, lines: int) -> bytes:
    received = b""
    while received.count(b"\r\n") < lines:
        data = await asyncio.wait_for(harness.loop.sock_recv(client, 65536), 5.0)
        assert data, "closed without a reply"
        received += data
    return received


def test_small_commands_before_and_behind_a_discarded_one_are_answered_in_order() -> None:
    """Guards against replies that are lost, or out of order, beside a refusal for memory."""

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        data = put("m1", "note") + put("big", "note", b"x" * 60_000) + put("m2", "note") + PING
        await harness.loop.sock_sendall(client, data)
        assert await receive(harness, client, 4) == OK + BUSY + OK + PONG

    run_scenario(scenario, max_input=20_000)


def test_commands_sent_one_byte_at_a_time_are_answered_when_the_limit_is_full() -> None:
    """Guards against commands in part that fill the limit and wait for one another."""

    async def scenario(harness: Harness) -> None:
        clients = [await harness.client() for _ in range(8)]
        command = put("m", "note", b"x" * 400)
        for at in range(len(command)):
            for i, client in enumerate(clients):
                data = command.replace(b"\r\nm\r\n", b"\r\n%d\r\n" % i)
                client.send(data[at : at + 1])
            if at % 50 == 0:
                await asyncio.sleep(0.001)
            assert harness.front.input_budget.buffered_bytes <= 900 + 8 * MAX_LENGTH_LINE_BYTES
        replies = [await receive(harness, client, 1) for client in clients]
        assert set(replies) == {OK, BUSY}, "some go on, and the others are refused"

    run_scenario(scenario, max_input=900)


def test_bytes_of_removed_or_complete_clients_are_not_counted() -> None:
    budget = InputBudget(100.0, 10)
    clients = [BufferState(client_id) for client_id in range(4)]
    clients[0].has_submitted = True
    budget.update(clients[0], 90, discardable=True)
    budget.update(clients[1], 10, discardable=True)
    assert not budget.exceeded
    budget.update(clients[2], 10, discardable=True)
    assert budget.exceeded and budget.next_to_discard(0.0) == 1, "the longest inactive newcomer is first"
    budget.remove(clients[1])
    assert budget.buffered_bytes == 100 and not budget.exceeded
    budget.remove(clients[2])
    budget.update(clients[3], 20, discardable=False)
    assert budget.next_to_discard(0.0) == 0, "what is only to be decoded cannot be discarded"
    budget.update(clients[2], 90, discardable=True)
    clients[2].last_active = CLIENT_TIMEOUT_SECONDS
    assert budget.next_to_discard(CLIENT_TIMEOUT_SECONDS) == 0, (
        "a client that has given up is before a newcomer"
    )
    budget.update(clients[0], 20, discardable=False)
    for client in clients:
        budget.remove(client)
    assert budget.buffered_bytes == 0 and not budget.newcomers and not budget.submitters


@pytest.mark.parametrize(
    ("memory_mb", "max_clients"), [(32, 153), (64, 153), (192, 153), (32, 614), (64, 614), (192, 614)]
)
def test_undecoded_input_of_all_clients_is_within_half_of_the_limit(memory_mb: int, max_clients: int) -> None:
    budget = InputBudget(0.06 * memory_mb * 2**20, max_clients)
    assert budget.read_bytes * max_clients <= budget.max_bytes / 2.0
