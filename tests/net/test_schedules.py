"""Drawn schedules over pools and limiter on loopback: whatever is begun, cancelled, cut or answered at any moment, nobody
waits beside what is free, and at the end nothing is counted."""

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
from tests.net.peers import LOOPS, OK, End, Scene, after, on, scene

ENDPOINTS, HURRY = 3, 0.008  # HURRY: seconds that a hurried call has
SAID = {
    "whole": OK,
    "twice": OK + OK,
    "a line": b"HTTP/1.1 200 OK\r\n",
    "half a line": b"HTTP/1.1 2",
    "noise": b"\0\r\n",
    "interim": b"HTTP/1.1 100 Go on\r\n\r\n",
    "last": b"HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
}
SEAMS = ("_offer", "_offer", "_room", "_turn", "_closed")
SPOILT = ("short", "refused", "lost as it comes up", "left as it comes up")

number, which = st.sampled_from([0, 0, 0, 1, 2]), st.integers(0, 4)  # crowded, so that calls wait
call = st.tuples(
    st.just("call"), number, st.sampled_from([False, False, True]), st.sampled_from([0.0, 0.002])
)
answer = st.tuples(st.just("answer"), which, st.sampled_from(["whole", "whole", *sorted(SAID)]))
steps = st.lists(
    st.one_of(
        call,
        call,
        call,
        answer,
        answer,
        answer,
        *[st.tuples(st.just("turns"), st.integers(1, 12))] * 2,
        st.tuples(st.just("cancel"), which),
        st.tuples(st.just("cross"), st.sampled_from(SEAMS), number, which),
        st.tuples(st.just("leave"), which, st.booleans()),
        st.tuples(st.just("spoil"), number, st.sampled_from(SPOILT)),
        st.tuples(st.just("crowd"), number),
        st.tuples(st.just("crossed"), st.sampled_from(SEAMS), number, which),
        st.tuples(st.just("stand still")),
        st.tuples(st.just("look")),
    ),
    min_size=15,
    max_size=40,
)

BESIDE: list[Any] = [  # the wish of a pool with a free connection that another call of it then took
    ("call", 1, False, 0.002),
    ("crowd", 0),
    ("cross", "_room", 1, 0),
    ("crossed", "_offer", 0, 1),
    ("crowd", 0),
    ("answer", 2, "whole"),
    ("crowd", 0),
    ("answer", 2, "twice"),
    ("cross", "_room", 1, 0),
    ("answer", 0, "whole"),
    ("look",),
]


class Run:
    """Steps of callers, peers and the system; the loop turns only where a step says so."""

    def __init__(self, at: Scene) -> None:
        self.at = at
        self.ends: list[End] = []

    def open(self) -> list[asyncio.Task[object]]:
        return [task for task in self.at.tasks if not task.done()]

    def cancel(self, which: int) -> None:
        """A caller goes."""
        if waiting := self.open():
            waiting[which % len(waiting)].cancel()

    async def turns(self, times: int) -> None:
        for _ in range(times):
            await asyncio.sleep(0)
        for queue in self.at.came:
            while not queue.empty():
                self.ends.append(queue.get_nowait())

    def cross(self, seam: str, number: int, which: int) -> None:
        """A caller goes in the very turn in which this happens next."""
        of = self.at.pools if seam in ("_room", "_turn") else self.at.pool(number)
        after(of, seam, lambda: self.cancel(which))

    def spoil(self, number: int, how: str) -> None:
        """The next set-up to an endpoint goes wrong."""
        pool = self.at.pool(number)
        dial = pool._dial

        async def spoilt(loop: asyncio.AbstractEventLoop, connection: Connection) -> None:
            pool._dial = dial  # type: ignore[method-assign]
            if how == "short":
                raise ResourceShortage
            if how == "refused":
                raise ConnectionRefusedError(111, "refused")
            task = asyncio.current_task()
            assert task is not None
            after(
                connection,
                "connection_made",
                connection.drop if how == "lost as it comes up" else task.cancel,
            )
            await dial(loop, connection)

        pool._dial = spoilt  # type: ignore[method-assign]

    async def look(self) -> None:
        """Once all is quiet, nobody waits beside what is free."""
        await self.turns(30)
        pools, now = self.at.pools, asyncio.get_running_loop().time()
        for pool in pools.pools.values():
            fresh = any(one.fresh(now) for one in pool.idle)
            waits = any(not one.done() for one in pool.waiting)
            assert not (waits and (fresh or pool.open < pool.max_connections)), (
                "a call beside its own pool's connection"
            )
            assert not (fresh and any(not one.done() for one in pool.entering)), (
                "a set-up beside a free connection"
            )
        budget = pools.budget
        for turn, url in pools.rooms.items():
            most = (
                budget.max_connections
                if pools.pools[url].open == 1
                else max(1, int(budget.max_connections * 0.9))
            )
            assert turn.done() or budget.open >= most, "a wish beside room in the budget"
        assert pools.setups.active or all(one.done() for one in pools.turns.values()), (
            "a set-up beside a free place"
        )
        assert all(one.busy >= 0 for one in budget.holders.values())

    async def step(self, kind: str, *given: object) -> None:
        """One step of a schedule."""
        self.ends = [end for end in self.ends if not end.writer.transport.is_closing()]
        one = (
            self.ends[int(str(given[0])) % len(self.ends)]
            if kind in ("answer", "leave") and self.ends
            else None
        )
        match kind, given:
            case "call", (int(number), bool(hurried), float(hold)):
                self.at.call(number, HURRY if hurried else 1.0, hold)
            case "answer", (_, str(said)) if one is not None:
                one.write(SAID[said])
            case "leave", (_, bool(well)) if one is not None:
                one.close() if well else one.reset()
            case "cancel", (int(which),):
                self.cancel(which)
            case "cross", (str(seam), int(number), int(which)):
                self.cross(seam, number, which)
            case "crowd", (int(number),):
                for _ in range(3):
                    self.at.call(number)
                await self.turns(20)
            case "crossed", (str(seam), int(number), int(which)):
                self.cross(seam, number, which)
                for end in self.ends:
                    end.write(OK)
                await self.look()
            case "spoil", (int(number), str(how)):
                self.spoil(number, how)
            case "stand still", _:
                time.sleep(HURRY)
            case "turns", (int(times),):
                await self.turns(times)
            case "look", _:
                await self.look()

    async def finish(self) -> None:
        """Some callers go, the others are answered."""
        await self.look()
        for task in self.at.tasks[::2]:
            task.cancel()
        while self.open():
            await self.turns(5)
            for end in self.ends:
                if not end.writer.transport.is_closing():
                    end.write(OK)
            await asyncio.sleep(0.001)


@pytest.mark.parametrize("loop", LOOPS)
@settings(
    max_examples=80, deadline=None, phases=[Phase.explicit, Phase.generate]
)  # real sockets: a schedule is told as it was drawn
@given(
    cap=st.sampled_from([1, 1, 2, 3]),
    budget=st.sampled_from([1, 2, 2, 3, 6]),
    places=st.integers(1, 2),
    steps=steps,
)
@example(cap=2, budget=3, places=2, steps=BESIDE)
def test_any_schedule(
    loop: Callable[[], asyncio.AbstractEventLoop], cap: int, budget: int, places: int, steps: list[Any]
) -> None:
    async def work() -> None:
        wrong: list[object] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: wrong.append(context))
        async with scene(ENDPOINTS, cap=cap, connect=60.0, budget=budget, places=places) as at:
            run = Run(at)
            for one in steps:
                await run.step(*one)
            await run.finish()
        assert not wrong

    on(loop, work())
