"""Senders are killed right behind the answer that takes a message on; see claim.txt."""

from __future__ import annotations

import asyncio
import os
import random
import select
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from cold2 import Figures, message_class, settings  # noqa: E402
from world2 import (  # noqa: E402
    TROUBLE,
    Call,
    CannotRun,
    Discovery,
    Endpoint,
    Record,
    Sender,
    free_port,
    new_id,
    reply,
    run,
    wall,
)

from brassweir.journal import frame  # noqa: E402
from brassweir.journal.records import Taken  # noqa: E402

FIGURES = Figures(0.29, 11000.0, 1.5, 2000.0, 200.0, 2.0, True, 1000.0)
SENDERS = 8
MESSAGES = 15  # at once, one a connection
LEFT_MS = 8000.0
KILL_WITHIN_SECONDS = 0.0006  # of the first +OK
SECONDS = 100.0 if TROUBLE else 25.0
BODY_BYTES = 65536
STRANGE = "nobodys-"  # begins the ids that stand in bodies, and that no client hands in


def body(source: random.Random) -> bytes:
    """Return a body: the bytes of a record as docs/journal-format.md describes it, again and again."""
    record = Taken(
        10**6 + source.randrange(10**6),
        "relay",
        f"{STRANGE}{source.randrange(10**9)}",
        "job-status",
        "3",
        "",
        wall() + LEFT_MS,
        "application/octet-stream",
        "",
        b"work that nobody handed in",
        b"n",
    )
    data = frame.encode_frame(10**6, record)
    return (data * (BODY_BYTES // len(data) + 1))[:BODY_BYTES]


def command(source: random.Random, content: bytes) -> tuple[str, bytes]:
    """Return the id and the bytes of a message that a client hands in."""
    ident = new_id(source)
    names = f"c=job-status,d={LEFT_MS:.0f},dest=3".encode()
    parts = (b"MSG.PUT", b"0" * 16, ident.encode(), names, content)
    return ident, b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


def hand_in(source: random.Random, port: int, pid: int) -> list[str]:
    """Hand messages in, and kill the sender right after its first answer. Returns their ids."""
    clients, idents = [], []
    content = body(source)
    for _ in range(MESSAGES):
        client = socket.create_connection(("127.0.0.1", port), 5.0)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        ident, data = command(source, content)
        client.sendall(data[:-1])
        clients.append(client)
        idents.append(ident)
    time.sleep(0.05)
    answers = select.epoll()
    for client in clients:
        answers.register(client, select.EPOLLIN)
    for client in clients:
        client.sendall(b"\n")
    answers.poll(0.4)
    if TROUBLE:
        until = time.perf_counter() + KILL_WITHIN_SECONDS * source.random()
        while time.perf_counter() < until:
            pass
        os.kill(pid, signal.SIGKILL)
    else:
        time.sleep(0.3)
    answers.close()
    for client in clients:
        client.close()
    return idents


async def case(record: Record, folder: Path) -> bool:
    """Run the case; return whether the rule was broken."""
    source = random.Random(6)
    handed_in: set[str] = set()
    strange: list[str] = []
    kills = 0

    async def serve(call: Call) -> bytes:
        if call.id.startswith(STRANGE):
            strange.append(call.id)
            record.say("s-1 call", call.id, "that no client handed in, body", call.body)
            return reply(400)
        return reply(200, "X-Backend-Load: x0=0.90,x1=400.0", body=call.id.encode())

    discovery = Discovery(record)
    endpoint = Endpoint("s-1", 3, serve, 400.0)
    await endpoint.start()
    discovery.entries[endpoint.uid] = endpoint.entry()
    await discovery.start()
    classes = [message_class("job-status", "pure", 4000.0, 12000.0)]
    senders = []
    for number in range(SENDERS):
        place = folder / f"n{number}"
        place.mkdir()
        config = {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{free_port()}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": f"{number + 1:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": discovery.whole(),
            "settings": settings(classes, FIGURES, 50, 400),
        }
        senders.append(Sender(place, config))
    end = time.monotonic() + SECONDS

    async def lead(sender: Sender) -> None:
        nonlocal kills
        port = int(sender.address.rpartition(":")[2])
        draw = random.Random(source.random())
        await sender.start()
        while time.monotonic() < end and not strange:
            assert sender.process is not None
            idents = await asyncio.to_thread(hand_in, draw, port, sender.process.pid)
            handed_in.update(idents)
            record.say(sender.config["name"], "got", *idents)
            if TROUBLE:
                await sender.killed()
                kills += 1
                record.say(sender.config["name"], "was killed")
                await asyncio.sleep(0.6)
                await sender.start()
                record.say(sender.config["name"], "is ready again")
            await asyncio.sleep(0.3)

    try:
        await asyncio.gather(*(lead(sender) for sender in senders))
    finally:
        for sender in senders:
            await sender.killed()
        discovery.stop()
        await endpoint.stop()
    ran = {call.id for call in endpoint.calls}
    record.say(f"{len(handed_in)} handed in, {len(ran & handed_in)} of them run, {kills} kills")
    record.say("run, and never handed in:", *sorted(ran - handed_in))
    if not ran & handed_in:
        raise CannotRun("no message was run")
    return bool(ran - handed_in)


run(case, Path(__file__).resolve().parent)
