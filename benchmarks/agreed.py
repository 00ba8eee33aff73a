"""The agreed log: a new leader after silence (simulated), entries a second through three members on real files."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import uvloop

from brassweir.agreed.events import OutcomeKind
from brassweir.agreed.member import Member
from brassweir.lab.models.logworld import Weather, World
from brassweir.lab.models.toys import Pile

COMMAND = b"x" * 200


class Wire:
    """Carries messages within the process, each in a turn of its own, and counts them."""

    handlers: dict[str, Callable[[str, bytes], None]] = {}
    sent = 0

    def __init__(self, name: str) -> None:
        self.name = name

    def on(self, kind: str, handler: Callable[[str, bytes], None]) -> None:
        """Hear."""
        self.handlers[self.name] = handler

    def send(self, to: str, kind: str, body: bytes) -> bool:
        """Send."""
        Wire.sent += len(body)
        asyncio.get_running_loop().call_soon(self.handlers[to], self.name, body)
        return True


def new_leader(seed: int, loss: float, late: float) -> tuple[float, float]:
    """Ms from a leader's death to the first election time-out, and from there until another leads."""
    world = World(seed, 3, 0, Weather(loss=loss, high=late))
    world.run(6_000.0 + 37.0 * (seed % 50))
    old = world.leader()
    if old is None:
        return new_leader(seed + 100_000, loss, late)
    world.crash(old, "lost", -1.0)
    died, noticed = world.now, 0.0
    while world.leader() is None:
        world.run(world.now + 5.0)
        roles = {node.core.role for node in world.nodes.values() if node.core is not None}
        if not noticed and roles & {"asking", "candidate", "elected", "leader"}:
            noticed = world.now
    return noticed - died, world.now - noticed


async def throughput(seconds: float, at_once: int) -> tuple[float, float, float, float]:
    """Entries a second, bytes sent an entry, bytes kept an entry, ms each took in the middle."""
    with tempfile.TemporaryDirectory() as folder:
        names = ("a", "b", "c")
        members = [Member(name, Path(folder) / name, Pile(), Wire(name), names, names) for name in names]
        for member in members:
            await member.start()
        while not any(member.status().role == "leader" for member in members):
            await asyncio.sleep(0.01)
        leader = next(member for member in members if member.status().role == "leader")
        took: list[float] = []
        Wire.sent, end = 0, time.perf_counter() + seconds

        async def client() -> None:
            while time.perf_counter() < end:
                before = time.perf_counter()
                assert (await leader.propose(COMMAND, 5_000.0)).how is OutcomeKind.AGREED
                took.append((time.perf_counter() - before) * 1_000.0)

        before = sum(path.stat().st_size for path in (Path(folder) / "a").iterdir())
        await asyncio.gather(*(client() for _ in range(at_once)))
        kept = sum(path.stat().st_size for path in (Path(folder) / "a").iterdir()) - before
        for member in members:
            await member.stop()
        return len(took) / seconds, Wire.sent / len(took), kept / len(took), sorted(took)[len(took) // 2]


def main() -> None:
    """Print both."""
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else 200
    for loss, late in ((0.0, 3.0), (0.2, 200.0)):
        pairs = [new_leader(seed, loss, late) for seed in range(runs)]
        for what, spans in (
            ("silence noticed after", [a for a, _ in pairs]),
            ("then a leader after", [b for _, b in pairs]),
        ):
            spans.sort()
            print(
                f"loss {loss:.0%}, up to {late:.0f} ms late: {what} p50 {spans[runs // 2]:.0f} ms, "
                f"p99 {spans[int(runs * 0.99)]:.0f} ms"
            )
    for at_once in (1, 16, 128) if runs else ():
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            rate, sent, kept, took = runner.run(throughput(3.0, at_once))
        print(
            f"{at_once} at once, 200 bytes each, fsync: {rate:.0f} entries/s, p50 {took:.1f} ms, "
            f"{sent:.0f} bytes sent and {kept:.0f} kept an entry"
        )


if __name__ == "__main__":
    main()
