"""Crossings in pool and limiter: a waiter's turn that it cannot use any more goes to the next one."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import pytest

from brassweir.net.client import CallFailed, Stage
from brassweir.net.connection import Connection
from tests.net.peers import LOOPS, OK, Scene, after, on, scene, until

Loop = Callable[[], asyncio.AbstractEventLoop]
both = pytest.mark.parametrize("loop", LOOPS)


async def hung_dial(at: Scene, number: int) -> asyncio.Event:
    """Hold up the next set-up to an endpoint until the event is set."""
    pool, free = at.pool(number), asyncio.Event()
    dial = pool._dial

    async def wait(loop: asyncio.AbstractEventLoop, connection: Connection) -> None:
        pool._dial = dial  # type: ignore[method-assign]
        await free.wait()
        await dial(loop, connection)

    pool._dial = wait  # type: ignore[method-assign]
    return free


def stand_still(seconds: float) -> Callable[[], None]:
    """A loop that does nothing until a time that is now so far away has come."""
    over = time.monotonic() + seconds
    return lambda: time.sleep(max(0.0, over - time.monotonic()) + 0.005)


@both
@pytest.mark.parametrize("leaves", ["is cancelled", "is out of time"])
def test_a_waiter_that_leaves_as_it_is_woken_passes_its_turn_on(loop: Loop, leaves: str) -> None:
    async def work() -> None:
        async with scene(cap=1, connect=1000.0) as at:
            at.call()
            end = await at.serve()
            second = at.call(seconds=0.3)
            still = stand_still(0.3)
            await until(lambda: len(at.pool().waiting) == 1)
            third = at.call()
            await until(lambda: len(at.pool().waiting) == 2)
            after(at.pool(), "_offer", second.cancel if leaves == "is cancelled" else still)
            end.write(OK)
            assert await end.request() == b"body", "the third's"
            end.write(OK)
            assert (await asyncio.wait_for(third, 0.5)).status == 200
            assert at.pool().made == 1

    on(loop, work())


@both
def test_one_that_leaves_as_room_comes_passes_it_on(loop: Loop) -> None:
    async def work() -> None:
        async with scene(3, budget=1, connect=1000.0) as at:
            at.call(0)
            end = await at.serve(0)
            second = at.call(1)
            await until(lambda: len(at.pools.rooms) == 1)
            third = at.call(2)
            await until(lambda: len(at.pools.rooms) == 2)
            after(at.pools, "_room", second.cancel)
            end.write(OK)
            (await at.serve(2)).write(OK)
            assert (await third).status == 200

    on(loop, work())


@both
def test_room_that_the_first_in_line_may_not_use_goes_to_one_that_may(loop: Loop) -> None:
    async def work() -> None:
        async with scene(
            3, budget=2, connect=1000.0
        ) as at:  # a further connection may have one, a first one two
            calls = [at.call(0), at.call(1)]
            ends = [await at.serve(0), await at.serve(1)]
            further = at.call(0)
            await until(lambda: len(at.pools.rooms) == 1)
            first = at.call(2)
            await until(lambda: len(at.pools.rooms) == 2)
            ends[1].close()
            (await at.serve(2)).write(OK)
            assert (await first).status == 200 and not calls[0].done()
            (await at.serve(0)).write(OK)  # the idle one gives way to it
            assert (await further).status == 200
            ends[0].write(OK)

    on(loop, work())


@both
def test_room_that_comes_while_another_call_is_about_to_take_the_free_connection_is_not_lost(
    loop: Loop,
) -> None:
    async def work() -> None:
        async with scene(3, cap=2, budget=3, connect=1000.0) as at:  # a further connection may be the second
            for number in (1, 2):
                await hung_dial(at, number)
            others = [at.call(1), at.call(2)]
            at.call(0)
            end = await at.serve(0)
            wishes = at.call(0)
            await until(lambda: len(at.pools.rooms) == 1)
            waits = at.call(0)
            await until(lambda: len(at.pool(0).waiting) == 1)
            after(at.pool(0), "_give_back", lambda: [one.cancel() for one in others])
            end.write(OK)
            await end.request()
            (await at.serve(0)).write(OK)  # one goes on the free connection, the other on one more
            end.write(OK)
            assert (await wishes).status == (await waits).status == 200

    on(loop, work())


@both
@pytest.mark.parametrize("spent", ["budget", "set-ups"])
def test_a_call_that_waits_to_connect_takes_its_pools_own_free_connection(loop: Loop, spent: str) -> None:
    async def work() -> None:
        budget, places = (1, 100) if spent == "budget" else (100, 1)
        async with scene(2, budget=budget, places=places, connect=1000.0) as at:
            at.call(0)
            end = await at.serve(0)
            free = await hung_dial(at, 1)
            if spent == "set-ups":
                at.call(1)
                await until(lambda: len(at.pools.setups.active) == 1)
            second = at.call(0)
            await until(lambda: at.pool(0).open == 2)
            end.write(OK)
            assert await asyncio.wait_for(end.request(), 0.5) == b"body"
            end.write(OK)
            assert (await second).status == 200 and at.pool(0).made == 1
            if spent == "set-ups":
                free.set()
                (await at.serve(1)).write(OK)

    on(loop, work())


@both
def test_one_that_leaves_as_its_set_up_may_begin_passes_the_place_on(loop: Loop) -> None:
    async def work() -> None:
        async with scene(3, places=1) as at:
            free = await hung_dial(at, 0)
            at.call(0)
            await until(lambda: len(at.pools.setups.active) == 1)
            second = at.call(1)
            await until(lambda: len(at.pools.turns) == 2)
            third = at.call(2)
            await until(lambda: len(at.pools.turns) == 3)
            after(at.pools, "_turn", second.cancel)
            free.set()
            (await at.serve(0)).write(OK)
            (await at.serve(2)).write(OK)
            assert (await third).status == 200

    on(loop, work())


@both
@pytest.mark.parametrize("when", ["as it comes up", "a moment before"])
def test_a_connection_that_comes_up_as_its_caller_leaves_counts_no_more(loop: Loop, when: str) -> None:
    async def work() -> None:
        async with scene() as at:
            task: asyncio.Task[Any]
            if when == "as it comes up":
                at.seam(lambda connection: after(connection, "connection_made", lambda: task.cancel()))
                task = at.call()
            else:
                pool, here = at.pool(), asyncio.get_running_loop()
                dial = pool._dial

                async def crossed(of: asyncio.AbstractEventLoop, connection: Connection) -> None:
                    before = asyncio.ensure_future(at.accept())
                    before.add_done_callback(lambda _: task.cancel())
                    await dial(here, connection)

                pool._dial = crossed  # type: ignore[assignment, method-assign]
                task = at.call()
            with pytest.raises(asyncio.CancelledError):
                await task

    on(loop, work())


@both
@pytest.mark.parametrize("greets", [False, True])
def test_a_connection_lost_during_its_set_up_counts_once(loop: Loop, greets: bool) -> None:
    async def work() -> None:
        async with scene() as at:

            def lost(connection: Connection) -> None:
                gone = asyncio.Event()
                after(connection, "connection_lost", gone.set)

                async def perform_handshake() -> None:
                    await gone.wait()
                    raise CallFailed(Stage.CONNECT, "closed during the handshake")

                if greets:
                    connection.perform_handshake = perform_handshake  # type: ignore[method-assign]
                after(connection, "connection_made", connection.drop)

            at.seam(lost)
            with pytest.raises(CallFailed) as caught:
                await at.call()
            assert caught.value.stage is Stage.CONNECT

    on(loop, work())


@both
def test_a_connection_lost_under_a_call_leaves_no_count_when_another_is_made_at_once(loop: Loop) -> None:
    async def work() -> None:
        async with scene(cap=1) as at:
            first = at.call(hold=1.0)
            end = await at.accept()
            await end.request(short=1)
            second = at.call()
            await until(lambda: len(at.pool().waiting) == 1)
            end.reset()
            (await at.serve()).write(OK)
            with pytest.raises(CallFailed):
                await first
            assert (await second).status == 200

    on(loop, work())
