"""Processor time of an event on a sender's way from client to destination, over forward, by events in a chunk."""

from __future__ import annotations

import asyncio

import uvloop

from benchmarks import forward_path
from benchmarks.capacity.measurement import Figure, Kind, Measurement, Point, Role

SIZES = {"one": 1, "many": 200}  # events in a chunk
MECHANISM = "forward front and carrier, engine, journal"
TARGET_EACH = "events_per_second / senders"


def _chunk(word: str, events: int) -> Figure:
    what = f"a chunk of {events} event{'s' * (events > 1)} taken, kept and delivered over forward, CPU"
    return Figure(f"forward_chunk_{word}", "ms", Role.CLIENT, what, mechanism=MECHANISM)


def _cores(word: str, events: int) -> Figure:
    return Figure(
        f"forward_cores_{word}",
        "cores",
        Role.CLIENT,
        f"the target's events of one sender in chunks of {events}",
        kind=Kind.DERIVED,
        budget=1.0,
        formula=f"forward_chunk_{word} / {events} / 1000 * {TARGET_EACH}",
        mechanism=MECHANISM,
    )


CHUNKS = {word: _chunk(word, events) for word, events in SIZES.items()}
FIGURES: tuple[Figure, ...] = (
    *CHUNKS.values(),
    *(_cores(word, events) for word, events in SIZES.items()),
)


def measure(point: Point, seconds: float) -> list[Measurement]:
    """One sender under full load between sources and a destination in other processes, some seconds for each size."""
    found = []
    for word, events in SIZES.items():
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            told = runner.run(forward_path.measure(events, True))
        method = (
            f"benchmarks/forward_path.py, {forward_path.SECONDS:g} s of load, journal on, CPU of the process"
        )
        found.append(Measurement(CHUNKS[word].name, point, told["cpu_ms_a_chunk"], method))
    return found
