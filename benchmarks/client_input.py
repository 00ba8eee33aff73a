"""What the input of clients costs a `node` process: CPU a message, longest wait of a PING, memory under a flood.

One process of the program, with an endpoint and a discovery agent as stand-ins, over loopback. Figures of one run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import tempfile
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from brassweir.lab.rigs.handle import SenderHandle, free_port
from brassweir.lab.standins.discovery import Discovery
from brassweir.lab.standins.platform import Endpoint
from brassweir.lab.standins.relay_client import Client

BODY_SIZES = (100, 1_000, 16_000, 65_536)  # bytes
MESSAGES = 1_500
CLIENTS = 8
RATE = 150.0  # messages a second
PROBE_SECONDS = 0.002  # between two PINGs that measure how long the event loop is held
MEMORY_MB = (32, 64, 192)
SOCKETS = (256, 1024)
CLIENT_SHARE = 0.6  # of the descriptors, as the program gives clients
FLOOD_SECONDS = 2.0
PARTIAL_BYTES = 60_000
FLOOD_BYTES = 200_000
CLASS = {"Name": "note", "Objective": 1500.0, "HardLimit": 6000.0, "Idempotency": "pure", "Group": "all"}
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class Price:
    """Figures of one body size."""

    body_bytes: int
    accepted: int
    refused: int
    cpu_us: float  # a message
    longest_ping_ms: float


@dataclass(frozen=True)
class Memory:
    """Resident memory of one configuration; all in MB."""

    flood: str
    memory_mb: int
    sockets: int
    clients: int
    before: float
    during_flood: float


class NodeHandle(SenderHandle):
    """A `node` process with its configuration in a directory of its own."""

    def command(self) -> list[str]:
        """What is started."""
        return [*super().command()[:3], "node"]

    def environment(self) -> dict[str, str]:
        """Its variables."""
        state = self.settings.parent / "state"
        state.mkdir(exist_ok=True)
        return {**super().environment(), "RELAY_CONFIG": str(self.settings), "RELAY_STATE": str(state)}

    def cpu_seconds(self) -> float:
        """Return the CPU time that it has used."""
        assert self.process is not None
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND

    def resident_mb(self) -> float:
        """Return its resident memory."""
        assert self.process is not None
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024.0


def configuration(port: int, discovery: Discovery, memory_mb: int, sockets: int) -> dict[str, Any]:
    """Return the configuration of a sender, with the names of the platform's protocol."""
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets, "disk_mb": 3},
        "known": {"rev": 1, "all": True, "targets": list(discovery.entries.values())},
        "settings": {
            "Allowed": {"ConnectTimeout": 1000.0, "IdleClose": 4000.0, "MaxAttempts": 8, "MaxOpen": 60},
            "Balancers": 1,
            "Classes": [{**CLASS, "Window": 0.0, "LateWorth": 0.3}],
            "RegistryMode": "push",
            "Report": {"Names": []},
            "Resolution": 5.0,
            "Rules": {"DrainGrace": 250.0, "Cold": 3000.0, "StartCapacity": 0.3, "TipMultiple": 1.5},
            "Skus": ["office"],
            "Weights": "rough",
            "Specifics": {"CallSlots": 30, "KindApart": [False], "KindBatch": [1], "Decay": "even"},
            "Note": None,
        },
    }


@contextlib.asynccontextmanager
async def running_node(memory_mb: int, sockets: int) -> Any:
    """Run a node with its stand-ins."""
    discovery, endpoint = Discovery(), Endpoint("s-00000001", 1)
    await endpoint.start()
    await discovery.start()
    discovery.entries[endpoint.uid] = endpoint.entry()
    with tempfile.TemporaryDirectory() as directory:
        port = free_port()
        path = Path(directory) / "node.json"
        path.write_text(json.dumps(configuration(port, discovery, memory_mb, sockets)))
        node = NodeHandle("n1", path, port)
        await node.start()
        try:
            yield node
        finally:
            await node.kill()
            await endpoint.stop()
            await discovery.stop()


