"""The configured state machine: versions by compare-and-set, atomic, and the same on every copy."""

from __future__ import annotations

import msgspec
import pytest

from brassweir.agreed import commands as agreed
from brassweir.agreed.commands import Format, Join, Leave, Result
from brassweir.agreed.machine import Machine, UnsupportedLevel
from brassweir.agreed.machine_state import StateError, pack
from brassweir.configstream import commands, delta
from brassweir.configstream.catalog_source import CachingCatalogSource
from brassweir.configstream.commands import Abandon
from brassweir.configstream.delta import Delta
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.configstream.validation import Confirmation
from tests.configstream.samples import apply, change, entries, entry, level_2, transfer

FIRST = Delta(tuple(entries(40)))


def machine() -> ConfiguredMachine:
    return level_2(ConfiguredMachine())


def with_entries() -> ConfiguredMachine:
    replica = machine()
    assert apply(replica, change(replica, FIRST)) == Result(True, 3)
    return replica


def test_of_two_changes_from_one_version_the_second_is_rejected() -> None:
    replica = with_entries()
    first_change, second_change = (change(replica, Delta((entry(n, 5.0),))) for n in (1, 2))
    assert apply(replica, first_change) == Result(True, 4)
    assert apply(replica, second_change) == Result(
        False, 4, "after", "it was made from version 3, and 4 is there"
    )
    assert apply(replica, first_change) == Result(True, 4), (
        "a repeat of the current version succeeds without a change"
    )
    assert replica.configuration.version == 4 and replica.configuration.by == "a"
    assert replica.configuration.catalog.get("e1") == entry(1, 5.0)
    assert replica.configuration.catalog.get("e2") == entry(2)


def test_a_staged_version_is_applied_atomically() -> None:
    replica = machine()
    stages, commit = transfer(replica, FIRST, 4)
    for stage in reversed(stages[1:]):
        assert apply(replica, stage) == Result(True, 0) == apply(replica, stage), "in any order, and repeated"
    incomplete = apply(replica, commit)
    assert (incomplete.field, incomplete.why) == ("parts", "pieces are missing: 0, ...")
    assert replica.configuration.catalog.size == 0, "no part of it is in force"
    conflicting = msgspec.structs.replace(stages[1], body=b"other")
    assert apply(replica, conflicting).field == "part", "the first chunk stays"
    apply(replica, stages[0])
    done = apply(replica, commit)
    assert done.ok and done.version == replica.configuration.version
    assert replica.configuration.catalog.size == 40 and not replica.configuration.staging.transfers
    assert apply(replica, commit) == done, "a repeat, without its chunks"


def test_a_new_version_drops_staged_transfers() -> None:
    replica = with_entries()
    stages, commit = transfer(replica, Delta((entry(1, 5.0),)), 2)
    for stage in stages:
        apply(replica, stage)
    apply(replica, change(replica, Delta((entry(2, 5.0),))))
    assert not replica.configuration.staging.transfers
    assert apply(replica, commit).field == "after", (
        "the outdated version is reported before the missing chunks"
    )
    apply(replica, stages[0])
    assert apply(replica, Abandon("t")).ok and replica.configuration.staging.size == 0


@pytest.mark.parametrize(
    ("made_of", "field", "words"),
    [
        (Delta((entry(1), entry(1, 5.0))), "name", "endpoint e1 stands more than once"),
        (Delta((entry(1, 5.0),), ("e1",)), "name", "endpoint e1 stands more than once"),
        (Delta((entry(1, -1.0),)), "entry", "endpoint e1: rate: a number from 0 to 1e9"),
        (Delta((), ("e1",)), "destinations", "1 would be left with no endpoint, and 0 are confirmed: d1"),
        (Delta((), tuple(f"e{n}" for n in range(5))), "removed", "5 of 40 endpoints would be removed"),
    ],
)
def test_an_invalid_version_is_rejected_and_the_current_one_stays(
    made_of: Delta, field: str, words: str
) -> None:
    replica = with_entries()
    before = replica.configuration.catalog
    refused = apply(replica, change(replica, made_of))
    assert (refused.ok, refused.version, refused.field) == (False, 3, field) and words in refused.why
    assert replica.configuration.catalog is before and replica.configuration.version == 3
    stages, commit = transfer(replica, made_of, 2)
    assert [apply(replica, stage).ok for stage in stages] == [True, True]
    assert apply(replica, commit).field == field and not replica.configuration.staging.transfers


def test_undecodable_deltas_and_wrong_digests_are_rejected() -> None:
    replica = with_entries()
    good = change(replica, Delta((entry(1, 5.0),)))
    assert apply(replica, msgspec.structs.replace(good, digest="0" * 32)).field == "digest"
    for body in (b"x", good.body[:-1], good.body + b"x"):
        assert apply(replica, msgspec.structs.replace(good, body=body)).field == "body"
    unknown = msgspec.structs.replace(good, body=delta.pack(Delta((), ("e99",))))
    assert apply(replica, unknown).why == "endpoint e99 is not there to be removed"
    assert apply(replica, msgspec.structs.replace(good, by="no name")).field == "command"
    assert replica.configuration.version == 3


