"""A clump of messages, two on each kept connection; see claim.txt."""

from __future__ import annotations

import asyncio
import os
import random
import select
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

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
)

FIGURES = Figures(0.29, 11000.0, 1.5, 2000.0, 200.0, 2.0, True, 1000.0)
SOCKETS, MEMORY_MB = 256, 64
CLIENTS = SOCKETS // 3  # what clients hold at most for requests
BODY_BYTES = 65536
PATIENCE_SECONDS = 0.4
REASON = "too many unprocessed bytes"
LEFT_MS = 8000.0
ROUNDS = 20
APART_SECONDS = 0.004  # between two requests with TROUBLE=0


def command(ident: str, content: bytes) -> bytes:
    """Return the bytes of a message that a client hands in."""
    names = f"c=job-status,d={LEFT_MS:.0f},dest=3".encode()
    parts = (b"MSG.PUT", b"0" * 16, ident.encode(), names, content)
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


def answers_of(clients: list[socket.socket], patience: float) -> dict[int, str]:
    """Read one answer of each client; 'closed' or 'nothing' if there is none. Keys are places in the list."""
    found: dict[int, str] = {}
    ready = select.epoll()
    places = {client.fileno(): place for place, client in enumerate(clients)}
    for client in clients:
        ready.register(client, select.EPOLLIN)
    end = time.monotonic() + patience
    while len(found) < len(clients) and (left := end - time.monotonic()) > 0.0:
        for number, _ in ready.poll(left):
            place = places[number]
            try:
                line = clients[place].recv(200)
            except OSError as error:
                found[place] = f"closed ({error.strerror})"
            else:
                found[place] = line.decode("ascii", "replace").strip() or "closed"
            ready.unregister(number)
    ready.close()
    return {place: found.get(place, "nothing") for place in range(len(clients))}


def hand_in(record: Record, port: int, source: random.Random) -> tuple[int, int]:
    """Hand a small message in on each of new connections; then, at once, another small one and a large one.

    Returns how many connections had an answer to the former of these two, and how many were closed with none.
    """
    clients = []
    for _ in range(CLIENTS):
        client = socket.create_connection(("127.0.0.1", port), 5.0)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * BODY_BYTES)
        client.sendall(command(new_id(source), b"small"))
        clients.append(client)
    small = answers_of(clients, 2.0)
    record.say(sum(line[0] in "+-" for line in small.values()), "small messages were answered")
    if any(line[0] not in "+-" for line in small.values()):
        raise CannotRun("a small message was not answered")
    time.sleep(0.3)
    idents = [new_id(source) for _ in clients]
    seconds = [new_id(source) for _ in clients]
    data = [
        command(first, b"y" * 100) + command(second, os.urandom(BODY_BYTES))
        for first, second in zip(idents, seconds, strict=True)
    ]
    written = []
    began = time.monotonic()
    for client, request in zip(clients, data, strict=True):
        client.settimeout(0.02)
        try:
            client.sendall(request)
            written.append(True)
        except OSError:
            written.append(False)
        if not TROUBLE:
            time.sleep(APART_SECONDS)
    took = 1000.0 * (time.monotonic() - began)
    record.say(sum(written), f"pairs of requests are written to the last byte, in {took:.0f} ms")
    large = answers_of(clients, PATIENCE_SECONDS)
    lost = 0
    for place, ident in enumerate(idents):
        record.say("client", ident, "whole" if written[place] else "not whole", large[place])
        lost += written[place] and large[place].startswith("closed")
    for client in clients:
        client.close()
    return sum(line[0] in "+-" for line in large.values()), lost


async def case(record: Record, folder: Path) -> bool:
    """Run the case; return whether the rule was broken."""

    async def serve(call: Call) -> bytes:
        await asyncio.sleep(0.05)
        record.say("s-1 call", call.id)
        return reply(200, "X-Backend-Load: x0=0.90,x1=80.0", body=call.id.encode())

    discovery = Discovery(record)
    endpoint = Endpoint("s-1", 3, serve, 80.0)
    await endpoint.start()
    discovery.entries[endpoint.uid] = endpoint.entry()
    await discovery.start()
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "9",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS, "disk_mb": 3},
        "known": discovery.whole(),
        "settings": settings([message_class("job-status", "pure", 4000.0, 12000.0)], FIGURES, 50, 400),
    }
    sender = Sender(folder, config)
    source, answered, lost = random.Random(9), 0, 0
    try:
        await sender.start()
        port = int(sender.address.rpartition(":")[2])
        for number in range(ROUNDS):
            record.say("round", number + 1)
            more = await asyncio.to_thread(hand_in, record, port, source)
            answered, lost = answered + more[0], lost + more[1]
            await asyncio.sleep(3.0)
            if lost:
                break
        lines = [line for line in sender.log().splitlines() if REASON in line]
        record.say("the log has", len(lines), "lines of connections closed for it:", *lines[-1:])
    finally:
        await sender.killed()
        discovery.stop()
        await endpoint.stop()
    record.say(f"{answered} small messages were answered, {lost} connections closed with no answer")
    return lost > 0


run(case, Path(__file__).resolve().parent)
