"""Ports on loopback in one process: views, messages, invalid datagrams, reloads and changes of keys."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from brassweir.peers.copies import CopiesError, Copy
from brassweir.peers.envelope import MAX_BODY_BYTES
from brassweir.peers.port import PeerPort

KEY, NEXT_KEY = b"a key of these tests", b"another key of these"


def free_ports(count: int) -> list[int]:
    """Free UDP ports on loopback."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    numbers = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return numbers


def run(scenario: Callable[[list[Copy]], Coroutine[Any, Any, None]], count: int = 3) -> None:
    copies = [
        Copy(f"c{number}", f"s{number}", "r1", f"127.0.0.1:{port}")
        for number, port in enumerate(free_ports(count))
    ]
    asyncio.run(asyncio.wait_for(scenario(copies), 20))


async def until(condition: Callable[[], bool], seconds: float = 8.0) -> None:
    """Wait until the condition holds, or fail."""
    for _ in range(int(seconds * 50)):
        if condition():
            return
        await asyncio.sleep(0.02)
    assert condition()


def test_a_death_and_a_return_are_seen() -> None:
    async def scenario(copies: list[Copy]) -> None:
        a, b, c = [PeerPort(copy.name, copies, [KEY], seed=1) for copy in copies]
        changes: list[tuple[str, str]] = []
        a.on_change.append(lambda name, state: changes.append((name, state)))
        for port in (a, b, c):
            await port.start()
        await asyncio.sleep(0.5)
        assert c.transport is not None
        c.transport.abort()  # as if killed: sends nothing more, and its closed port answers with errors
        c.transport = None
        await until(lambda: a.view().states["c2"] == b.view().states["c2"] == "dead")
        assert a.view().states["c1"] == "alive" and ("c2", "dead") in changes
        again = PeerPort("c2", copies, [KEY], seed=2)
        await again.start()
        await until(lambda: a.view().states["c2"] == b.view().states["c2"] == "alive")
        await again.stop()  # it announces its end: no suspicion is needed
        await until(lambda: a.view().states["c2"] == "dead", 0.5)
        for port in (a, b):
            await port.stop()
        assert a.send("c1", "log", b"") is False and a.counts["unsent_closed"] == 1

    run(scenario)


def test_messages_reach_handlers_and_invalid_ones_do_not_end_the_port() -> None:
    async def scenario(copies: list[Copy]) -> None:
        a, b = PeerPort("c0", copies, [KEY]), PeerPort("c1", copies, [KEY])
        received: list[tuple[str, bytes]] = []

        def handler(sender: str, body: bytes) -> None:
            received.append((sender, body))
            if body == b"trip":
                raise RuntimeError("an error in a handler")

        b.on("log", handler)
        with pytest.raises(ValueError):
            b.on("live", handler)
        errors: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: errors.append(context))
        await a.start()
        await b.start()
        assert a.send("c1", "log", b"x" * MAX_BODY_BYTES) and a.send("c1", "log", b"trip")
        assert not a.send("c1", "log", b"x" * (MAX_BODY_BYTES + 1)) and not a.send("c9", "log", b"")
        assert (
            not a.send("c0", "log", b"") and a.counts["unsent_unknown"] == 2 and a.counts["unsent_large"] == 1
        )
        assert a.transport is not None
        for noise in (b"", b"\x01", b"\xff" * 2_000, b"x" * 20_000):
            a.transport.sendto(noise, b.listen)
        await until(lambda: len(received) == 2 and b.counts["dropped_large"] == 1)
        assert (
            received[0] == ("c0", b"x" * MAX_BODY_BYTES)
            and b.counts["handler_errors"] == 1
            and len(errors) == 1
        )
        assert b.counts["dropped_version"] >= 1 and b.view().states["c0"] == "alive"
        await a.stop()
        await b.stop()

    run(scenario, 2)


def test_copies_and_keys_are_replaced_one_copy_at_a_time() -> None:
    async def scenario(copies: list[Copy]) -> None:
        a, b = PeerPort("c0", copies[:2], [KEY]), PeerPort("c1", copies, [KEY])
        c = PeerPort("c2", copies, [KEY])
        for port in (a, b, c):
            await port.start()
        await until(lambda: a.counts["dropped_stranger"] > 0)
        assert b.view().states == {"c0": "alive", "c2": "alive"}
        with pytest.raises(CopiesError):
            a.reload(copies[1:])
        a.reload(copies)
        for keys in ([KEY, NEXT_KEY], [NEXT_KEY, KEY], [NEXT_KEY]):  # accepted by all, then used, then alone
            for port in (a, b, c):
                port.reload(copies, keys)
                await asyncio.sleep(0.1)
        await asyncio.sleep(0.5)
        for port in (a, b, c):
            assert set(port.view().states.values()) == {"alive"} and port.counts["dropped_seal"] == 0
        for port in (a, b, c):
            await port.stop()

    run(scenario)


def test_a_copy_whose_event_loop_stalls_suspects_itself() -> None:
    async def scenario(copies: list[Copy]) -> None:
        a, b = PeerPort("c0", copies, [KEY]), PeerPort("c1", copies, [KEY])
        await a.start()
        await b.start()
        await asyncio.sleep(0.3)
        time.sleep(1.0)  # stalls both, which share the event loop
        await asyncio.sleep(0.05)
        assert a.view().self_suspected and a.view().states["c1"] == "alive"
        await until(lambda: not a.view().self_suspected)
        await a.stop()
        await b.stop()

    run(scenario, 2)


def test_a_timer_that_fires_early_is_set_again() -> None:
    async def scenario(copies: list[Copy]) -> None:
        port = PeerPort(copies[0].name, copies, [KEY], seed=1)
        await port.start()
        timer, wake_at = port._timer, port._wake_at
        assert timer is not None
        timer.cancel()
        port._now = lambda: wake_at - 0.6  # type: ignore[method-assign]
        port._timer_fired()
        assert port._timer is not None and port._timer is not timer
        await port.stop()

    run(scenario)
