"""What destinations cost that nobody sends anything to: CPU of a sender that only knows them, by their number.

Each size runs as a process of its own with its journal on; its CPU over the span comes from the system. Prints
one JSON object; the ratio of the largest size to the smallest is what is to stay flat.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from brassweir.lab.rigs.flood import usage
from brassweir.lab.rigs.handle import SenderHandle, free_port
from brassweir.lab.rigs.idle_setup import Plan, write
from brassweir.lab.rigs.load import Mix

SPAN = 20.0  # seconds
LISTENS_WITHIN, DRAIN = 60.0, 10.0


@asynccontextmanager
async def running(count: int) -> AsyncIterator[tuple[SenderHandle, Path]]:
    """A sender that knows so many idle destinations, with its journal on, and its folder."""
    with tempfile.TemporaryDirectory() as temporary:
        folder, port = Path(temporary), free_port()
        settings = write(folder, Plan(Mix(1.0, 1.0, 0, count), 1, journaled=True), port)
        listen = free_port()
        settings.write_text(re.sub(r"127\.0\.0\.1:0", f"127.0.0.1:{listen}", settings.read_text()))
        handle = SenderHandle("idle", settings, listen)
        handle.listens_within = LISTENS_WITHIN
        try:
            await handle.start()
            yield handle, folder
        finally:
            await handle.drain(DRAIN)


async def measure(count: int) -> dict[str, float]:
    """CPU ms a minute and resident bytes of a sender with so many idle destinations."""
    async with running(count) as (handle, _):
        assert handle.process is not None
        await asyncio.sleep(3.0)
        before = usage(handle.process.pid)
        await asyncio.sleep(SPAN)
        after = usage(handle.process.pid)
    return {
        "cpu_ms_a_minute": round((after.cpu - before.cpu) * 60_000.0 / SPAN),
        "rss_mb": round(after.rss / 1e6, 1),
    }


def main() -> None:
    """All sizes, one after another."""
    sizes = (10, 1000, 10_000, 50_000)
    found = {str(count): asyncio.run(measure(count)) for count in sizes}
    low, high = found[str(sizes[0])], found[str(sizes[-1])]
    tree = {
        "sizes": found,
        "cpu_largest_over_smallest": round(high["cpu_ms_a_minute"] / low["cpu_ms_a_minute"], 2),
        "bytes_a_destination": round((high["rss_mb"] - low["rss_mb"]) * 1e6 / sizes[-1]),
        "cores": os.cpu_count(),
    }
    json.dump(tree, sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    main()
