"""The interpreter under a sender: its collector, its threads' turns, and the longest delay of its loop."""

from __future__ import annotations

import asyncio
import gc
import sys

from prometheus_client import Gauge

# Net new objects before a young collection, young ones before a middle one, middle ones before a full one.
# A full one walks every remembered answer, for a tenth of a second and more; what is no longer used goes
# without it, and the few cycles there are (tasks, errors) die young.
COLLECT = (10_000, 5, 100_000)
SWITCH = 0.001  # seconds until a busy thread yields: lists and keys are worked on beside the loop
STALL_LOOK = 0.01  # seconds between two looks at the loop's delay
STALL_SPAN = 10.0  # seconds that the longest delay is told of, or more


def freeze_heap() -> None:
    """What stands now stands for good: the collector need not walk the whole list again and again."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECT)
    shorten_switch_interval()


def shorten_switch_interval() -> None:
    """Threads that work on lists let the loop go on soon, each time that it lets go of the interpreter."""
    sys.setswitchinterval(SWITCH)


async def measure_stalls(gauge: Gauge) -> None:
    """Keep the longest delay of the loop over the last ten seconds or more, for ever."""
    loop = asyncio.get_running_loop()
    worst, since = 0.0, loop.time()
    while True:
        before = loop.time()
        await asyncio.sleep(STALL_LOOK)
        worst = max(worst, loop.time() - before - STALL_LOOK)
        if loop.time() - since > STALL_SPAN:
            gauge.set(worst)
            worst, since = 0.0, loop.time()
