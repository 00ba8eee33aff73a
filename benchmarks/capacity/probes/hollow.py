"""Hollow senders: the real ports, liveness, agreed log and files of many copies in one process, over loopback, idle."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import resource
import socket
import tempfile
from pathlib import Path

import uvloop

from benchmarks.capacity.measurement import Axis, Figure, Kind, Measurement, Point, Role
from brassweir.agreed.machine import Machine
from brassweir.agreed.member import Member
from brassweir.lab.models.peernet import HEADERS
from brassweir.peers.copies import Copy
from brassweir.peers.port import PeerPort

VOTERS = 3
SETTLE = 8.0  # seconds until there is a leader, and all have a feeder
MOST_SECONDS = 30.0
MOST_COPIES = 250  # more than that one process cannot step in time
KEY = b"a key of hollow senders"
MECHANISM = "peers and agreed log"
AXES = (Axis.SENDERS,)


def _figure(name: str, unit: str, what: str, terms: tuple[str, ...]) -> Figure:
    return Figure(name, unit, Role.SENDER, what, AXES, terms, Kind.MEASURED, mechanism=MECHANISM)


TRAFFIC = _figure(
    "hollow_bytes", "bytes/s", "liveness and log, idle, both ways, with UDP headers", ("1", "1/N")
)
RESIDENT = _figure(
    "hollow_memory", "MB", "liveness and log, resident, beyond the interpreter", ("1", "N", "1/N")
)
FIGURES: tuple[Figure, ...] = (TRAFFIC, RESIDENT)


def measure(point: Point, seconds: float) -> list[Measurement]:
    """Real time: some seconds to settle, then so many idle ones."""
    if point.senders > MOST_COPIES:
        return []
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_measure(point, min(seconds, MOST_SECONDS)))


async def _measure(point: Point, seconds: float) -> list[Measurement]:
    gc.collect()
    before = _resident()
    with tempfile.TemporaryDirectory() as folder:
        ports, members = _fleet(point.senders, Path(folder))
        try:
            for port, member in zip(ports, members, strict=True):
                await port.start()
                await member.start()
            await asyncio.sleep(SETTLE)
            taken = _bytes(ports)
            await asyncio.sleep(seconds)
            taken = _bytes(ports) - taken
            memory = _resident() - before
            _require_settled(ports, members)
        finally:
            for port, member in zip(ports, members, strict=True):
                await member.stop()
                await port.stop()
    share = point.senders * seconds
    method = f"{point.senders} copies in one process over loopback, {seconds:g} idle seconds"
    return [
        Measurement(TRAFFIC.name, point, taken / share, f"{method}, counts of the ports"),
        Measurement(RESIDENT.name, point, memory / point.senders, f"{method}, growth of the resident set"),
    ]


def _fleet(copies: int, folder: Path) -> tuple[list[PeerPort], list[Member]]:
    names = tuple(f"c{number:03d}" for number in range(copies))
    addresses = _free_addresses(copies)
    ports, members = [], []
    for name in names:
        listed = [
            Copy(other, f"s{number % 10}", f"r{number % 3}", addresses[number])
            for number, other in enumerate(names)
        ]
        port = PeerPort(name, listed, [KEY])
        ports.append(port)
        members.append(Member(name, folder / name, Machine(), port, names[:VOTERS], names))
    return ports, members


def _free_addresses(count: int) -> list[str]:
    """Loopback ports that are free now."""
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) for _ in range(count)
        ]
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{one.getsockname()[1]}" for one in sockets]


def _require_settled(ports: list[PeerPort], members: list[Member]) -> None:
    """An idle fleet is one in which all are alive and follow a leader."""
    dead = sum(state != "alive" for port in ports for state in port.view().states.values())
    leaderless = sum(not member.status().leader for member in members)
    if dead or leaderless:
        raise RuntimeError(
            f"not idle: {dead} views of a copy that is not alive, {leaderless} without a leader"
        )


def _bytes(ports: list[PeerPort]) -> int:
    """Sent and received so far, with headers."""
    counts = [port.counters() for port in ports]
    datagrams = sum(
        number for one in counts for word, number in one.items() if word.startswith(("sent_", "taken_"))
    )
    return sum(one["bytes_sent"] + one["bytes_taken"] for one in counts) + datagrams * HEADERS


def _resident() -> float:
    """MB of this process now."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize() / 1e6