def test_an_exact_confirmation_allows_removals() -> None:
    replica = with_entries()
    five = Delta((), tuple(f"e{n}" for n in range(5)))
    for removed, owners, field in ((4, 5, "removed"), (5, 4, "destinations")):
        assert apply(replica, change(replica, five, Confirmation(removed, owners))).field == field
    assert (
        apply(replica, change(replica, five, Confirmation(5, 5))).ok
        and replica.configuration.catalog.size == 35
    )


def test_at_level_1_it_behaves_as_the_plain_machine() -> None:
    plain, replica = Machine(), ConfiguredMachine()
    probe = machine()
    early = commands.encode(change(probe, FIRST))
    log = [agreed.encode(Join("a", "s", "r", 1)), early, agreed.encode(Format(2)), agreed.encode(Leave("a"))]
    for index, data in enumerate(log, 1):
        assert plain.apply(index, data) == replica.apply(index, data)
        assert plain.snapshot() == replica.snapshot() and plain.digest() == replica.digest()
    again = ConfiguredMachine()
    again.restore(plain.snapshot())
    assert again.snapshot() == plain.snapshot()


def test_an_older_program_stops_at_level_2_and_rejects_its_snapshots() -> None:
    replica, old = with_entries(), Machine()
    with pytest.raises(StateError, match="level 2 is agreed, and this version knows 1"):
        old.restore(replica.snapshot())
    old.apply(1, agreed.encode(Join("a", "s", "r", 2)))
    old.apply(2, agreed.encode(Format(2)))
    with pytest.raises(UnsupportedLevel):
        old.snapshot()


def test_a_snapshot_in_the_middle_of_a_transfer() -> None:
    replica, again = with_entries(), ConfiguredMachine()
    stages, commit = transfer(replica, Delta((entry(1, 5.0),)), 2)
    apply(replica, stages[0])
    again.restore(replica.snapshot())
    assert again.snapshot() == replica.snapshot() and again.digest() == replica.digest()
    for command in (stages[1], commit):
        assert apply(again, command) == apply(replica, command)
    assert again.digest() == replica.digest() and again.configuration.catalog.get("e1") == entry(1, 5.0)
    blank = ConfiguredMachine().snapshot()
    again.restore(blank)
    assert again.configuration.version == 0 and again.snapshot() == blank


def test_damaged_snapshots_change_nothing() -> None:
    replica, restored = with_entries(), with_entries()
    data, level_only = replica.snapshot(), pack(replica.state)
    for bad in (data[:-1], b"", level_only):
        with pytest.raises(StateError):
            restored.restore(bad)
    assert restored.snapshot() == data


def test_an_index_is_applied_once() -> None:
    replica = with_entries()
    data = commands.encode(change(replica, Delta((entry(1, 5.0),))))
    replica.apply(9, data)
    before = replica.snapshot()
    assert agreed.decode_result(replica.apply(9, data)).field == "index" and replica.snapshot() == before


def test_changes_since_a_version() -> None:
    replica = with_entries()
    for rate in (1.0, 2.0):
        apply(replica, change(replica, Delta((entry(1, rate),))))
    apply(replica, change(replica, Delta((), ("e2",)), Confirmation(0, 1)))
    assert replica.changes_since(6) == Delta() and replica.changes_since(5) == Delta((), ("e2",))
    assert replica.changes_since(3) == Delta((entry(1, 2.0),), ("e2",))
    assert replica.changes_since(2) is None
    for rate in range(16):
        apply(replica, change(replica, Delta((entry(3, 1.0 + rate),))))
    assert replica.changes_since(5) is None and replica.changes_since(6) == Delta((entry(3, 16.0),))


def test_machines_with_a_shared_cache_behave_as_others() -> None:
    source = CachingCatalogSource()
    replicas = [level_2(ConfiguredMachine(source)), level_2(ConfiguredMachine(source)), machine()]
    stages, commit = transfer(replicas[0], FIRST, 3)
    bad = msgspec.structs.replace(change(with_entries(), Delta((entry(1, -1.0),))), after=6)
    log = [commands.encode(stage) for stage in stages]
    for data in (*log, commands.encode(commit), commands.encode(bad)):
        assert len({replica.apply(replica.state.index + 1, data) for replica in replicas}) == 1
    assert replicas[0].configuration.catalog is replicas[1].configuration.catalog
    assert len({replica.digest() for replica in replicas}) == 1
    for replica in replicas[:2]:
        replica.restore(replicas[2].snapshot())
    assert replicas[0].configuration.catalog is replicas[1].configuration.catalog
