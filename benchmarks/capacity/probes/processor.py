"""Processor time that other work on the machine does not distort: scaled by a fixed piece of work beside it.

Cores that share caches and execution units with busy ones run up to twice as slowly; process time grows with
that. A fixed piece of work is timed before and after, and what was measured is scaled to that work's time on
an otherwise idle core.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable

import msgspec

REFERENCE = 0.0102  # seconds that the fixed work takes on an otherwise idle core of the machine measured on
ROUNDS = 7_000


def fixed_work() -> float:
    """Seconds of processor time of work like that of the probes: calls, dictionaries, encoding."""
    encoder, decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder()
    held: dict[str, tuple[int, float]] = {}
    before = time.process_time()
    for number in range(ROUNDS):
        name = f"c{number % 97:03d}"
        held[name] = (number, held.get(name, (0, 0.0))[1] + 1.0)
        decoder.decode(encoder.encode([name, number, b"x" * 40, list(range(8))]))
    return time.process_time() - before


def slowness() -> float:
    """How many times longer work takes now than on an otherwise idle core."""
    return fixed_work() / REFERENCE


def scaled(work: Callable[[], object]) -> float:
    """Processor seconds of some work, at the speed of an otherwise idle core."""
    slow = slowness()
    before = time.process_time()
    work()
    took = time.process_time() - before
    return took / ((slow + slowness()) / 2.0)


def median_of(work: Callable[[], object], times: int) -> float:
    """The median of some runs of the same work."""
    return statistics.median(scaled(work) for _ in range(times))
