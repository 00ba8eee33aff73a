"""The ownership of a sender, from its settings: fed by head office's file, by the agreed log, or none."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from brassweir.config.model import CopyConfig
from brassweir.interface import MessageClass
from brassweir.observe.metrics import Metrics
from brassweir.regions.ownership import Assumptions
from brassweir.service.file_ownership import FileOwnership
from brassweir.service.log_ownership import LogOwnership
from brassweir.service.region_ownership import RegionOwnership


def create_ownership(
    config: CopyConfig,
    base: Path,
    classes: dict[str, MessageClass],
    metrics: Metrics,
    note: Callable[[str, dict[str, object]], None],
) -> RegionOwnership | None:
    """Raises ConfigError where what was known cannot be read."""
    given = config.region
    if given is None:
        return None
    longest = max((cls.deadline for cls in classes.values()), default=given.longest_deadline_ms or 0.0)
    assumed = Assumptions(given.clock_error_ms, longest, given.asks_on_ms)
    state = base / f"{config.sender.name}.epoch"

    def counted(why: str) -> None:
        metrics.ownership_refusals.labels(why).inc()

    if given.epochs is None:
        return LogOwnership(given.name, state, assumed, classes, note, counted)
    return FileOwnership(given.name, base / given.epochs, state, assumed, classes, note, counted)
