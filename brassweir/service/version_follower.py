"""What follows the versions of the endpoint configuration at one copy."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from brassweir.configstream.catalog import Catalog
from brassweir.configstream.entries import Entry


class Follower(Protocol):
    """Puts versions in force here, the newest in the end."""

    in_force: int  # the version that is in force here; 0: none
    refused: str  # why a newer version cannot be used here; empty if none was refused
    on_in_force: Callable[[int], None]

    def follow(self, version: int, catalog: Catalog) -> None:
        """This is the newest version now."""

    def check(self, entries: Sequence[Entry]) -> None:
        """Could these be in force here? On a thread. Raises ConfigError."""


class PassiveFollower:
    """Follows where nothing is delivered: a version is in force once it is held."""

    def __init__(self) -> None:
        self.in_force = 0
        self.refused = ""
        self.on_in_force: Callable[[int], None] = lambda _: None

    def follow(self, version: int, catalog: Catalog) -> None:
        """In force at once."""
        self.in_force = version
        self.on_in_force(version)

    def check(self, entries: Sequence[Entry]) -> None:
        """Any could."""
