"""Commands that were read are answered, however their connection comes to its end; each test forces one way."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from brassweir.lab.standins.relay_client import Client
from brassweir.resp import channel
from brassweir.resp.codec import BUSY, OK, PONG
from tests.resp.harness import PING, Harness, put
from tests.resp.test_closing import run_scenario


@pytest.mark.parametrize("place", ["parse", "submit"])
def test_a_fault_in_one_command_costs_no_other_its_reply(monkeypatch: pytest.MonkeyPatch, place: str) -> None:
    """Guards against an exception that aborts a connection with commands read and not answered."""

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        original = getattr(harness.front.submitter, place)

        def faulty(command: Any, *more: Any) -> Any:
            identity = command[2] if place == "parse" else command.identity.encode()
            if identity == b"bad":
                raise RuntimeError("a fault")
            return original(command, *more)

        monkeypatch.setattr(harness.front.submitter, place, faulty)
        client.send(put("m1") + put("bad") + put("m2"))
        lines = b""
        while lines.count(b"\r\n") < 3:
            lines += await asyncio.wait_for(harness.loop.sock_recv(client, 65536), 5.0)
        assert lines == OK + b"-ERR the command could not be processed\r\n" + OK

    run_scenario(scenario)


def test_client_that_half_closes_is_told_that_it_may_submit_again() -> None:
    """Guards against commands that were read and get no reply, since their client sends nothing more."""

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        harness.store.holding = True
        count = channel.MAX_PENDING_COMMANDS + 20
        client.send(b"".join(put(f"m{i}", "note") for i in range(count)))
        client.shutdown(socket.SHUT_WR)
        await harness.wait_until(lambda: harness.store.pending)
        harness.store.release()
        lines = (await harness.read_to_end(client)).splitlines(keepends=True)
        assert len(lines) == count and set(lines) <= {OK, BUSY}
        assert lines[-1] == BUSY

    run_scenario(scenario, max_open=500)


def test_expiry_spares_a_connection_whose_command_waits_in_the_socket() -> None:
    """Guards against a close over a command that arrived while the process was held."""

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        client.send(put("m1"))
        next(iter(harness.front.connections.values())).expire()  # before the loop has read
        assert await harness.loop.sock_recv(client, 100) == OK
        assert harness.front.counts.silenced == 0

    run_scenario(scenario)


def test_commands_read_behind_too_many_invalid_ones_are_answered() -> None:
    """Guards against commands thrown away as their connection closes for errors."""

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        client.send(Client.command(b"FLUSHALL") * 7 + put("m1") + PING + put("half")[:-3])
        await harness.wait_until(lambda: harness.front.connections)
        server_side = next(iter(harness.front.connections.values()))
        for _ in range(6):
            server_side.resume_after_error()
            await asyncio.sleep(0.005)
        lines = (await harness.read_to_end(client)).splitlines(keepends=True)
        assert [line[:5] for line in lines[:6]] == [b"-ERR "] * 6
        assert lines[6:] == [BUSY, BUSY, PONG, BUSY]

    run_scenario(scenario)


@pytest.mark.parametrize(("released", "reply"), [(True, BUSY), (False, b"-ERR the sender has ended\r\n")])
def test_a_stop_with_a_stalled_store_answers_every_command(released: bool, reply: bytes) -> None:
    """Guards against a process that ends with commands read and not answered."""

    async def scenario(harness: Harness) -> None:
        client = await harness.client()
        harness.store.holding = True
        client.send(put("m1") + put("m2") + put("half")[:-3])
        await harness.wait_until(lambda: len(harness.store.pending) == 2)
        closing = asyncio.ensure_future(harness.front.close_gracefully(0.1))
        await harness.wait_until(lambda: harness.front.counts.withdrawn)
        if released:
            harness.store.release()
        assert await harness.read_to_end(client) == reply * 2 + BUSY
        await closing
        assert harness.carrier.sent == []

    run_scenario(scenario)
