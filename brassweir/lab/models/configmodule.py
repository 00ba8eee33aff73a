"""A model of a copy's decision module: told of a version in bounded steps, drains and removals first."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from brassweir.configstream.catalog import Catalog
from brassweir.configstream.delta import Delta, diff_entries
from brassweir.configstream.entries import Entry
from brassweir.lab.models.configfleet import DRAINING

TURN = 5.0  # ms from one loop turn to the next
A_TURN = 200  # entries told in one turn


class Configuration(Protocol):
    """What a machine says of the version that is agreed."""

    @property
    def version(self) -> int:
        """The version; 0: none."""

    @property
    def catalog(self) -> Catalog:
        """Its entries."""


class ConfigurationSource(Protocol):
    """The machine, as the module's feeder reads it."""

    @property
    def configuration(self) -> Configuration:
        """What is agreed now."""

    def changes_since(self, version: int) -> Delta | None:
        """What changed since, or None if that is too long ago."""


@dataclass(frozen=True)
class Item:
    """One entry that the module is told of; ``entry`` None: it is removed."""

    name: str
    entry: Entry | None

    @property
    def urgent(self) -> bool:
        """Does it take traffic off an endpoint?"""
        return self.entry is None or self.entry.state == DRAINING


@dataclass(frozen=True)
class ToldItems:
    """The module was told of these on its way to a version."""

    version: int
    items: tuple[Item, ...]


@dataclass(frozen=True)
class ToldAll:
    """The module was told all of a version. ``loaded``: from nothing, the whole list."""

    version: int
    loaded: bool


ModuleEvent = ToldItems | ToldAll


def ordered(delta: Delta) -> list[Item]:
    """The items of a delta, those that take traffic off first."""
    items = [Item(name, None) for name in delta.removed] + [Item(one.name, one) for one in delta.changed]
    return sorted(items, key=lambda item: not item.urgent)


class DeltaMemo:
    """What lies between two catalogs, worked out once for all copies that share them."""

    def __init__(self) -> None:
        self.found: dict[tuple[int, int], tuple[Catalog, Catalog, list[Item]]] = {}

    def between(self, old: Catalog, new: Catalog) -> list[Item]:
        """Items in order. The catalogs are kept, so that their ids stay theirs."""
        key = (id(old), id(new))
        if key not in self.found:
            self.found[key] = (old, new, ordered(diff_entries(old, new.entries())))
        return self.found[key][2]


class DecisionModel:
    """One copy's module."""

    def __init__(self, source: ConfigurationSource, memo: DeltaMemo) -> None:
        self.source, self.memo = source, memo
        self.version = 0  # all of it was told
        self.catalog: Catalog | None = None
        self.target_version = 0
        self.target_catalog: Catalog | None = None
        self.pending: list[Item] = []
        self.loading = 0  # turns left of telling a whole list
        self.is_load = False

    @property
    def busy(self) -> bool:
        """Has it something left to be told?"""
        return self.target_catalog is not None or self.source.configuration.version != self.version

    def turn(self) -> list[ModuleEvent]:
        """One loop turn."""
        if self.target_catalog is None:
            self._begin()
        if self.target_catalog is None:
            return []
        told: list[ModuleEvent] = []
        if self.loading:
            self.loading -= 1
        elif self.pending:
            told.append(ToldItems(self.target_version, tuple(self.pending[:A_TURN])))
            self.pending = self.pending[A_TURN:]
        if not self.pending and not self.loading:
            self.version, self.catalog, self.target_catalog = self.target_version, self.target_catalog, None
            told.append(ToldAll(self.version, self.is_load))
        return told

    def _begin(self) -> None:
        """Take up the version that is agreed now."""
        configuration = self.source.configuration
        if configuration.version == self.version:
            return
        self.target_version, self.target_catalog = configuration.version, configuration.catalog
        self.is_load = self.catalog is None
        if self.catalog is None:
            self.loading = -(-configuration.catalog.size // A_TURN)
            return
        delta = self.source.changes_since(self.version)
        if delta is None:
            self.pending = list(self.memo.between(self.catalog, configuration.catalog))
        else:
            self.pending = ordered(delta)
