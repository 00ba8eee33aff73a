"""Calls that a destination gets while it refuses them: each sender learns of it by its own calls alone."""

from __future__ import annotations

import statistics

from benchmarks.capacity.measurement import Axis, Figure, Kind, Measurement, Point, Role
from benchmarks.capacity.probes.simulated import Fleet
from benchmarks.capacity.target import CONSTANTS

SEEDS = (1, 2, 3, 4, 5)
MEAN_RATE = CONSTANTS["events_per_second"] / 70_000  # messages a second for one destination, of all senders
BUSY_RATE = 50.0
FIRST = 300.0  # seconds
HOUR = 3_600.0  # seconds down before calls are counted for as long again
BUSY_WARM, BUSY_SPAN = 300.0, 120.0
MINUTE = 60.0
MECHANISM = "missing: no sender's word reaches another"


def _figure(name: str, what: str, terms: tuple[str, ...]) -> Figure:
    return Figure(
        name, "calls/min", Role.DESTINATION, what, (Axis.SENDERS,), terms, Kind.SIMULATED, mechanism=MECHANISM
    )


FIRST_CALLS = _figure(
    "dead_calls_first",
    "refused in the first five minutes of an outage, at the mean rate of 1.57 messages/s",
    ("1", "reached N"),
)
LATER_CALLS = _figure("dead_calls_later", "the same after an hour of it", ("1", "log N"))
BUSY_CALLS = _figure(
    "dead_calls_busy", "refused after five minutes, at 50 messages/s for one destination", ("1", "N")
)
FLEET_CALLS = Figure(
    "dead_calls_fleet",
    "calls/s",
    Role.DESTINATION,
    "refused in all, at all destinations that are down, in the first five minutes of their outages",
    kind=Kind.DERIVED,
    formula="dead_calls_first / 60 * destinations * down",
    mechanism=MECHANISM,
)
FIGURES: tuple[Figure, ...] = (FIRST_CALLS, LATER_CALLS, BUSY_CALLS, FLEET_CALLS)


def measure(point: Point, seconds: float) -> list[Measurement]:
    """One destination that refuses all connections; simulated spans of its own, shorter for tiny ``seconds``."""
    scale = min(1.0, seconds)
    first = [_calls(point.senders, MEAN_RATE, seed, 0.0, FIRST * scale) for seed in SEEDS]
    later = _calls(point.senders, MEAN_RATE, SEEDS[0], HOUR * scale, HOUR * scale)
    busy = _calls(point.senders, BUSY_RATE, SEEDS[0], BUSY_WARM * scale, BUSY_SPAN * scale)
    method = f"{point.senders} modules under simulated time, messages of 6 s"
    return [
        Measurement(FIRST_CALLS.name, point, statistics.mean(first), f"{method}, mean of {len(SEEDS)} seeds"),
        Measurement(LATER_CALLS.name, point, later, f"{method}, counted for an hour"),
        Measurement(BUSY_CALLS.name, point, busy, f"{method}, counted for {BUSY_SPAN:g} s"),
    ]


def _calls(senders: int, rate: float, seed: int, warm: float, span: float) -> float:
    """Calls a minute in a span of an outage that has lasted for so long."""
    fleet = Fleet(senders, 1, 1.0, rate, seed)
    fleet.run(warm)
    before = fleet.refused_calls
    fleet.run(span)
    return (fleet.refused_calls - before) * MINUTE / span
