"""What the judge of the simulated fleet sees: each guard that is taken out breaks a property; with it none does."""

from __future__ import annotations

from dataclasses import replace

import pytest

from brassweir.agreed.core import Core
from brassweir.configstream import delta
from brassweir.configstream.commands import Change, encode
from brassweir.configstream.core import ConfiguredCore
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.lab.models import configmodule
from brassweir.lab.models.configfleet import DRAINING
from brassweir.lab.models.configjudge import Expected
from brassweir.lab.models.configoperator import PROPOSER
from brassweir.lab.models.configplan import CASES, play, replace_state, settle
from brassweir.lab.models.configworld import World
from brassweir.lab.models.logjudge import Broken
from tests.lab.models import configmade as made


def fleet(machine: type[ConfiguredMachine] = ConfiguredMachine, core: type[Core] = ConfiguredCore) -> World:
    return made.settled(replace(made.small(), machine=machine, core=core))


def race(world: World) -> None:
    """Two changes made from one version."""
    plans = [made.planned(world, made.with_rates(world.list, 5, seed)) for seed in (1, 2)]
    for ticket, one in enumerate(plans):
        made.propose(world, one.final_command, ticket)
    world.run(world.now + 3_000.0)


def test_of_two_changes_from_one_version_one_takes_effect() -> None:
    world = fleet()
    race(world)
    assert len(world.judge.chain) == 2
    world.judge.finish(set(world.fleet.names), set(world.judge.chain))


def test_without_the_version_check_an_update_is_lost() -> None:
    with pytest.raises(Broken, match="^lost update: "):
        race(fleet(made.NoVersionCheck))


def change_many(world: World) -> None:
    """A change of several commands."""
    world.submit(made.with_rates(world.list, 300, 1))
    settle(world)


def test_a_change_of_several_commands_takes_effect_at_once() -> None:
    world = fleet()
    change_many(world)
    assert world.operator.submissions[0].commands > 2


def test_without_the_atomic_switch_half_a_version_is_seen() -> None:
    with pytest.raises(Broken, match="^half: "):
        change_many(fleet(made.HalfSwitch))


def spoil(world: World) -> None:
    """A change that leaves destinations without an endpoint, proposed past the operator's own check."""
    machine = world.nodes[PROPOSER].machine
    assert machine is not None
    there = machine.configuration
    gone = tuple(sorted(world.list)[:5])
    kept = {name: entry for name, entry in world.list.items() if name not in gone}
    digest = there.catalog.apply((), gone).catalog.digest()
    body = delta.pack(delta.Delta((), gone))
    command = encode(Change(there.version, body, digest, PROPOSER))
    world.judge.expected[command] = Expected(kept, there.version, bad=True)
    made.propose(world, command, 1)
    world.run(world.now + 3_000.0)


def test_a_bad_version_is_refused_by_the_machine() -> None:
    world = fleet()
    spoil(world)
    assert len(world.judge.chain) == 1


def test_without_the_check_a_bad_version_takes_effect() -> None:
    with pytest.raises(Broken, match="^bad version: "):
        spoil(fleet(made.NoBadVersionCheck))


def test_without_comparing_after_a_compaction_a_module_misses_changes() -> None:
    given = replace(made.small(), machine=made.NoCompare, core=made.Compacting)
    with pytest.raises(Broken, match="^module lost: "):
        play(CASES["region"], given)


def test_without_snapshots_copies_stay_behind() -> None:
    given = replace(made.small(), core=made.NoSnapshots)
    with pytest.raises(Broken, match="^lost: the module of "):
        play(CASES["zone"], given)


def cut_for_long(world: World) -> None:
    """No change comes meanwhile: those that are cut off hold the newest version all the while."""
    leader = world.fleet.places[world.leader() or ""].region
    world.cut_region("rc" if leader != "rc" else "rb")
    world.run(world.now + 40_000.0)


def test_copies_out_of_contact_are_not_counted() -> None:
    world = fleet()
    cut_for_long(world)
    assert 0.0 < world.views.longest_counted <= 18_000.0


def test_if_acknowledgements_did_not_expire_they_would_be() -> None:
    with pytest.raises(Broken, match="^view: .* out of contact"):
        cut_for_long(fleet(core=made.NoExpiry))


def drain_with_others(world: World) -> None:
    entries = dict(made.with_rates(world.list, 300, 1))
    entries["e00007"] = replace_state(entries["e00007"], DRAINING)
    world.submit(entries)
    settle(world)


def test_a_drain_is_told_before_the_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    drain_with_others(fleet())

    def as_they_come(given: delta.Delta) -> list[configmodule.Item]:
        return [configmodule.Item(one.name, one) for one in sorted(given.changed, key=lambda one: one.name)]

    monkeypatch.setattr(configmodule, "ordered", as_they_come)
    with pytest.raises(Broken, match="^drains first: "):
        drain_with_others(fleet())
