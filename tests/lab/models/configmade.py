"""What the tests of the simulated fleet share: a small fleet, and cores and machines with a guard taken out."""

from __future__ import annotations

from functools import cache
from random import Random

from brassweir.agreed.commands import Result
from brassweir.agreed.events import Propose
from brassweir.agreed.messages import SnapshotOffer
from brassweir.configstream.acknowledgements import Acknowledgements
from brassweir.configstream.catalog import Catalog
from brassweir.configstream.catalog_source import CatalogSource
from brassweir.configstream.commands import Change, Commit
from brassweir.configstream.core import ConfiguredCore
from brassweir.configstream.delta import Delta, unpack
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.configstream.publish_plan import PublishPlan, make_plan
from brassweir.configstream.validation import Confirmation
from brassweir.lab.models.configjudge import Expected, List
from brassweir.lab.models.configoperator import PROPOSER
from brassweir.lab.models.configplan import SETTLED, Setting, setting
from brassweir.lab.models.configworld import World

COPIES, ENTRIES = 30, 3_000  # 300 entries change at once, in three commands


@cache
def small() -> Setting:
    """A fleet that plays a case in about a second."""
    return setting(COPIES, ENTRIES)


def settled(given: Setting | None = None, seed: int = 1) -> World:
    """One whose feed tree stands."""
    world = (given or small()).world(seed)
    world.run(SETTLED)
    return world


def planned(world: World, entries: List) -> PublishPlan:
    """The commands of a list, made from what stands at the proposer now; the judge knows of them."""
    machine = world.nodes[PROPOSER].machine
    assert machine is not None
    there = machine.configuration
    made = make_plan(there.version, there.catalog, entries.values(), PROPOSER)
    assert made is not None
    world.judge.expected[made.final_command] = Expected(entries, there.version)
    return made


def propose(world: World, command: bytes, ticket: int) -> None:
    """Propose a command as it is."""
    world.give(PROPOSER, Propose(ticket, command, world.now + 20_000.0))


def with_rates(entries: List, count: int, seed: int) -> List:
    """The list with other rates for some."""
    rng = Random(seed)
    changed = {}
    for name in rng.sample(sorted(entries), count):
        one = entries[name]
        changed[name] = type(one)(
            one.name, one.url, one.destination, zone=one.zone, rate=one.rate + 1.0 + seed
        )
    return {**entries, **changed}


class NoVersionCheck(ConfiguredMachine):
    """Takes a change from whatever version it was made."""

    def _apply_change(self, index: int, given: Change | Commit, body: bytes) -> Result:
        there = self.configuration
        catalog = self.catalog_source.next_catalog(there.catalog, body, given.confirmation)
        there.history.add(there.version, body)
        there.staging.clear()
        there.version, there.catalog = index, catalog
        return Result(True, index)


class HalfSwitch(ConfiguredMachine):
    """Takes only the first half of a change of several commands."""

    def _commit(self, index: int, given: Commit) -> Result:
        before = self.configuration.catalog
        delta = unpack(self.configuration.staging.join(given.transfer, given.parts))
        made = super()._commit(index, given)
        half = delta.changed[: len(delta.changed) // 2]
        self.configuration.catalog = before.apply(half, ()).catalog
        return made


class Lenient(CatalogSource):
    """Makes the next catalog without checking it."""

    def next_catalog(self, catalog: Catalog, body: bytes, confirmation: Confirmation) -> Catalog:
        delta = unpack(body)
        return catalog.apply(delta.changed, delta.removed).catalog


class NoBadVersionCheck(ConfiguredMachine):
    """Takes any version."""

    def __init__(self, share: CatalogSource | None = None) -> None:
        super().__init__(Lenient())


class NoCompare(ConfiguredMachine):
    """Says that nothing changed where the changes are no longer known."""

    def changes_since(self, version: int) -> Delta | None:
        return super().changes_since(version) or Delta()


class Compacting(ConfiguredCore):
    """Takes a snapshot at every sixth entry, and keeps three behind it."""

    snapshot_every, entries_kept = 6, 3


class NoSnapshots(Compacting):
    """Does not fetch the snapshot that it is offered."""

    def on_snapshot_offer(self, sender: str, message: SnapshotOffer) -> None:
        pass


class _Everlasting(Acknowledgements):
    def expire(self, now: float) -> None:
        pass


class NoExpiry(ConfiguredCore):
    """Goes by what a copy once said."""

    def refresh_from_machine(self) -> None:
        if not isinstance(self.acknowledgements, _Everlasting):
            self.acknowledgements = _Everlasting(self.member_indexes)
        super().refresh_from_machine()
