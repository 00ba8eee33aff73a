"""Each property of versions breaks when its guard is removed, so the checks of these properties are effective."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest

from brassweir.agreed.commands import Result
from brassweir.configstream import delta
from brassweir.configstream.catalog import Catalog
from brassweir.configstream.catalog_source import CatalogSource
from brassweir.configstream.commands import AnyCommand, Change, Commit
from brassweir.configstream.delta import Delta
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.configstream.validation import Confirmation
from tests.configstream.samples import apply, change, entries, entry, level_2, transfer

Property = Callable[[ConfiguredMachine], bool]


def with_entries(machine: ConfiguredMachine) -> ConfiguredMachine:
    level_2(machine)
    assert apply(machine, change(machine, Delta(tuple(entries(40))))).ok
    return machine


def no_update_is_lost(machine: ConfiguredMachine) -> bool:
    """Two changes of one entry from one version: the second does not overwrite the first."""
    first, second = (change(machine, Delta((entry(1, rate),))) for rate in (1.0, 2.0))
    apply(machine, first)
    apply(machine, second)
    return machine.configuration.catalog.get("e1") == entry(1, 1.0)


def versions_are_atomic(machine: ConfiguredMachine) -> bool:
    """After each command one complete version is in force."""
    wanted = Delta(tuple(entries(40, 1.0)))
    stages, commit = transfer(machine, wanted, 3)
    expected = {machine.configuration.catalog.digest(), commit.digest}
    seen = set()
    log: list[AnyCommand] = [*stages[:2], commit, stages[2], commit]
    for command in log:
        apply(machine, command)
        seen.add(machine.configuration.catalog.digest())
    return seen == expected


def owners_keep_an_endpoint(machine: ConfiguredMachine) -> bool:
    """A change that leaves a destination without endpoints is rejected."""
    apply(machine, change(machine, Delta((), ("e1",))))
    return "d1" in machine.configuration.catalog.owner_counts


def the_proposers_catalog_results(machine: ConfiguredMachine) -> bool:
    """A change made from another catalog with the same version number is rejected."""
    elsewhere = with_entries(ConfiguredMachine())
    apply(elsewhere, change(elsewhere, Delta((entry(2, 9.0),))))
    intended = change(elsewhere, Delta((entry(1, 1.0),)))
    apply(machine, msgspec.structs.replace(intended, after=machine.configuration.version))
    return machine.configuration.catalog.get("e1") == entry(1)


class NoVersionCheck(ConfiguredMachine):
    def _apply_change(self, index: int, given: Commit | Change, body: bytes) -> Result:
        given = msgspec.structs.replace(given, after=self.configuration.version)
        return super()._apply_change(index, given, body)


class NoAtomicSwitch(ConfiguredMachine):
    def _apply_change(self, index: int, given: Commit | Change, body: bytes) -> Result:
        half = delta.unpack(body).changed[::2] if body else ()
        there = self.configuration
        if half and there.catalog.get(half[0].name) not in (None, half[0]):
            there.catalog = there.catalog.apply(half, ()).catalog
            return Result(True, index)
        return super()._apply_change(index, given, body)


class NoValidation(CatalogSource):
    def next_catalog(self, catalog: Catalog, body: bytes, confirmation: Confirmation) -> Catalog:
        unpacked = delta.unpack(body)
        return catalog.apply(unpacked.changed, unpacked.removed).catalog


class NoDigest(ConfiguredMachine):
    def _apply_change(self, index: int, given: Commit | Change, body: bytes) -> Result:
        catalog = self.catalog_source.next_catalog(self.configuration.catalog, body, given.confirmation)
        return super()._apply_change(index, msgspec.structs.replace(given, digest=catalog.digest()), body)


@pytest.mark.parametrize(
    ("holds", "broken"),
    [
        (no_update_is_lost, NoVersionCheck),
        (versions_are_atomic, NoAtomicSwitch),
        (owners_keep_an_endpoint, lambda: ConfiguredMachine(NoValidation())),
        (the_proposers_catalog_results, NoDigest),
    ],
)
def test_removing_a_guard_breaks_its_property(
    holds: Property, broken: Callable[[], ConfiguredMachine]
) -> None:
    assert holds(with_entries(ConfiguredMachine()))
    assert not holds(with_entries(broken()))
