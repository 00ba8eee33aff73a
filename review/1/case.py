"""Some good answers come twice, the second copy right behind, over a network whose delay varies."""

from __future__ import annotations

import asyncio
import os
import random
from collections import Counter
from pathlib import Path

from running import (
    BROKEN,
    HELD,
    TROUBLE,
    CaseError,
    Record,
    Sender,
    configuration,
    finish,
    free_port,
    message_class,
    wall,
)
from standins import Call, Discovery, Endpoint, answer, put

ONE_WAY_S = float(os.environ.get("ONE_WAY", "45")) / 1000.0  # landshut-ops, same_ms: 15 to 45
JITTER = float(os.environ.get("JITTER", "0.29"))  # landshut-ops, jitter: 0.091 to 0.29
COPIES = float(os.environ.get("COPIES", "0.1"))  # share of the answers that come twice
CLASSES, SHARES = ("sale-booking", "terminal-status", "refund-order"), (70, 16, 14)
TARGETS, SECONDS = 5, 80.0
CLUMP, CLUMP_EVERY_S = 14, 0.4  # messages for one partner at once
LIMIT, SPAN_MS = 14, 1000.0  # calls that a partner takes in each span, from all senders together
DEADLINE_MS = 10000.0  # DAYS.md: no deadline is more than 12 s
SLACK_MS = 350.0  # PROTOCOL.md: 300 ms after its time, and every time limit is 50 ms longer


class Link:
    """A proxy in front of an endpoint: passes each piece on after the network's delay, in order."""

    def __init__(self, target: Endpoint, rng: random.Random) -> None:
        self.target, self.rng, self.port = target, rng, 0

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._connected, "127.0.0.1", free_port())
        self.server, self.port = server, int(server.sockets[0].getsockname()[1])

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target.port)
        except OSError:
            return writer.transport.abort()
        await asyncio.gather(self._pass(reader, far_writer), self._pass(far_reader, writer))
        return None

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop, last = asyncio.get_running_loop(), 0.0

        def deliver(data: bytes) -> None:
            if data:
                writer.write(data)
            else:
                writer.close()

        while True:
            try:
                data = await reader.read(1 << 16)
            except ConnectionError:
                data = b""
            # Later than the piece before, so that pieces keep their order.
            last = max(last + 1e-6, loop.time() + ONE_WAY_S * self.rng.uniform(1.0 - JITTER, 1.0 + JITTER))
            loop.call_at(last, deliver, data)
            if not data:
                return


async def case(record: Record) -> int:
    """Play the case, and judge what was taken on by what endpoints, clients and the platform saw."""
    rng, seconds = random.Random(5), 0.0
    delivered: Counter[str] = Counter()
    spans: Counter[tuple[int, int]] = Counter()

    async def serve(endpoint: Endpoint, call: Call, writer: asyncio.StreamWriter) -> None:
        span = endpoint.destination, int(wall() / SPAN_MS)
        refused = spans[span] >= LIMIT
        spans[span] += not refused
        if not refused:
            await asyncio.sleep(rng.uniform(0.05, 0.15))
            endpoint.ran.append(call.id)
        record.note("ran" if not refused else "turned away, 503", endpoint.uid, call.id)
        delivered[call.id] += not refused
        writer.write(answer(503 if refused else 200))
        if TROUBLE and rng.random() < COPIES:
            await asyncio.sleep(0.0005)  # a packet of its own, right behind; nothing else waits here
            record.note("second copy of the answer to", call.id)
            writer.write(answer(503 if refused else 200))

    endpoints = [Endpoint(f"s-{i:08x}", i, serve, record, 60.0) for i in range(TARGETS)]
    for endpoint in endpoints:
        await endpoint.start()
    links = [Link(endpoint, rng) for endpoint in endpoints]
    for link in links:
        await link.start()
    discovery = Discovery(record, endpoints)
    for endpoint, link in zip(endpoints, links, strict=True):
        endpoint.listed_port = link.port
    await discovery.start()
    classes = [
        message_class("sale-booking", "token", 4000.0, DEADLINE_MS, 20000.0),
        message_class("terminal-status", "pure", 3000.0, DEADLINE_MS),
        message_class("refund-order", "side_effect", 2500.0, DEADLINE_MS),
    ]
    config = configuration(
        discovery.port,
        discovery.whole(),
        {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        classes,
        max_open=200,
        slots=16,
        allowed={"ConnectTimeout": 1500.0, "RetryAfter": False, "SecondCopies": False},
        rules={"DrainGrace": 1000.0, "StartCapacity": 0.31},
    )
    sender = Sender(record, config)
    try:
        await sender.start()
        taken: dict[str, tuple[str, float]] = {}
        number = 0

        async def client(target: int, names: list[str]) -> None:
            nonlocal number
            reader, writer = await asyncio.open_connection("127.0.0.1", sender.port)
            for name in names:
                number += 1
                ident, until = f"{number:016x}", wall() + DEADLINE_MS
                key = f",k={rng.getrandbits(64):016x}" if name == "sale-booking" else ""
                writer.write(put(ident, name, target, DEADLINE_MS, b"x" * 212, key))
                try:
                    line = await asyncio.wait_for(reader.readline(), 0.4)
                except (TimeoutError, ConnectionError):
                    line = b""
                record.note("handed in", ident, name, "dest", target, line.decode().strip())
                if line.startswith(b"+"):
                    taken[ident] = name, until
                if not line:
                    break  # not heard to be taken on: counts for nothing
            writer.close()

        clients = []
        while seconds < SECONDS:
            names = rng.choices(CLASSES, SHARES, k=CLUMP)
            clients.append(asyncio.create_task(client(rng.randrange(TARGETS), names)))
            await asyncio.sleep(CLUMP_EVERY_S)
            seconds += CLUMP_EVERY_S
        await asyncio.gather(*clients)
        await asyncio.sleep((DEADLINE_MS + SLACK_MS) / 1000.0 + 0.5)
        ended = {notice["ref"]: at for at, notice in discovery.notices}
        ran = Counter(ident for endpoint in endpoints for ident in endpoint.ran)
        lost = [
            ident for ident, (_, until) in taken.items()
            if not delivered[ident] and ended.get(ident, float("inf")) > until + SLACK_MS
        ]  # fmt: skip
        twice = [ident for ident, (name, _) in taken.items() if name == "refund-order" and ran[ident] > 1]
        for ident in lost:
            record.note("LOST", ident, *taken[ident], "no 200 was written for it, and no notice came")
        for ident in twice:
            record.note("RAN TWICE", ident, "refund-order must never take effect twice; ran", ran[ident])
        record.say(
            "taken on", len(taken), "delivered", sum(map(bool, delivered.values())), "notices", len(ended)
        )
        record.say("lost:", len(lost), "ran twice though unsafe:", len(twice), lost[:3], twice[:3])
        if not taken:
            raise CaseError("nothing was taken on")
        return BROKEN if lost or twice else HELD
    finally:
        await sender.close()


finish(Path(__file__).parent, case)
