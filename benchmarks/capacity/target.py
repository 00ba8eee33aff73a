"""The size and the budgets that the operators name, under the names that formulas use."""

from __future__ import annotations

from benchmarks.capacity.measurement import TARGET, Point
from brassweir.agreed import timing

MEMORY = 64.0  # MB of control memory at a sender
CPU = 0.026  # cores that a sender spends on control
BYTES = 27_000.0  # bytes a second that a sender spends on control
IN_FORCE = 11.0  # seconds from a change to its being in force everywhere

CONSTANTS: dict[str, float] = {
    "events_per_second": 110_000.0,
    "backlog_events": 7_300_000_000.0,
    "changes_per_day": 1_200.0,
    "restarts_per_day": 59.0,
    "zone_senders": 49.0,
    "call_interval": 300.0,  # seconds between two calls of one sender to one destination
    "day": 86_400.0,
    "control_budget": BYTES,
    "idle_close": 20.0,  # seconds, the default of sender.idle_close_ms
    "learners_fed": float(timing.MAX_CHILDREN),  # by one copy, at most
    "log_entries_kept": float(timing.SNAPSHOT_ENTRIES + timing.KEPT_ENTRIES),  # at most, in memory
    "most_command": float(timing.MAX_COMMAND_BYTES),
}


def constants(point: Point = TARGET) -> dict[str, float]:
    """All names but those of figures."""
    sizes = {"senders": float(point.senders), "destinations": float(point.destinations), "down": point.down}
    return {**CONSTANTS, **sizes, "backlog": float(point.backlog)}
