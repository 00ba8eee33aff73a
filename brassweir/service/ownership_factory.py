"""Creates the ownership that the settings ask for: from a file, from the agreed log, or none."""

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
    """Return the ownership, or None without regions. Raises ConfigError if the saved epoch cannot be read."""
    settings = config.region
    if settings is None:
        return None
    longest_deadline_ms = max(
        (cls.deadline for cls in classes.values()), default=settings.longest_deadline_ms or 0.0
    )
    assumed = Assumptions(settings.clock_error_ms, longest_deadline_ms, settings.asks_on_ms)
    state_path = base / f"{config.sender.name}.epoch"

    def count_refusal(why: str) -> None:
        metrics.ownership_refusals.labels(why).inc()

    if settings.epochs is None:
        return LogOwnership(settings.name, state_path, assumed, classes, note, count_refusal)
    return FileOwnership(
        settings.name, base / settings.epochs, state_path, assumed, classes, note, count_refusal
    )