async def longest_ping(port: int, ended: asyncio.Event) -> float:
    """Send PINGs until ``ended``; returns the longest wait for a reply, in ms."""
    client = await Client("127.0.0.1", port).open()
    longest = 0.0
    while not ended.is_set():
        began = time.perf_counter()
        await client.ask(Client.command(b"PING"))
        longest = max(longest, time.perf_counter() - began)
        await asyncio.sleep(PROBE_SECONDS)
    await client.close()
    return longest * 1000.0


async def price(body_bytes: int) -> Price:
    """Submit messages at a steady rate, and return what they cost."""
    async with running_node(64, 256) as node:
        clients = [await Client("127.0.0.1", node.port).open() for _ in range(CLIENTS)]
        for number, client in enumerate(clients):
            await client.put(f"w{number}", "note", 1)
        ended = asyncio.Event()
        probe = asyncio.ensure_future(longest_ping(node.port, ended))
        await asyncio.sleep(1.0)
        body, before, began = b"x" * body_bytes, node.cpu_seconds(), time.perf_counter()
        lines = []
        for number in range(MESSAGES):
            await asyncio.sleep(began + number / RATE - time.perf_counter())
            lines.append(await clients[number % CLIENTS].put(f"m{number}", "note", 1, body=body))
        await asyncio.sleep(0.5)
        cpu = node.cpu_seconds() - before
        ended.set()
        accepted = lines.count(b"+OK\r\n")
        figures = Price(body_bytes, accepted, MESSAGES - accepted, round(1e6 * cpu / MESSAGES), await probe)
        for client in clients:
            await client.close()
        return figures


def part_of_a_command(number: int) -> bytes:
    """Return the first bytes of a large message."""
    names = b"c=note,d=5000,dest=1"
    return Client.command(b"MSG.PUT", b"0", b"p%d" % number, names, b"x" * 65_000)[:PARTIAL_BYTES]


def small_messages(number: int) -> bytes:
    """Return many small messages, written at once."""
    names = b"c=note,d=5000,dest=1"
    commands = (
        Client.command(b"MSG.PUT", b"0", b"f%d-%d" % (number, i), names, b"x" * 40) for i in range(2000)
    )
    return b"".join(commands)[:FLOOD_BYTES]


def pings(number: int) -> bytes:
    """Return many PINGs, written at once."""
    return Client.command(b"PING") * (FLOOD_BYTES // 14)


FLOODS = (part_of_a_command, small_messages, pings)


async def memory(memory_mb: int, sockets: int, flood: Callable[[int], bytes]) -> Memory:
    """Let clients that do not read fill every connection, and return the largest resident memory."""
    loop = asyncio.get_running_loop()
    async with running_node(memory_mb, sockets) as node:
        await asyncio.sleep(1.0)
        before = largest = node.resident_mb()
        flooders = []
        for number in range(int(sockets * CLIENT_SHARE)):
            flooder = socket.socket()
            flooder.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            flooder.setblocking(False)
            await loop.sock_connect(flooder, ("127.0.0.1", node.port))
            flooders.append((flooder, flood(number)))
        began, sent = time.perf_counter(), [0] * len(flooders)
        while time.perf_counter() - began < FLOOD_SECONDS:
            for number, (flooder, data) in enumerate(flooders):
                with contextlib.suppress(OSError):
                    sent[number] += flooder.send(data[sent[number] : sent[number] + 16_384])
            largest = max(largest, node.resident_mb())
            await asyncio.sleep(0.005)
        for flooder, _ in flooders:
            flooder.close()
        return Memory(flood.__name__, memory_mb, sockets, len(flooders), round(before, 1), round(largest, 1))


async def main() -> None:
    """Print a line of JSON for each case."""
    for body_bytes in BODY_SIZES:
        print(json.dumps(asdict(await price(body_bytes))), flush=True)
    for flood in FLOODS:
        for sockets in SOCKETS:
            for memory_mb in MEMORY_MB:
                print(json.dumps(asdict(await memory(memory_mb, sockets, flood))), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
