"""Sources that never slow down: is memory bounded, does a greedy one take the others' room, does AS2 feel it?

One sender as a process of its own. Phases, one after another: AS2 alone; idle sources; a flood at a
destination that can do far less than is sent, one source sending ten times as much, with AS2 beside it; and
the same flood while the destination is shut.
"""

from __future__ import annotations

import asyncio
import os
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from brassweir.lab.judges.tape import Answered, HandIn
from brassweir.lab.models.desk import Manner
from brassweir.lab.rigs.fleet import SINK_KEY, Fleet
from brassweir.lab.rigs.handle import SenderHandle
from brassweir.lab.rigs.load import Latency
from brassweir.lab.rigs.plan import FleetPlan
from brassweir.lab.standins.client import Order
from brassweir.lab.standins.pour import pour, start_sink

TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class FloodPlan:
    """``depth`` chunks are out at a time from each source, ``greed`` times as many from the first."""

    sources: int = 50
    idle: int = 1000
    seconds: float = 12.0  # of each phase
    depth: int = 8
    greed: int = 10
    entries: int = 200
    as2_rate: float = 10.0
    manner: Manner = Manner(workers=4, service=0.04, queue=10_000)  # some hundred chunks a second
    room: int = 20_000_000


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used: CPU seconds, and resident bytes now and at most."""

    cpu: float
    rss: int
    peak: int


def usage(pid: int) -> Usage:
    """Read it from /proc."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines())
    return Usage(
        (int(fields[11]) + int(fields[12])) / TICKS,
        int(status["VmRSS"].split()[0]) * 1024,
        int(status["VmHWM"].split()[0]) * 1024,
    )


def _reset_peak(pid: int) -> None:
    Path(f"/proc/{pid}/clear_refs").write_text("5")


class Flood:
    """One run."""

    def __init__(self, plan: FloodPlan, seed: int, folder: Path) -> None:
        self.plan = plan
        self.fleet = Fleet(
            folder,
            FleetPlan(
                senders=1,
                clients=1,
                async_clients=0,
                partners={"bank": Manner(workers=8, service=0.02)},
                sinks={"store": Manner()},
                slots=64,
                max_open=600,
                shippers=max(plan.sources, plan.idle),
            ),
            seed,
            self._launch,
        )
        self.numbers = 0
        self.pid = 0
        self.sink: Any = None

    def _launch(self, name: str, path: Path, port: int) -> SenderHandle:
        """The room is the run's own: small, so that the flood meets it."""
        room = f"  buffered_bytes: {self.plan.room}\n  kept: "
        text = path.read_text(encoding="utf-8").replace("  kept: ", room)
        path.write_text(text, encoding="utf-8")
        return SenderHandle(name, path, port)

    async def run(self) -> dict[str, Any]:
        """All phases; the figures of each."""
        plan, fleet = self.plan, self.fleet
        try:
            self.sink, port = await asyncio.to_thread(start_sink, "store", SINK_KEY, plan.manner)
            await fleet.set_up()
            for name in ("store-a", "store-b"):
                fleet.urls[name] = (f"forward://127.0.0.1:{port}", "store")
            fleet.publish({"store-b": "gone"})
            await asyncio.sleep(0.5)
            handle = fleet.senders[0]
            assert isinstance(handle, SenderHandle) and handle.process is not None
            self.pid = handle.process.pid
            alone = await self._as2(plan.seconds)
            idle = {str(count): await self._idle(count) for count in (10, plan.idle)}
            flood = await self._flood(False)
            shut = await self._flood(True)
            return {
                "as2_alone_ms": alone,
                "idle_sources": idle,
                "flood": flood,
                "shut": shut,
                "room_bytes": plan.room,
            }
        finally:
            if self.sink is not None:
                self.sink.kill()
            await fleet.stop()

    async def _as2(self, seconds: float) -> dict[str, float]:
        fleet, begun = self.fleet, time.time()
        orders = []
        for i in range(int(seconds * self.plan.as2_rate)):
            self.numbers += 1
            at = i / self.plan.as2_rate
            orders.append(Order(at, f"p-a{self.numbers}", "status", "safe", "bank", "", 6.0, 0))
        first = len(fleet.tape.seen)
        await asyncio.gather(*(fleet.clients[0].hand_in(order, begun) for order in orders))
        seen = fleet.tape.seen[first:]
        given = {
            one.ident: one.at
            for one in seen
            if isinstance(one, HandIn) and one.client == fleet.clients[0].name and one.attempt == 0
        }
        latency = Latency()
        for one in seen:
            if isinstance(one, Answered) and one.ident in given and one.answer == "delivered":
                latency.add(one.at - given.pop(one.ident))
        return {**latency.tree(), "not_delivered": len(given)}

    async def _idle(self, count: int) -> dict[str, float]:
        """What sources cost that stand connected and send nothing."""
        shippers = self.fleet.shippers[:count]
        before = usage(self.pid)
        lines = await asyncio.gather(*(shipper._line(0) for shipper in shippers))
        await asyncio.sleep(0.5)
        standing = usage(self.pid)
        await asyncio.sleep(3.0)
        after = usage(self.pid)
        for line in lines:
            line.close()
        await asyncio.sleep(0.5)
        return {
            "bytes_each": round((standing.rss - before.rss) / count),
            "cpu_ms_a_second_each": round((after.cpu - standing.cpu) * 1000.0 / 3.0 / count, 4),
            "handshakes_cpu_ms_each": round((standing.cpu - before.cpu) * 1000.0 / count, 3),
        }

    async def _flood(self, shut: bool) -> dict[str, Any]:
        plan, fleet = self.plan, self.fleet
        if shut:
            self.sink.kill()
            self.sink.join()
        _reset_peak(self.pid)
        before, begun = usage(self.pid), time.time()
        # Processes take a second to start: what they do before that is idle time.
        until = begun + 1.0 + plan.seconds
        sources = [
            (shipper.name, shipper.key, plan.depth * (plan.greed if not i else 1))
            for i, shipper in enumerate(fleet.shippers[: plan.sources])
        ]
        pouring = asyncio.ensure_future(pour(sources, fleet.forward_ports[0], plan.entries, until))
        await asyncio.sleep(2.0)
        latency = await self._as2(plan.seconds - 2.0)
        after = usage(self.pid)
        found = await pouring
        acked = [one for one, _ in found]
        mean = sum(acked) / len(acked)
        modest = acked[1:]
        await asyncio.sleep(1.0)
        return {
            "chunks_acked": sum(acked),
            "closes": sum(closed for _, closed in found),
            "events_a_second": round(sum(acked) * plan.entries / plan.seconds),
            "fairness_least_over_mean": round(min(acked) / mean, 3) if mean else None,
            "fairness_among_modest": round(min(modest) * len(modest) / max(1, sum(modest)), 3),
            "greedy_over_mean": round(acked[0] / mean, 2) if mean else None,
            "rss_before": before.rss,
            "rss_peak": after.peak,
            "over_before_by_room": round((after.peak - before.rss) / plan.room, 2),
            "cpu_share": round((after.cpu - before.cpu) / (plan.seconds + 1.0), 2),
            "as2_ms": latency,
        }
