"""What a sender costs an event over forward, against reading the same chunks and nothing else.

One sender as a process of its own between sources and a destination in other processes. The bare cost is that of
cutting, reading and unpacking the same bytes in one thread, measured in the same run. Prints one JSON object.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import uvloop

from brassweir.forward import events, message
from brassweir.forward.events import Event, EventTime
from brassweir.forward.frames import Frames
from brassweir.lab.models.desk import Manner
from brassweir.lab.rigs.fleet import SINK_KEY
from brassweir.lab.rigs.flood import Flood, FloodPlan, usage
from brassweir.lab.rigs.handle import SenderHandle
from brassweir.lab.standins.pour import pour, start_sink

SECONDS = 8.0


def bare(entries: int, compress: bool, rounds: int = 60) -> float:
    """CPU seconds to cut, read and unpack one chunk."""
    packed = events.pack(
        [
            Event(
                EventTime(1_700_000_000, i),
                {"payment": "p-w", "effect": "safe", "n": i, "text": "some words that a log line may hold"},
            )
            for i in range(entries)
        ]
    )
    data = message.packed_message("status.store.p-w", packed, "chunk", entries, compress=compress)
    before = time.process_time()
    for _ in range(rounds):
        frames = Frames(64_000_000)
        for at in range(0, len(data), 16_384):
            frames.feed(data[at : at + 16_384])
        frame = frames.next()
        assert frame is not None
        assert sum(1 for _ in events.unpack(message.read(frame).entries(64_000_000), 1_000_000)) == entries
    return (time.process_time() - before) / rounds


async def measure(entries: int, journaled: bool) -> dict[str, Any]:
    """Pour for some seconds; what went through, and what a chunk cost."""
    with tempfile.TemporaryDirectory() as folder:
        flood = Flood(FloodPlan(sources=8, idle=8, room=200_000_000), 1, Path(folder))
        flood.fleet.plan.slots, flood.fleet.plan.max_open = 400, 4000
        if not journaled:
            right = flood.fleet.settings

            def settings(*given: Any) -> dict[str, Any]:
                tree = right(*given)
                tree["sender"]["journaled"] = False
                return tree

            flood.fleet.settings = settings  # type: ignore[method-assign, assignment]
        sink, port = await asyncio.to_thread(
            start_sink, "store", SINK_KEY, replace(Manner(), workers=200, service=0.002, queue=100_000)
        )
        try:
            await flood.fleet.set_up()
            flood.fleet.urls["store-a"] = flood.fleet.urls["store-b"] = (
                f"forward://127.0.0.1:{port}",
                "store",
            )
            flood.fleet.publish({})
            handle = flood.fleet.senders[0]
            assert isinstance(handle, SenderHandle) and handle.process is not None
            before = usage(handle.process.pid)
            sources = [(one.name, one.key, 16) for one in flood.fleet.shippers]
            found = await pour(sources, flood.fleet.forward_ports[0], entries, time.time() + 1.0 + SECONDS)
            after = usage(handle.process.pid)
        finally:
            sink.kill()
            await flood.fleet.stop()
    chunks = sum(acked for acked, _ in found)
    return {
        "chunks_a_second": round(chunks / SECONDS, 1),
        "events_a_second": round(chunks * entries / SECONDS),
        "cpu_ms_a_chunk": round((after.cpu - before.cpu) * 1000.0 / max(1, chunks), 3),
        "cpu_share": round((after.cpu - before.cpu) / SECONDS, 2),
        "rss_mb": round(after.peak / 1e6),
    }


def main() -> None:
    """Small, ordinary and large chunks."""
    tree: dict[str, Any] = {}
    for entries in (1, 200, 5000):
        alone = bare(entries, False)
        for journaled in (True, False):
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                found = runner.run(measure(entries, journaled))
            found["cpu_over_bare"] = round(found["cpu_ms_a_chunk"] / (alone * 1000.0), 2)
            tree[f"{entries} entries{'' if journaled else ', no journal'}"] = {
                "bare_cpu_ms_a_chunk": round(alone * 1000.0, 3),
                **found,
            }
    json.dump(tree, sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    main()
