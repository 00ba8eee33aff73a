"""Targets of 40% of the traffic lower their limits for 27 s; clients hand in again what was refused."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque
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
    message_class,
    wall,
)
from standins import Call, Discovery, Endpoint, answer, put

DISK_MB = 3  # as in the example of DEPLOY.md
BODY = 140  # bytes of a message; PROTOCOL.md: 64 KiB at most
RATE = 110.0  # messages a second handed in for the first time; DAYS.md: up to 120
TARGETS = 10  # each gets a tenth of the traffic
STRUCK = 4  # of them; MORE.md: targets that get up to 40% of the traffic
WORK_S = (0.10, 0.26)  # time of a call
LOWERED = 0.34  # x the usual limit; MORE.md: 33 to 66%
FROM_S, LENGTH_S, END_S = 8.0, 27.0, 100.0  # MORE.md: for 14 to 28 s
TRIES, BACKOFF_S = 4, 0.5  # MORE.md: again up to 3 times, after a wait


class Limits:
    """What each target takes a second, all its calls together."""

    def __init__(self) -> None:
        self.usual = 1.2 * RATE / TARGETS
        self.lowered = False
        self.tokens = [self.usual] * TARGETS
        self.at = [wall()] * TARGETS

    def take(self, target: int) -> bool:
        """Take one call, or none if the target is over its limit."""
        now = wall()
        rate = self.usual * (LOWERED if self.lowered and target < STRUCK else 1.0)
        self.tokens[target] = min(
            max(1.0, rate), self.tokens[target] + (now - self.at[target]) * rate / 1000.0
        )
        self.at[target] = now
        if self.tokens[target] < 1.0:
            return False
        self.tokens[target] -= 1.0
        return True


class Clients:
    """Clients that keep their connections, and open more when all are busy."""

    def __init__(self, sender: Sender, record: Record) -> None:
        self.sender, self.record, self.random = sender, record, random.Random(7)
        self.free: deque[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = deque()
        self.said: Counter[tuple[int, str]] = Counter()  # by ten seconds and answer
        self.number = self.first_tries = 0

    async def ask(self, data: bytes) -> bytes:
        """Hand one message in; a connection that was closed at rest is replaced once."""
        for _ in range(2):
            kept = bool(self.free)
            reader, writer = (
                self.free.pop() if kept else await asyncio.open_connection("127.0.0.1", self.sender.port)
            )
            writer.write(data)
            try:
                async with asyncio.timeout(0.4):
                    line = await reader.readline()
            except (TimeoutError, ConnectionError):
                line = b""
            if line:
                self.free.append((reader, writer))
                return line
            writer.close()
            if not kept:
                break
        return b""

    async def message(self, began: float) -> None:
        """Hand in one message, and again after each refusal, up to TRIES in all."""
        self.first_tries += 1
        dest = self.first_tries % TARGETS
        name = self.random.choices(("image-events", "quota-orders", "member-charges"), (59, 22, 19))[0]
        repeat_key = f"{self.random.getrandbits(64):016x}"
        ordered, until = name == "quota-orders", wall() + 12000.0
        order_key = f"{1 + self.random.randrange(500):016x}" if ordered else "0" * 16
        for number in range(TRIES):
            left = until - wall()
            if left <= 0:
                return
            self.number += 1
            ident = f"{self.number:016x}"
            more = (f",k={repeat_key}" if ordered else "") + (",r=1" if number else "")
            line = await self.ask(put(ident, name, dest, left, b"x" * BODY, more, order_key))
            word = "taken" if line[:1] == b"+" else "busy" if line.startswith(b"-BUSY") else "other"
            self.said[int((wall() - began) / 10000.0), word] += 1
            self.record.note(
                "handed in", ident, name, "dest", dest, "try", number, word, line.decode().strip()
            )
            if word != "busy":
                return
            told = float(line.split()[1]) / 1000.0 if len(line.split()) > 1 else 0.0
            await asyncio.sleep(max(told, BACKOFF_S) * self.random.uniform(1.0, 1.3))


async def case(record: Record) -> int:
    """Play the case; the rule is broken once the folder holds more than disk_mb, or the sender ends."""
    limits = Limits()
    work = random.Random(3)

    async def serve(endpoint: Endpoint, call: Call, writer: asyncio.StreamWriter) -> None:
        if limits.take(endpoint.destination):
            await asyncio.sleep(work.uniform(*WORK_S))
            endpoint.run(call, writer)
        else:
            record.note("over the limit", endpoint.uid, call.id)
            writer.write(answer(503))

    endpoints = [Endpoint(f"s-{i:08x}", i, serve, record, limits.usual) for i in range(TARGETS)]
    for endpoint in endpoints:
        await endpoint.start()
    discovery = Discovery(record, endpoints)
    await discovery.start()
    classes = [
        message_class("image-events", "pure", 2500.0, 12000.0),
        message_class("quota-orders", "token", 4000.0, 12000.0, 15000.0, in_order=True),
        message_class("member-charges", "side_effect", 2500.0, 12000.0),
    ]
    config = configuration(
        discovery.port,
        discovery.whole(),
        {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": DISK_MB},
        classes,
        max_open=int(RATE * 8),
        slots=int(2 * RATE * sum(WORK_S) / 2),
        allowed={"RetryAfter": False},
        rules={"DrainGrace": 500.0, "TipMultiple": 2.5, "TipAfter": 3000.0, "StartCapacity": 0.13},
    )
    sender = Sender(record, config)
    clients, tasks = Clients(sender, record), set[asyncio.Task[None]]()
    try:
        await sender.start()
        began = wall()
        largest, due, shown = 0, 0.0, 0.0
        while (now := (wall() - began) / 1000.0) < END_S:
            limits.lowered = TROUBLE and FROM_S <= now < FROM_S + LENGTH_S
            while due <= now:
                task = asyncio.create_task(clients.message(began))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                due += 1.0 / RATE
            held = sender.disk_bytes()
            largest = max(largest, held)
            if now >= shown:
                record.say(
                    f"{now:5.1f} s: the folder holds {held} bytes of {DISK_MB * 1024 * 1024};",
                    "said in these ten seconds:",
                    {word: count for (ten, word), count in clients.said.items() if ten == int(now / 10)},
                )
                shown += 5.0
            if sender.process is None or sender.process.returncode is not None:
                record.say("the sender ended by itself")
                return BROKEN
            if held > DISK_MB * 1024 * 1024:
                record.say(
                    f"{now:.1f} s: the folder holds {held} bytes, over disk_mb: the sender has crashed"
                )
                return BROKEN
            await asyncio.sleep(0.02)
        if not clients.said[0, "taken"]:
            raise CaseError("nothing was taken on")
        record.say("most in the folder:", largest)
        return HELD
    finally:
        record.say("said, by ten seconds:", dict(sorted(clients.said.items())))
        for task in tasks:
            task.cancel()
        await sender.close()


finish(Path(__file__).parent, case)
