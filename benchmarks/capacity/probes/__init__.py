"""The probes: each module has ``FIGURES`` and ``measure(point, seconds)``, and stands once in ``PROBES``."""

from __future__ import annotations

from typing import Protocol

from benchmarks.capacity.measurement import Figure, Measurement, Point
from benchmarks.capacity.probes import (
    agreed_log,
    backlog,
    connections,
    dead_destination,
    decisions,
    forward_events,
    hollow,
    leader_lost,
    lists,
    log_state,
    outages,
    peers,
    serve,
    serve_lists,
)


class Probe(Protocol):
    """A module of this package."""

    FIGURES: tuple[Figure, ...]

    def measure(self, point: Point, seconds: float) -> list[Measurement]:
        """Measure its figures at a point, in about that many seconds; run in a process of its own."""
        ...


PROBES: tuple[tuple[str, Probe], ...] = (
    ("peers", peers),
    ("agreed_log", agreed_log),
    ("hollow", hollow),
    ("leader_lost", leader_lost),
    ("lists", lists),
    ("log_state", log_state),
    ("outages", outages),
    ("serve", serve),
    ("decisions", decisions),
    ("backlog", backlog),
    ("connections", connections),
    ("dead_destination", dead_destination),
    ("serve_lists", serve_lists),
    ("forward_events", forward_events),
)
