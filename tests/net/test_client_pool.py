"""Connections of the client's pools: kept, used again, waited for, and not trusted where their peer has said too much."""

from __future__ import annotations

import asyncio

import pytest

from brassweir.net.client import CallFailed, HttpPool, Reply, Stage
from brassweir.net.headers import Headers
from tests.conftest import run
from tests.net.peers import LOOPS, OK, on, scene, until
from tests.net.raw_peer import answering, ok, post, request, with_peer


def test_connections_are_kept_used_again_and_closed_when_idle() -> None:
    async def work(pool: HttpPool) -> object:
        for _ in range(3):
            await post(pool)
        assert (pool.made, pool.calls, pool.open) == (1, 3, 1)
        await asyncio.sleep(0.25)
        assert (pool.open, len(pool.idle)) == (0, 0)
        await post(pool)
        assert pool.made == 2 and pool.close_idle() == 1
        await asyncio.sleep(0.02)
        return pool.open

    assert run(with_peer(answering(ok(), ok(), ok()), work, idle=150.0)) == 0


def test_a_connection_closed_by_the_peer_while_idle_is_not_used() -> None:
    async def work(pool: HttpPool) -> object:
        await post(pool)
        await asyncio.sleep(0.05)  # the peer closes after one answer
        reply = await post(pool)
        return pool.made, reply.status

    assert run(with_peer(answering(ok()), work)) == (2, 200)


def test_the_cap_holds_calls_wait_their_turn_and_give_up_in_time() -> None:
    async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await request(reader)
            await asyncio.sleep(0.2)
            writer.write(ok())

    async def work(pool: HttpPool) -> object:
        results = await asyncio.gather(*(post(pool) for _ in range(8)), return_exceptions=True)
        good = [one for one in results if isinstance(one, Reply)]
        bad = [one for one in results if isinstance(one, CallFailed)]
        assert all(one.stage is Stage.CONNECT and one.timed_out for one in bad)
        return pool.made, len(good), len(bad), len(pool.waiting)

    assert run(with_peer(slow, work, cap=2)) == (2, 4, 4, 0)


def test_bytes_nobody_asked_for_end_the_connection() -> None:
    async def chatty(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await request(reader)
        writer.write(ok() + ok(b"unasked"))
        await reader.read()

    async def work(pool: HttpPool) -> object:
        reply = await post(pool)
        await asyncio.sleep(0.05)
        return reply.body, pool.open

    assert run(with_peer(chatty, work)) == (b"fine", 0)


def test_a_call_that_was_given_up_does_not_go_out_once_a_connection_is_free() -> None:
    seen: list[bytes] = []

    async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            seen.append(await request(reader))
            await asyncio.sleep(0.2)
            writer.write(ok())

    async def work(pool: HttpPool) -> None:
        loop = asyncio.get_running_loop()
        first = asyncio.ensure_future(post(pool))
        await asyncio.sleep(0.05)
        with pytest.raises(CallFailed) as caught:  # it is listened to for long, and must be written by then
            await pool.post(Headers(), b"late", loop.time() + 5.0, loop.time() + 0.05)
        assert caught.value.stage is Stage.CONNECT and caught.value.timed_out
        await first
        with pytest.raises(CallFailed):  # a free connection, and no time left
            await pool.post(Headers(), b"late", loop.time() + 5.0, loop.time())
        assert (await post(pool)).status == 200
        assert seen == [b"body", b"body"]

    run(with_peer(slow, work, cap=1))


@pytest.mark.parametrize("hold", [0.0, 0.005])
def test_the_last_byte_is_asked_for_again_and_stays_back_where_a_call_may_not_begin_any_more(
    hold: float,
) -> None:
    """A call begins with its last byte: a repeat whose key's window ends while it is held back must not."""
    came = bytearray()

    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(1000):
            came.extend(data)
            if came.endswith(b"body"):
                writer.write(ok())

    async def work(pool: HttpPool) -> object:
        says, until = iter([True, False]), asyncio.get_running_loop().time() + 1.0
        try:
            return (await pool.post(Headers(), b"body", until, until, lambda: next(says), hold)).status
        except CallFailed as failed:
            return failed.stage, pool.users

    found = run(with_peer(peer, work))
    assert found == ((Stage.CONNECT, 0) if hold else 200)
    assert came.endswith(b"bod") if hold else came.endswith(b"body")


def test_the_idle_limit_met_exactly_is_over() -> None:
    async def work() -> None:
        async with scene() as at:
            at.call()
            end = await at.serve()
            end.write(OK)
            await until(lambda: bool(at.pool().idle))
            connection = at.pool().idle[0]
            assert connection.fresh(connection.stale_at - 0.001) and not connection.fresh(connection.stale_at)

    on(LOOPS[0], work())
