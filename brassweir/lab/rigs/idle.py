"""Very many idle destinations beside a few busy ones: one sender, one emulator, open-loop load."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import resource
import time
from pathlib import Path
from typing import Any

from brassweir.config.load import load
from brassweir.config.model import Config
from brassweir.core.identity import delivery_id
from brassweir.core.ports import Answer, FinalAnswer, Payload, Submission
from brassweir.lab.judges.tape import (
    Answered,
    HandIn,
    Published,
    Tape,
)
from brassweir.lab.rigs.idle_judge import Seen, judge_run
from brassweir.lab.rigs.idle_setup import KEY, Plan, Quiet, publish, rss, write
from brassweir.lab.rigs.load import Arrivals, draw
from brassweir.lab.standins import hooks
from brassweir.net.client import Address, HttpPool
from brassweir.net.headers import Headers
from brassweir.net.limits import Limits
from brassweir.service.process import SenderProcess

KEYS = 16  # of each destination: messages of one key go one at a time
LOOK = 0.001  # seconds between two looks at the loop's delay


async def play(plan: Plan, folder: Path) -> dict[str, Any]:
    """Start everything, carry the load, and report."""
    total = plan.mix.busy + plan.mix.idle
    process, port = hooks.start(total, KEY, plan.service, plan.strikes, plan.seed)
    try:
        return await _play(plan, folder, port, total)
    finally:
        process.kill()
        process.join(5.0)


async def _play(plan: Plan, folder: Path, port: int, total: int) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    settings = write(folder, plan, port)
    gc.collect()
    before = rss()
    sender = SenderProcess(load(settings, Config), folder, Quiet())
    begun = time.perf_counter()
    await sender.start()
    await asyncio.sleep(0.1)
    list_took = time.perf_counter() - begun - 0.1
    gc.collect()
    loaded = rss()
    seen = Seen()
    right = sender.pools.report_shortage

    def short() -> None:
        seen.short += 1
        right()

    sender.pools.report_shortage = short  # type: ignore[method-assign]

    arrivals = draw(plan.mix, plan.seed)
    plain = HttpPool(Address.parse(f"http://127.0.0.1:{port}/begin"), Limits(), 1, 1000.0, 1000.0)
    await plain.post(Headers(), b"", loop.time() + 5.0)
    watch = loop.create_task(_stalls(seen))
    seen.tape.add(Published(time.time(), {f"hook-{i}-a": "ready" for i in range(total)}))
    swaps = [
        loop.create_task(_swap(at, folder, plan, port, int(share * plan.mix.idle), seen.tape))
        for at, share in plan.lists
    ]
    swaps += [loop.create_task(_shortage(*one, seen)) for one in plan.shortages]
    used = time.process_time()
    await _offer(sender, arrivals, seen, loop)
    spent = time.process_time() - used
    watch.cancel()
    for swap in swaps:
        swap.cancel()
    reader = HttpPool(
        Address.parse(f"http://127.0.0.1:{port}/report"), Limits(body_bytes=500_000_000), 1, 1000.0, 1000.0
    )
    report = json.loads((await reader.post(Headers(), b"", loop.time() + 30.0)).body)
    budget = sender.pools.budget
    tree = {
        "destinations": total,
        "messages": len(arrivals.at),
        "answers": dict(seen.answers),
        "receivers": {k: v for k, v in report.items() if k not in ("seen", "tape", "began")},
        "busy_ms": seen.busy.tree(),
        "first_ms": seen.first.tree(),
        "loop_delay_ms": seen.stalls.tree(),
        "list_seconds": round(list_took, 3),
        "bytes_per_destination": round((loaded - before) / total),
        "cpu_ms_per_message": round(spent / len(arrivals.at) * 1000, 3),
        "descriptor_shortages_met": seen.short,
        "connections": {"open": budget.open, "gave_way": budget.evictions, "budget": budget.max_connections},
        **judge_run(plan, seen, report),
    }
    for pool in (plain, reader):
        pool.close_idle()
    await sender.drain()
    return tree


async def _offer(
    sender: SenderProcess, arrivals: Arrivals, seen: Seen, loop: asyncio.AbstractEventLoop
) -> None:
    """Hand each message in at its time, whatever became of those before, and wait for the last answer."""
    start = loop.time() + 0.2
    numbers = sender.endpoints.numbers.listed
    left = len(arrivals.at)
    done = loop.create_future()
    classes = ("status", "order", "payment")
    payloads = {name: Payload("text/plain", name.encode()) for name in classes}

    def submit(index: int, intended: float, destination: int, busy: bool) -> None:
        nonlocal left
        name, identity = classes[index % 3], f"m{index}"
        deadline = sender.engine.ledger.classes[name].deadline / 1000.0
        told = False
        ident, key = (
            delivery_id("office", identity),
            f"{destination} {index % KEYS}" if name == "order" else "",
        )
        seen.tape.add(
            HandIn(time.time(), "office", "idle", ident, ident, name, key, f"hook-{destination}", 0, deadline)
        )

        def waiter(answer: FinalAnswer) -> None:
            nonlocal left, told
            assert not told, "the engine answered twice"
            told = True
            took = loop.time() - intended
            seen.tape.add(Answered(time.time(), "office", ident, ident, answer.answer.value, 0))
            seen.answers[answer.answer.value] += 1
            if answer.answer is Answer.DELIVERED:
                (seen.busy if busy else seen.first).add(took)
            left -= 1
            if not left and not done.done():
                done.set_result(None)

        sender.engine.submit(
            Submission(
                "office",
                identity,
                name,
                numbers[f"hook-{destination}"],
                deadline * 1000.0,
                key,
                payload=payloads[name],
            ),
            waiter,
        )

    times, to, kinds = arrivals.at.tolist(), arrivals.destination.tolist(), arrivals.busy.tolist()
    for index, (at, destination, busy) in enumerate(zip(times, to, kinds, strict=True)):
        intended = start + at
        pause = intended - loop.time()
        if pause > 0:
            await asyncio.sleep(pause)
        submit(index, intended, destination, busy)
    async with asyncio.timeout(30.0):
        await done


async def _shortage(at: float, left: int, span: float, seen: Seen) -> None:
    """For a time the system gives this process no more than so many descriptors beyond those open now."""
    await asyncio.sleep(at)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    # The limit is on numbers, and the lowest free one is given: so many free ones are to lie below it.
    taken = {int(name) for name in os.listdir("/proc/self/fd")}
    limit = free = 0
    while free < left:
        free += limit not in taken
        limit += 1
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(soft, limit), hard))
    try:
        await asyncio.sleep(span)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def _stalls(seen: Seen) -> None:
    loop = asyncio.get_running_loop()
    while True:
        before = loop.time()
        await asyncio.sleep(LOOK)
        seen.stalls.add(loop.time() - before - LOOK)


async def _swap(at: float, folder: Path, plan: Plan, port: int, replaced: int, tape: Tape) -> None:
    await asyncio.sleep(at)
    busy, idle = plan.mix.busy, plan.mix.idle
    await asyncio.to_thread(publish, folder, busy, idle, port, replaced)
    tape.add(
        Published(
            time.time(),
            {f"hook-{i}-{'b' if busy <= i < busy + replaced else 'a'}": "ready" for i in range(busy + idle)},
        )
    )
