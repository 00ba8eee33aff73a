"""A sender meets an outage with one message, and a clump of messages at the return; see claim.txt."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from cold2 import Cold, Figures, message_class, settings  # noqa: E402
from world2 import (  # noqa: E402
    TROUBLE,
    Call,
    CannotRun,
    Client,
    Discovery,
    Endpoint,
    HandIn,
    Record,
    Sender,
    free_port,
    new_id,
    reply,
    run,
)

FIGURES = Figures(0.26, 12000.0, 1.5, 1500.0, 100.0, 1.0, False, 1500.0)
CAPACITY = 34.0  # of the destination, calls a second
RATE = 3.0  # messages a second for it, before the outage
OTHER_RATE = 50.0  # for another one
OUTAGE_SECONDS = 9.0
CLUMP = int(3.0 * CAPACITY)
STATUS_MS, ORDER_MS = 5000.0, 16000.0


async def other(call: Call) -> bytes:
    """Serve a call of the other destination."""
    await asyncio.sleep(0.08)
    return reply(200, body=call.id.encode())


async def case(record: Record, folder: Path) -> bool:
    """Run the case; return whether the rule was broken."""
    source = random.Random(6)
    discovery = Discovery(record)
    cold = Cold("s-cold", 3, CAPACITY, FIGURES, record)
    well = Endpoint("s-well", 4, other, 80.0)
    for endpoint in (cold, well):
        await endpoint.start()
        discovery.entries[endpoint.uid] = endpoint.entry()
    await discovery.start()
    classes = [
        message_class("status-notice", "pure", 1000.0, STATUS_MS),
        {**message_class("capacity-order", "side_effect", 2500.0, ORDER_MS), "Sequential": True},
    ]
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "5a17",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": discovery.whole(),
        "settings": settings(classes, FIGURES, 27, 700, SecondCopies=False, RetryAfter=False, MaxAttempts=6),
    }
    sender = Sender(folder, config)
    clients: list[Client] = []
    running: set[asyncio.Task[None]] = set()

    async def hand_in(destination: int, name: str = "status-notice") -> None:
        client = clients.pop() if clients else Client(config["listen"])
        one = HandIn(new_id(source), name, destination, STATUS_MS if name == "status-notice" else ORDER_MS)
        await client.put(one, key=new_id(source) if name == "capacity-order" else "0" * 16)
        record.say("client", one.id, name, "to", destination, one.line or "no answer")
        clients.append(client)

    async def traffic(destination: int, rate: float) -> None:
        while True:
            await asyncio.sleep(source.expovariate(rate))
            task = asyncio.create_task(hand_in(destination))
            running.add(task)
            task.add_done_callback(running.discard)

    try:
        await sender.start()
        flow = asyncio.create_task(traffic(4, OTHER_RATE))
        few = asyncio.create_task(traffic(3, RATE))
        await asyncio.sleep(5.0)
        few.cancel()
        await asyncio.sleep(1.0)
        if TROUBLE:
            cold.hang()
        await asyncio.sleep(2.0)
        await hand_in(3, "capacity-order")
        await asyncio.sleep(OUTAGE_SECONDS - 2.0)
        if TROUBLE:
            cold.back()
        await asyncio.sleep(0.3)
        record.say("a clump of", CLUMP, "messages")
        await asyncio.gather(*(hand_in(3) for _ in range(CLUMP)))
        await asyncio.sleep(6.0)
        flow.cancel()
    finally:
        await sender.killed()
        discovery.stop()
        await cold.stop()
        await well.stop()
    record.say(f"most calls in {FIGURES.tip_ms:.0f} ms: {cold.most[0]}, {cold.most[1]:.1f} allowed")
    if TROUBLE and not cold.met_outage:
        raise CannotRun("the sender did not meet the outage")
    return cold.fallen


run(case, Path(__file__).resolve().parent)
