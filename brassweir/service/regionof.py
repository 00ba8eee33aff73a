"""The ownership of a sender, from its settings: fed by head office's file, by the agreed log, or none."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from brassweir.config.model import CopyConfig
from brassweir.interface import MessageClass
from brassweir.observe.metrics import Metrics
from brassweir.regions.ownership import Assumed
from brassweir.service.region import Region
from brassweir.service.regionfile import RegionFile
from brassweir.service.regionlog import RegionLog


def region_of(
    config: CopyConfig,
    base: Path,
    classes: dict[str, MessageClass],
    metrics: Metrics,
    note: Callable[[str, dict[str, object]], None],
) -> Region | None:
    """Raises ConfigError where what was known cannot be read."""
    given = config.region
    if given is None:
        return None
    longest = max((cls.deadline for cls in classes.values()), default=given.longest_deadline_ms or 0.0)
    assumed = Assumed(given.clock_error_ms, longest, given.asks_on_ms)
    state = base / f"{config.sender.name}.epoch"

    def counted(why: str) -> None:
        metrics.ownership_refusals.labels(why).inc()

    if given.epochs is None:
        return RegionLog(given.name, state, assumed, classes, note, counted)
    return RegionFile(given.name, base / given.epochs, state, assumed, classes, note, counted)
