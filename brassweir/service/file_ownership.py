"""The epochs that head office publishes: a file that is looked at again and again."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from brassweir.interface import MessageClass
from brassweir.regions.epochs import parse
from brassweir.regions.ownership import Assumptions
from brassweir.regions.sources import Source
from brassweir.service.region_ownership import RegionOwnership


class FileOwnership(RegionOwnership):
    """Ownership fed by head office's file."""

    source = Source.FILE

    def __init__(
        self,
        region: str,
        path: Path,
        state: Path,
        assumed: Assumptions,
        classes: dict[str, MessageClass],
        note: Callable[[str, dict[str, object]], None],
        counted: Callable[[str], None] = lambda _: None,
    ) -> None:
        """Raises ConfigError where what was known cannot be read."""
        super().__init__(region, state, assumed, classes, note, counted)
        self.path = path

    def look(self) -> None:
        """Read the file once."""
        super().look()
        self.take(lambda: parse(self.path.read_bytes()), str(self.path))
