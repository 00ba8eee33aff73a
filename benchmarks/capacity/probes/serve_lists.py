"""A real ``serve`` process that knows many destinations by a list in JSON lines: its start, a change, and idle time."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from benchmarks.capacity.measurement import Axis, Figure, Kind, Measurement, Point, Role
from benchmarks.capacity.probes.resources import reset_peak, resident, threads_cpu
from benchmarks.idle_minute import running
from brassweir.lab.rigs.handle import SenderHandle
from brassweir.lab.rigs.idle_setup import publish

AXES = (Axis.DESTINATIONS,)
SETTLE = 3.0  # seconds
MOST_SECONDS = 20.0  # idle
CHANGES = 3  # of which the cheapest counts
LOOK, WAIT = 0.05, 60.0  # seconds
TAKEN = "list_taken"  # the line of the log that tells of a list
UNUSED_PORT = 9
MECHANISM = "list file, intake and decision module"


def _figure(name: str, unit: str, what: str) -> Figure:
    return Figure(name, unit, Role.SENDER, what, AXES, ("1", "D"), Kind.MEASURED, mechanism=MECHANISM)


START = _figure("serve_list_start", "s", "`serve` with a list in JSON lines: CPU until it listens")
MEMORY = _figure("serve_list_memory", "MB", "the same, resident with nothing open")
IDLE = _figure("serve_list_idle", "cores", "the same, idle")
CHANGE = _figure("serve_list_change", "s", "the same, CPU of one changed entry")
PEAK = _figure("serve_list_change_peak", "MB", "the same, the most resident meanwhile")
FIGURES: tuple[Figure, ...] = (START, MEMORY, IDLE, CHANGE, PEAK)


def measure(point: Point, seconds: float) -> list[Measurement]:
    """Start one process, let it idle, and change its list."""
    return asyncio.run(_measure(point, min(seconds, MOST_SECONDS)))


async def _measure(point: Point, seconds: float) -> list[Measurement]:
    async with running(point.destinations) as (handle, folder):
        assert handle.process is not None
        pid = handle.process.pid
        started = threads_cpu(pid)
        settle = min(SETTLE, seconds)
        await asyncio.sleep(settle)
        memory = resident(pid)
        before, begun = threads_cpu(pid), time.monotonic()
        await asyncio.sleep(seconds)
        idle = (threads_cpu(pid) - before) / (time.monotonic() - begun)
        reset_peak(pid)
        changes = []
        for number in range(CHANGES):
            spent = await _change(handle, folder, point.destinations, number + 1, settle)
            changes.append(spent - idle * settle)
        peak = resident(pid, peak=True)
    method = f"one process over loopback, journal on, no message, {seconds:g} idle seconds, /proc"
    values = {START: started, MEMORY: memory / 1e6, IDLE: idle, CHANGE: min(changes), PEAK: peak / 1e6}
    return [Measurement(figure.name, point, value, method) for figure, value in values.items()]


async def _change(
    handle: SenderHandle, folder: Path, destinations: int, replaced: int, settle: float
) -> float:
    """CPU seconds until some time after a list was taken in which one more endpoint has another name."""
    assert handle.process is not None
    told, until = handle.log.read_text().count(TAKEN), time.monotonic() + WAIT
    before = threads_cpu(handle.process.pid)
    publish(folder, 0, destinations, UNUSED_PORT, replaced)
    while handle.log.read_text().count(TAKEN) == told:
        if time.monotonic() > until:
            raise RuntimeError("the changed list was not taken in time")
        await asyncio.sleep(LOOK)
    await asyncio.sleep(settle)
    return threads_cpu(handle.process.pid) - before
