"""A sender inside the laboratory's own process, for runs that look into it or break it on purpose."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from time import monotonic
from typing import Any

from brassweir.config.load import load
from brassweir.config.model import Config
from brassweir.service.process import SenderProcess


class Lines:
    """A log that keeps its lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def bind(self, **_: Any) -> Lines:
        """The same log: one sender writes it."""
        return self

    def info(self, event: str, **details: Any) -> None:
        """Keep a line."""
        self.lines.append((event, details))

    warning = info

    def of(self, event: str) -> list[dict[str, Any]]:
        """The details of every line of one kind."""
        return [details for name, details in self.lines if name == event]


class LocalSender:
    """Starts and drains like a sender of its own process; ``tamper`` is shown the parts before they run."""

    def __init__(
        self, name: str, settings: Path, port: int, tamper: Callable[[SenderProcess], None] | None = None
    ) -> None:
        self.name, self.settings, self.port, self.tamper = name, settings, port, tamper
        self.log = Lines()
        self.process: SenderProcess | None = None

    @property
    def running(self) -> bool:
        """Has it been started and not ended?"""
        return self.process is not None

    async def start(self) -> None:
        """Start it."""
        self.process = SenderProcess(load(self.settings, Config), self.settings.parent, self.log)
        if self.tamper is not None:
            self.tamper(self.process)
        await self.process.start()

    async def drain(self, within: float) -> tuple[int, float]:
        """Drain it; 0 and the seconds it took."""
        begun = monotonic()
        if self.process is not None:
            await self.process.drain()
            self.process = None
        return 0, monotonic() - begun
