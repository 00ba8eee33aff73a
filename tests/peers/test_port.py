"""Ports on loopback in one process: views, messages, bad datagrams, reloads, keys."""

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

KEY, NEXT = b"a key of these tests", b"another key of these"


def ports(many: int) -> list[int]:
    """Free ports of loopback."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(many)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    numbers = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return numbers


def run(play: Callable[[list[Copy]], Coroutine[Any, Any, None]], many: int = 3) -> None:
    copies = [Copy(f"c{at}", f"s{at}", "r1", f"127.0.0.1:{port}") for at, port in enumerate(ports(many))]
    asyncio.run(asyncio.wait_for(play(copies), 20))


async def until(true: Callable[[], bool], seconds: float = 8.0) -> None:
    """Wait for it."""
    for _ in range(int(seconds * 50)):
        if true():
            return
        await asyncio.sleep(0.02)
    assert true()


def test_three_copies_see_one_die_and_come_back() -> None:
    async def play(copies: list[Copy]) -> None:
        a, b, c = [PeerPort(copy.name, copies, [KEY], seed=1) for copy in copies]
        changes: list[tuple[str, str]] = []
        a.on_change.append(lambda name, state: changes.append((name, state)))
        for port in (a, b, c):
            await port.start()
        await asyncio.sleep(0.5)
        assert c.transport is not None
        c.transport.abort()  # killed: it says nothing, and its closed port answers with errors
        c.transport = None
        await until(lambda: a.view().states["c2"] == b.view().states["c2"] == "dead")
        assert a.view().states["c1"] == "alive" and ("c2", "dead") in changes
        again = PeerPort("c2", copies, [KEY], seed=2)
        await again.start()
        await until(lambda: a.view().states["c2"] == b.view().states["c2"] == "alive")
        await again.stop()  # says so itself: no suspicion is needed
        await until(lambda: a.view().states["c2"] == "dead", 0.5)
        for port in (a, b):
            await port.stop()
        assert a.send("c1", "log", b"") is False and a.counts["unsent_closed"] == 1

    run(play)


def test_messages_are_handed_out_and_nothing_bad_ends_the_port() -> None:
    async def play(copies: list[Copy]) -> None:
        a, b = PeerPort("c0", copies, [KEY]), PeerPort("c1", copies, [KEY])
        got: list[tuple[str, bytes]] = []

        def handler(sender: str, body: bytes) -> None:
            got.append((sender, body))
            if body == b"trip":
                raise RuntimeError("a handler's fault")

        b.on("log", handler)
        with pytest.raises(ValueError):
            b.on("live", handler)
        faults: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
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
        await until(lambda: len(got) == 2 and b.counts["dropped_large"] == 1)
        assert (
            got[0] == ("c0", b"x" * MAX_BODY_BYTES) and b.counts["handler_errors"] == 1 and len(faults) == 1
        )
        assert b.counts["dropped_version"] >= 1 and b.view().states["c0"] == "alive"
        await a.stop()
        await b.stop()

    run(play, 2)


def test_copies_and_keys_change_one_copy_at_a_time() -> None:
    async def play(copies: list[Copy]) -> None:
        a, b = PeerPort("c0", copies[:2], [KEY]), PeerPort("c1", copies, [KEY])
        c = PeerPort("c2", copies, [KEY])
        for port in (a, b, c):
            await port.start()
        await until(lambda: a.counts["dropped_stranger"] > 0)
        assert b.view().states == {"c0": "alive", "c2": "alive"}
        with pytest.raises(CopiesError):
            a.reload(copies[1:])
        a.reload(copies)
        for ring in ([KEY, NEXT], [NEXT, KEY], [NEXT]):  # opened by all, then sealing, then alone
            for port in (a, b, c):
                port.reload(copies, ring)
                await asyncio.sleep(0.1)
        await asyncio.sleep(0.5)
        for port in (a, b, c):
            assert set(port.view().states.values()) == {"alive"} and port.counts["dropped_seal"] == 0
        for port in (a, b, c):
            await port.stop()

    run(play)


def test_a_loop_that_stands_still_doubts_itself() -> None:
    async def play(copies: list[Copy]) -> None:
        a, b = PeerPort("c0", copies, [KEY]), PeerPort("c1", copies, [KEY])
        await a.start()
        await b.start()
        await asyncio.sleep(0.3)
        time.sleep(1.0)  # both: they share the loop
        await asyncio.sleep(0.05)
        assert a.view().self_suspected and a.view().states["c1"] == "alive"
        await until(lambda: not a.view().self_suspected)
        await a.stop()
        await b.stop()

    run(play, 2)


def test_a_timer_that_fires_a_moment_early_is_set_again() -> None:
    async def play(copies: list[Copy]) -> None:
        port = PeerPort(copies[0].name, copies, [KEY], seed=1)
        await port.start()
        fired, wake = port._timer, port._wake
        assert fired is not None
        fired.cancel()
        port._now = lambda: wake - 0.6  # type: ignore[method-assign]
        port._due()
        assert port._timer is not None and port._timer is not fired
        await port.stop()

    run(play)
