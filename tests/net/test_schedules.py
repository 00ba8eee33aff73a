"""Random schedules of calls, cancellations, faults and responses over a pool manager.

No call may wait while a connection or capacity is free, and all counters must return to zero.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import Phase, example, given, settings
from hypothesis import strategies as st

from brassweir.net.connection import Connection
from brassweir.net.pool import ResourceShortage
from tests.net.peers import LOOPS, OK, EndpointConnection, Rig, after_next_call, open_rig, run_on

ENDPOINTS, SHORT_SECONDS = 3, 0.008  # SHORT_SECONDS: time limit of calls that time out
RESPONSES = {
    "whole": OK,
    "twice": OK + OK,
    "a line": b"HTTP/1.1 200 OK\r\n",
    "half a line": b"HTTP/1.1 2",
    "noise": b"\0\r\n",
    "interim": b"HTTP/1.1 100 Go on\r\n\r\n",
    "last": b"HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
}
METHODS = ("_wake_waiter", "_wake_waiter", "_wake_budget_waiters", "_start_setups", "_count_closed")
SETUP_FAULTS = ("short", "refused", "lost as it comes up", "left as it comes up")

number, index = st.sampled_from([0, 0, 0, 1, 2]), st.integers(0, 4)  # mostly endpoint 0, so that calls wait
call = st.tuples(
    st.just("call"), number, st.sampled_from([False, False, True]), st.sampled_from([0.0, 0.002])
)
answer = st.tuples(st.just("answer"), index, st.sampled_from(["whole", "whole", *sorted(RESPONSES)]))
steps = st.lists(
    st.one_of(
        call,
        call,
        call,
        answer,
        answer,
        answer,
        *[st.tuples(st.just("turns"), st.integers(1, 12))] * 2,
        st.tuples(st.just("cancel"), index),
        st.tuples(st.just("cross"), st.sampled_from(METHODS), number, index),
        st.tuples(st.just("leave"), index, st.booleans()),
        st.tuples(st.just("spoil"), number, st.sampled_from(SETUP_FAULTS)),
        st.tuples(st.just("crowd"), number),
        st.tuples(st.just("crossed"), st.sampled_from(METHODS), number, index),
        st.tuples(st.just("stand still")),
        st.tuples(st.just("look")),
    ),
    min_size=15,
    max_size=40,
)

REGRESSION_SCHEDULE: list[Any] = [  # budget offered to a pool whose idle connection another call then takes
    ("call", 1, False, 0.002),
    ("crowd", 0),
    ("cross", "_wake_budget_waiters", 1, 0),
    ("crossed", "_wake_waiter", 0, 1),
    ("crowd", 0),
    ("answer", 2, "whole"),
    ("crowd", 0),
    ("answer", 2, "twice"),
    ("cross", "_wake_budget_waiters", 1, 0),
    ("answer", 0, "whole"),
    ("look",),
]


class ScheduleRunner:
    """Executes the steps of a schedule; the loop turns only where a step says so."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.peers: list[EndpointConnection] = []

    def open_calls(self) -> list[asyncio.Task[object]]:
        return [task for task in self.rig.tasks if not task.done()]

    def cancel(self, index: int) -> None:
        """Cancels one of the open calls."""
        if calls := self.open_calls():
            calls[index % len(calls)].cancel()

    async def let_loop_turn(self, times: int) -> None:
        for _ in range(times):
            await asyncio.sleep(0)
        for queue in self.rig.accepted:
            while not queue.empty():
                self.peers.append(queue.get_nowait())

    def cancel_after_next_call(self, method: str, number: int, index: int) -> None:
        """Cancels an open call right after the next call of ``method``."""
        target = (
            self.rig.pools if method in ("_wake_budget_waiters", "_start_setups") else self.rig.pool(number)
        )
        after_next_call(target, method, lambda: self.cancel(index))

    def fail_next_setup(self, number: int, fault: str) -> None:
        """Makes the next connection attempt to an endpoint fail."""
        pool = self.rig.pool(number)
        dial = pool._dial

        async def faulty_dial(loop: asyncio.AbstractEventLoop, connection: Connection) -> None:
            pool._dial = dial  # type: ignore[method-assign]
            if fault == "short":
                raise ResourceShortage
            if fault == "refused":
                raise ConnectionRefusedError(111, "refused")
            task = asyncio.current_task()
            assert task is not None
            after_next_call(
                connection,
                "connection_made",
                connection.drop if fault == "lost as it comes up" else task.cancel,
            )
            await dial(loop, connection)

        pool._dial = faulty_dial  # type: ignore[method-assign]

    async def check_no_lost_wakeup(self) -> None:
        """Fails if a call waits while a connection or capacity is free."""
        await self.let_loop_turn(30)
        pools, now = self.rig.pools, asyncio.get_running_loop().time()
        for pool in pools.pools.values():
            has_idle = any(connection.is_available(now) for connection in pool.idle)
            has_waiter = any(not waiter.done() for waiter in pool.waiters)
            assert not (has_waiter and (has_idle or pool.open < pool.max_connections)), (
                "a call waits although its pool has a free connection or capacity"
            )
            assert not (has_idle and any(not waiter.done() for waiter in pool.limiter_waiters)), (
                "a set-up waits although its pool has a free connection"
            )
        budget = pools.budget
        for turn, url in pools.budget_waiters.items():
            limit = (
                budget.max_connections
                if pools.pools[url].open == 1
                else max(1, int(budget.max_connections * 0.9))
            )
            assert turn.done() or budget.open >= limit, (
                "a connection request waits although the budget has capacity"
            )
        assert pools.setups.active or all(waiter.done() for waiter in pools.setup_waiters.values()), (
            "a set-up waits although a slot is free"
        )
        assert all(holder.busy >= 0 for holder in budget.holders.values())

    async def step(self, kind: str, *args: object) -> None:
        """Executes one step."""
        self.peers = [peer for peer in self.peers if not peer.writer.transport.is_closing()]
        selected = (
            self.peers[int(str(args[0])) % len(self.peers)]
            if kind in ("answer", "leave") and self.peers
            else None
        )
        match kind, args:
            case "call", (int(number), bool(short), float(hold_seconds)):
                self.rig.call(number, SHORT_SECONDS if short else 1.0, hold_seconds)
            case "answer", (_, str(response)) if selected is not None:
                selected.write(RESPONSES[response])
            case "leave", (_, bool(cleanly)) if selected is not None:
                selected.close() if cleanly else selected.reset()
            case "cancel", (int(index),):
                self.cancel(index)
            case "cross", (str(method), int(number), int(index)):
                self.cancel_after_next_call(method, number, index)
            case "crowd", (int(number),):
                for _ in range(3):
                    self.rig.call(number)
                await self.let_loop_turn(20)
            case "crossed", (str(method), int(number), int(index)):
                self.cancel_after_next_call(method, number, index)
                for peer in self.peers:
                    peer.write(OK)
                await self.check_no_lost_wakeup()
            case "spoil", (int(number), str(fault)):
                self.fail_next_setup(number, fault)
            case "stand still", _:
                time.sleep(SHORT_SECONDS)
            case "turns", (int(times),):
                await self.let_loop_turn(times)
            case "look", _:
                await self.check_no_lost_wakeup()

    async def finish(self) -> None:
        """Cancels half of the calls and answers the others."""
        await self.check_no_lost_wakeup()
        for task in self.rig.tasks[::2]:
            task.cancel()
        while self.open_calls():
            await self.let_loop_turn(5)
            for peer in self.peers:
                if not peer.writer.transport.is_closing():
                    peer.write(OK)
            await asyncio.sleep(0.001)


@pytest.mark.parametrize("loop", LOOPS)
# No shrinking: with real sockets the same schedule may run differently.
@settings(max_examples=80, deadline=None, phases=[Phase.explicit, Phase.generate])
@given(
    max_connections=st.sampled_from([1, 1, 2, 3]),
    budget=st.sampled_from([1, 2, 2, 3, 6]),
    setups=st.integers(1, 2),
    steps=steps,
)
@example(max_connections=2, budget=3, setups=2, steps=REGRESSION_SCHEDULE)
def test_any_schedule(
    loop: Callable[[], asyncio.AbstractEventLoop],
    max_connections: int,
    budget: int,
    setups: int,
    steps: list[Any],
) -> None:
    async def work() -> None:
        errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        async with open_rig(
            ENDPOINTS, max_connections=max_connections, connect_ms=60.0, budget=budget, setups=setups
        ) as rig:
            runner = ScheduleRunner(rig)
            for step in steps:
                await runner.step(*step)
            await runner.finish()
        assert not errors

    run_on(loop, work())
