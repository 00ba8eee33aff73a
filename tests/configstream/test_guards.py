"""Properties of versions that are seen to break when the guard that keeps each is taken out."""

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
from tests.configstream.samples import change, do, entries, entry, level_2, transfer

Property = Callable[[ConfiguredMachine], bool]


def begun(made: ConfiguredMachine) -> ConfiguredMachine:
    level_2(made)
    assert do(made, change(made, Delta(tuple(entries(40))))).ok
    return made


def nothing_is_overwritten(made: ConfiguredMachine) -> bool:
    """Two operators change one entry from one version: what was in force first is not lost unseen."""
    first, second = (change(made, Delta((entry(1, rate),))) for rate in (1.0, 2.0))
    do(made, first)
    do(made, second)
    return made.configuration.catalog.get("e1") == entry(1, 1.0)


def nothing_is_half(made: ConfiguredMachine) -> bool:
    """Whenever one looks, the whole of one version is there."""
    wanted = Delta(tuple(entries(40, 1.0)))
    stages, commit = transfer(made, wanted, 3)
    whole = {made.configuration.catalog.digest(), commit.digest}
    seen = set()
    log: list[AnyCommand] = [*stages[:2], commit, stages[2], commit]
    for command in log:
        do(made, command)
        seen.add(made.configuration.catalog.digest())
    return seen == whole


def no_owner_is_left_out(made: ConfiguredMachine) -> bool:
    """A list that forgot a destination does not come in force."""
    do(made, change(made, Delta((), ("e1",))))
    return "d1" in made.configuration.catalog.owner_counts


def all_copies_have_what_was_meant(made: ConfiguredMachine) -> bool:
    """A proposer that took another catalog for the version that is there changes nothing."""
    elsewhere = begun(ConfiguredMachine())
    do(elsewhere, change(elsewhere, Delta((entry(2, 9.0),))))
    meant = change(elsewhere, Delta((entry(1, 1.0),)))
    do(made, msgspec.structs.replace(meant, after=made.configuration.version))
    return made.configuration.catalog.get("e1") == entry(1)


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


class NoCheck(CatalogSource):
    def next_catalog(self, catalog: Catalog, body: bytes, confirmation: Confirmation) -> Catalog:
        made = delta.unpack(body)
        return catalog.apply(made.changed, made.removed).catalog


class NoDigest(ConfiguredMachine):
    def _apply_change(self, index: int, given: Commit | Change, body: bytes) -> Result:
        made = self.catalog_source.next_catalog(self.configuration.catalog, body, given.confirmation)
        return super()._apply_change(index, msgspec.structs.replace(given, digest=made.digest()), body)


@pytest.mark.parametrize(
    ("holds", "broken"),
    [
        (nothing_is_overwritten, NoVersionCheck),
        (nothing_is_half, NoAtomicSwitch),
        (no_owner_is_left_out, lambda: ConfiguredMachine(NoCheck())),
        (all_copies_have_what_was_meant, NoDigest),
    ],
)
def test_a_guard_that_is_taken_out_is_seen(holds: Property, broken: Callable[[], ConfiguredMachine]) -> None:
    assert holds(begun(ConfiguredMachine()))
    assert not holds(begun(broken()))
