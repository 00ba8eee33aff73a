"""The interface of what puts versions of the endpoint configuration in force at one copy."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from brassweir.configstream.catalog import Catalog
from brassweir.configstream.entries import Entry


class Follower(Protocol):
    """Puts the newest usable version in force; versions in between may be skipped."""

    in_force: int  # version; 0: none
    refused: str  # why the newest version cannot be used here; empty: it can
    on_in_force: Callable[[int], None]  # called with each version put in force

    def follow(self, version: int, catalog: Catalog) -> None:
        """Take over the newest version."""

    def check(self, entries: Sequence[Entry]) -> None:
        """Check whether these entries could be in force here. Runs on a thread. Raises ConfigError."""


class PassiveFollower:
    """Follower of a process that delivers nothing: every version is in force as soon as it is stored."""

    def __init__(self) -> None:
        self.in_force = 0
        self.refused = ""
        self.on_in_force: Callable[[int], None] = lambda _: None

    def follow(self, version: int, catalog: Catalog) -> None:
        """Put the version in force at once."""
        self.in_force = version
        self.on_in_force(version)

    def check(self, entries: Sequence[Entry]) -> None:
        """Accept any entries."""
