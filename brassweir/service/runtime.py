"""Interpreter settings of a sender (garbage collection, thread switching), and a gauge of loop stalls."""

from __future__ import annotations

import asyncio
import gc
import sys

from prometheus_client import Gauge

# Thresholds of the three generations. Full collections are rare because each one walks all remembered answers
# and stalls the loop; nearly all cycles (tasks, exceptions) are short-lived.
GC_THRESHOLDS = (10_000, 5, 100_000)
SWITCH_INTERVAL_SECONDS = 0.001  # threads that parse lists and keys compete with the loop
STALL_CHECK_SECONDS = 0.01
STALL_WINDOW_SECONDS = 10.0


def freeze_heap() -> None:
    """Exclude all present objects from garbage collection, and make full collections rare."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    shorten_switch_interval()


def shorten_switch_interval() -> None:
    """Shorten the interpreter's thread switch interval, so that busy threads delay the loop less."""
    sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)


async def measure_stalls(gauge: Gauge) -> None:
    """Set the gauge to the longest delay of the loop (s) in each window, until cancelled."""
    loop = asyncio.get_running_loop()
    worst, since = 0.0, loop.time()
    while True:
        before = loop.time()
        await asyncio.sleep(STALL_CHECK_SECONDS)
        worst = max(worst, loop.time() - before - STALL_CHECK_SECONDS)
        if loop.time() - since > STALL_WINDOW_SECONDS:
            gauge.set(worst)
            worst, since = 0.0, loop.time()
