"""What copies share, in one process: the port to the others, and the agreed log where the settings have it.

Imported only where the settings name peers: all others pay nothing for it.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from brassweir.config.copies import own_entry, read_copies
from brassweir.config.model import Config
from brassweir.observe.metrics import Metrics
from brassweir.service.keyfiles import peer_keys
from brassweir.service.region import Region


class Together:
    """One copy among others."""

    def __init__(self, config: Config, base: Path, region: Region | None, metrics: Metrics, log: Any) -> None:
        """Raises ConfigError with all that is wrong with the files that copies share."""
        assert config.peers is not None
        self.config, self.base, self.log = config, base, log
        self.copies = read_copies(base / config.peers.copies, config)
        self.keys = peer_keys(config.peers, base)
        self.me = own_entry(self.copies, config)
        self.states: dict[str, Callable[[], dict[str, Any]]] = {}
