"""A sender is restarted while a destination that was out comes back; see claim.txt."""

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
    wall,
)

FIGURES = Figures(0.29, 11000.0, 1.5, 2000.0, 200.0, 2.0, True, 1000.0)
CAPACITY = 34.0  # of the destination, calls a second
RATE = 31.0  # messages a second for it
OTHER_RATE = 40.0  # for another one
OUTAGE_SECONDS = 8.5
LEFT_MS = 12000.0


async def other(call: Call) -> bytes:
    """Serve a call of the other destination."""
    await asyncio.sleep(0.15)
    return reply(200, "X-Backend-Load: x0=0.90,x1=80.0", body=call.id.encode())


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
        message_class("job-status", "pure", 4000.0, LEFT_MS),
        message_class("job-order", "token", 3000.0, LEFT_MS, LEFT_MS),
        message_class("fee-payment", "side_effect", 3000.0, LEFT_MS),
    ]
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "5a17",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": discovery.whole(),
        "settings": settings(classes, FIGURES, 50, 400),
    }
    sender = Sender(folder, config)
    clients: list[Client] = []
    running: set[asyncio.Task[None]] = set()

    async def hand_in(destination: int) -> None:
        client = clients.pop() if clients else Client(config["listen"])
        name = source.choices(["job-status", "job-order", "fee-payment"], [5, 3, 2])[0]
        one = HandIn(new_id(source), name, destination, LEFT_MS)
        token = new_id(source) if name == "job-order" else ""
        await client.put(one, token=token)
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
        flows = [asyncio.create_task(traffic(3, RATE)), asyncio.create_task(traffic(4, OTHER_RATE))]
        await asyncio.sleep(4.0)
        cold.shut(wall() + 1000.0 * OUTAGE_SECONDS)
        await asyncio.sleep(OUTAGE_SECONDS)
        cold.back()
        before = len(cold.ran)
        while len(cold.ran) == before:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.5)
        if TROUBLE:
            record.say("the sender is killed")
            await sender.killed()
            await asyncio.sleep(0.6)
            await sender.start()
            record.say("the sender is ready again")
        await asyncio.sleep(8.0)
        for flow in flows:
            flow.cancel()
    finally:
        await sender.killed()
        discovery.stop()
        await cold.stop()
        await well.stop()
    record.say(f"most calls in {FIGURES.tip_ms:.0f} ms: {cold.most[0]}, {cold.most[1]:.1f} allowed")
    if not cold.met_outage:
        raise CannotRun("the sender did not meet the outage")
    return cold.fallen


run(case, Path(__file__).resolve().parent)
