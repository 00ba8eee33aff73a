"""Ownership from a file of epochs that an operator publishes to every region, polled for changes."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from brassweir.interface import MessageClass
from brassweir.regions.epochs import parse
from brassweir.regions.ownership import Assumptions
from brassweir.regions.sources import Source
from brassweir.service.region_ownership import RegionOwnership


class FileOwnership(RegionOwnership):
    """Ownership from a published file."""

    source = Source.FILE

    def __init__(
        self,
        region: str,
        path: Path,
        state_path: Path,
        assumed: Assumptions,
        classes: dict[str, MessageClass],
        note: Callable[[str, dict[str, object]], None],
        count_refusal: Callable[[str], None] = lambda _: None,
    ) -> None:
        """Load the saved epoch. Raises ConfigError if it cannot be read."""
        super().__init__(region, state_path, assumed, classes, note, count_refusal)
        self.path = path

    def poll(self) -> None:
        """Compare the clocks and read the file."""
        super().poll()
        self.adopt(lambda: parse(self.path.read_bytes()), str(self.path))
