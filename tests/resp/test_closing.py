"""Bytes that come in the moment in which a client's connection is closed. Each test forces the crossing."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from brassweir.core.ports import Fact
from brassweir.resp import channel, connection
from brassweir.resp.codec import OK, PONG
from tests.conftest import run
from tests.resp.desk import PING, Desk, put

Day = Callable[[Desk], Awaitable[None]]


def play(day: Day, **settings: Any) -> None:
    async def whole() -> None:
        desk = await Desk(**settings).open()
        try:
            await day(desk)
        finally:
            desk.close()

    run(whole())


@pytest.mark.parametrize("crossing", [put("m2"), put("m2")[:20], b"*1\r\n$4\r\nPI", b"noise" * 9])
def test_what_comes_as_the_close_is_decided_resets_nothing_and_is_not_taken_up(crossing: bytes) -> None:
    async def day(desk: Desk) -> None:
        client = await desk.client()
        client.send(put("m1"))
        await desk.until(lambda: desk.carrier.sent)
        client.send(crossing)  # it lies in the socket, unread, as the close is decided
        desk.front.close()
        assert await desk.rest(client) == OK, "the answer, then a clean end"
        assert desk.carrier.sent == ["m1"]
        client.send(put("m3"))  # on a connection whose other side is shut
        client.close()
        await desk.until(lambda: not desk.front.connections)
        assert desk.carrier.sent == ["m1"]

    play(day)


def test_all_that_was_read_whole_is_answered_before_the_close() -> None:
    async def day(desk: Desk) -> None:
        client = await desk.client()
        desk.store.holding = True
        count = connection.MOST_OPEN + 20
        client.send(b"".join(put(f"m{i}", "note") for i in range(count)) + put("half")[:-3])
        await desk.until(lambda: len(desk.store.facts) == connection.MOST_OPEN)
        desk.front.close()
        while desk.store.facts or desk.store.holding:
            desk.store.let_go()
            await asyncio.sleep(0)
        lines = (await desk.rest(client)).splitlines()
        assert len(lines) == count and all(line[:3] in (b"+OK", b"-BU") for line in lines)
        client.close()

    play(day, max_open=500)


def test_a_client_that_rests_until_we_end_sees_a_clean_end_at_once() -> None:
    async def day(desk: Desk) -> None:
        client = await desk.client()
        client.send(PING)
        assert await desk.loop.sock_recv(client, 100) == PONG
        desk.front.close()
        assert await desk.rest(client) == b""
        client.close()
        await desk.until(lambda: not desk.front.connections)

    play(day)


@pytest.mark.parametrize("sends", [False, True])
def test_one_that_never_closes_or_never_stops_is_reset_after_a_while(
    monkeypatch: pytest.MonkeyPatch, sends: bool
) -> None:
    monkeypatch.setattr(channel, "LINGER", 30.0 if sends else 0.05)

    async def day(desk: Desk) -> None:
        client = await desk.client()
        desk.front.close()
        assert await desk.rest(client) == b""
        if sends:
            with pytest.raises(ConnectionError):
                async with asyncio.timeout(5.0):
                    while True:
                        await desk.loop.sock_sendall(client, b"x" * 65536)
        await desk.until(lambda: not desk.front.connections)

    play(day)


def test_a_client_that_reads_nothing_is_read_no_more_and_its_end_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(channel, "LINGER", 0.05)

    async def day(desk: Desk) -> None:
        client = await desk.client(receive=4096)
        one = next(iter(desk.front.connections.values()))
        assert one.transport is not None
        one.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        async with asyncio.timeout(5.0):
            while not one.choked:
                try:
                    client.send(PING * 512)
                except BlockingIOError:
                    pass
                await asyncio.sleep(0)
        assert one.transport.get_write_buffer_size() < 1 << 20
        desk.front.close()
        await desk.until(lambda: not desk.front.connections)

    play(day)


def test_hundreds_of_commands_at_once_are_each_answered_also_where_each_is_refused() -> None:
    async def day(desk: Desk) -> None:
        client = await desk.client()
        client.send(put("m0", "note") + b"".join(put(f"m{i}", "note", b"") for i in range(1, 600)))
        lines = b""
        while lines.count(b"\r\n") < 600:
            lines += await asyncio.wait_for(desk.loop.sock_recv(client, 65536), 5.0)
        assert lines.startswith(OK) and lines.count(b"-BUSY") >= 598

    play(day, max_open=1)


@pytest.mark.parametrize("until", ["journaled", "promised"])
def test_what_nobody_heard_is_taken_on_is_given_back_as_the_process_ends(until: str) -> None:
    async def day(desk: Desk) -> None:
        client = await desk.client()
        desk.store.holding = True
        client.send(put("m1"))
        await desk.until(lambda: [fact for fact, _ in desk.store.facts] == [Fact.TAKEN])
        if until == "promised":
            desk.store.let_go()  # the module hears of it in the next turn, which does not come any more
        desk.front.close()
        desk.front.withdraw_unanswered()
        desk.store.let_go()
        await asyncio.sleep(0.01)
        assert desk.carrier.sent == [] and desk.engine.ledger.open_count == 0
        assert desk.front.counts.taken == 0

    play(day)


def test_a_client_that_leaves_with_whole_commands_unread_has_none_of_them_taken_up() -> None:
    async def day(desk: Desk) -> None:
        client = await desk.client()
        desk.store.holding = True
        client.send(b"".join(put(f"m{i}", "note") for i in range(connection.MOST_OPEN + 20)))
        await desk.until(lambda: len(desk.store.facts) == connection.MOST_OPEN)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        next(iter(desk.front.connections.values())).pause(False)
        client.close()
        await desk.until(lambda: not desk.front.connections)
        desk.store.let_go()
        await asyncio.sleep(0.01)
        assert desk.carrier.sent == [] and desk.engine.ledger.open_count == 0

    play(day, max_open=500)


def test_one_accepted_in_the_turn_of_the_close_is_not_served_any_more() -> None:
    async def day(desk: Desk) -> None:
        made = connection.Connection(desk.front, desk.loop)
        desk.front.close()  # between the loop's accepting it and telling of it
        ours, theirs = socket.socketpair()
        with ours:
            ours.setblocking(False)
            ours.send(put("m1"))
            await desk.loop.create_connection(lambda: made, sock=theirs)
            with contextlib.suppress(ConnectionError):  # it was never read, so a reset says so too
                assert await desk.rest(ours) == b""
        assert desk.carrier.sent == [] and not desk.front.connections

    play(day)
