"""Races between a client's bytes and the close of its connection; each test forces one."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from brassweir.core.ports import Fact
from brassweir.net import lingering_close
from brassweir.resp import channel
from brassweir.resp.codec import BUSY, OK, PONG
from brassweir.resp.connection import Connection
from tests.conftest import run
from tests.resp.harness import PING, Harness, put

Scenario = Callable[[Harness], Awaitable[None]]


def run_scenario(scenario: Scenario, **settings: Any) -> None:
    async def with_harness() -> None:
        harness = await Harness(**settings).open()
        try:
            await scenario(harness)
        finally:
            harness.close()

    run(with_harness())


@pytest.mark.parametrize("crossing", [put("m2"), put("m2")[:20], b"*1\r\n$4\r\nPI", b"noise" * 9])
def test_bytes_that_cross_the_close_cause_no_reset_and_are_not_processed(crossing: bytes) -> None:
    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        client.send(put("m1"))
        await harness.wait_until(lambda: harness.carrier.sent)
        client.send(crossing)  # unread in the socket when the close begins
        harness.front.close()
        assert await harness.read_to_end(client) == OK, "the reply, then EOF"
        assert harness.carrier.sent == ["m1"]
        client.send(put("m3"))  # after the server has sent EOF
        client.close()
        await harness.wait_until(lambda: not harness.front.connections)
        assert harness.carrier.sent == ["m1"]

    run_scenario(scenario)


def test_commands_read_completely_are_answered_before_the_close() -> None:
    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        harness.store.holding = True
        count = channel.MAX_PENDING_COMMANDS + 20
        client.send(b"".join(put(f"m{i}", "note") for i in range(count)) + put("half")[:-3])
        await harness.wait_until(lambda: len(harness.store.pending) == channel.MAX_PENDING_COMMANDS)
        harness.front.close()
        while harness.store.pending or harness.store.holding:
            harness.store.release()
            await asyncio.sleep(0)
        lines = (await harness.read_to_end(client)).splitlines(keepends=True)
        assert len(lines) == count + 1 and all(line[:3] in (b"+OK", b"-BU") for line in lines[:count])
        assert lines[count] == BUSY, "its last bytes may have been on their way"
        client.close()

    run_scenario(scenario, max_open=500)


def test_idle_client_sees_eof_at_once() -> None:
    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        client.send(PING)
        assert await harness.loop.sock_recv(client, 100) == PONG
        harness.front.close()
        assert await harness.read_to_end(client) == b""
        client.close()
        await harness.wait_until(lambda: not harness.front.connections)

    run_scenario(scenario)


@pytest.mark.parametrize("sends", [False, True])
def test_client_that_never_closes_or_keeps_sending_is_reset(
    monkeypatch: pytest.MonkeyPatch, sends: bool
) -> None:
    monkeypatch.setattr(lingering_close, "LINGER_SECONDS", 30.0 if sends else 0.05)

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        harness.front.close()
        assert await harness.read_to_end(client) == b""
        if sends:
            with pytest.raises(ConnectionError):
                async with asyncio.timeout(5.0):
                    while True:
                        await harness.loop.sock_sendall(client, b"x" * 65536)
        await harness.wait_until(lambda: not harness.front.connections)

    run_scenario(scenario)


def test_client_that_reads_nothing_is_paused_and_closed_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(channel, "REPLY_SECONDS", 0.05)

    async def scenario(harness: Harness) -> None:
        client = await harness.client(receive_buffer=4096)
        server_side = next(iter(harness.front.connections.values()))
        assert server_side.transport is not None
        server_side.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        async with asyncio.timeout(5.0):
            while not server_side.write_paused:
                try:
                    client.send(PING * 512)
                except BlockingIOError:
                    pass
                await asyncio.sleep(0)
        assert server_side.transport.get_write_buffer_size() < 1 << 20
        harness.front.close()
        await harness.wait_until(lambda: not harness.front.connections)

    run_scenario(scenario)


def test_hundreds_of_pipelined_commands_are_each_answered() -> None:
    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        client.send(put("m0", "note") + b"".join(put(f"m{i}", "note", b"") for i in range(1, 600)))
        lines = b""
        while lines.count(b"\r\n") < 600:
            lines += await asyncio.wait_for(harness.loop.sock_recv(client, 65536), 5.0)
        assert lines.startswith(OK) and lines.count(b"-BUSY") >= 598

    run_scenario(scenario, max_open=1)


@pytest.mark.parametrize("stage", ["journaled", "promised"])
def test_unanswered_message_is_withdrawn_as_the_process_ends(stage: str) -> None:
    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        harness.store.holding = True
        client.send(put("m1"))
        await harness.wait_until(lambda: [fact for fact, _ in harness.store.pending] == [Fact.TAKEN])
        if stage == "promised":
            harness.store.release()  # the engine would process this in the next loop turn
        harness.front.close()
        for server_side in list(harness.front.connections.values()):
            server_side.refuse_unanswered()
        harness.store.release()
        assert await harness.read_to_end(client) == BUSY, "it may be submitted again"
        assert harness.carrier.sent == [] and harness.engine.ledger.open_count == 0
        assert harness.front.counts.taken == 0

    run_scenario(scenario)


def test_commands_of_a_disconnected_client_are_not_processed() -> None:
    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        harness.store.holding = True
        client.send(b"".join(put(f"m{i}", "note") for i in range(channel.MAX_PENDING_COMMANDS + 20)))
        await harness.wait_until(lambda: len(harness.store.pending) == channel.MAX_PENDING_COMMANDS)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        next(iter(harness.front.connections.values())).set_read_paused(False)
        client.close()
        await harness.wait_until(lambda: not harness.front.connections)
        harness.store.release()
        await asyncio.sleep(0.01)
        assert harness.carrier.sent == [] and harness.engine.ledger.open_count == 0

    run_scenario(scenario, max_open=500)


def test_connection_accepted_in_the_turn_of_the_close_is_not_served() -> None:
    async def scenario(harness: Harness) -> None:
        accepted = Connection(harness.front, harness.loop)
        harness.front.close()  # after the loop accepted it, before connection_made()
        ours, theirs = socket.socketpair()
        with ours:
            ours.setblocking(False)
            ours.send(put("m1"))
            await harness.loop.create_connection(lambda: accepted, sock=theirs)
            theirs.detach()  # the loop closes it; closed twice, it would end another test's descriptor
            with contextlib.suppress(ConnectionError):  # a reset is fine too: nothing was read
                assert await harness.read_to_end(ours) == b""
        assert harness.carrier.sent == [] and not harness.front.connections

    run_scenario(scenario)
