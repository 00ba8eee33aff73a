"""The configured machine: versions by compare-and-set, at once or not at all, alike on every copy."""

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
from tests.configstream.samples import change, do, entries, entry, level_2, transfer

FIRST = Delta(tuple(entries(40)))


def machine() -> ConfiguredMachine:
    return level_2(ConfiguredMachine())


def begun() -> ConfiguredMachine:
    made = machine()
    assert do(made, change(made, FIRST)) == Result(True, 3)
    return made


def test_of_two_changes_from_one_version_the_second_is_refused() -> None:
    made = begun()
    one, other = (change(made, Delta((entry(n, 5.0),))) for n in (1, 2))
    assert do(made, one) == Result(True, 4)
    assert do(made, other) == Result(False, 4, "after", "it was made from version 3, and 4 is there")
    assert do(made, one) == Result(True, 4), "a repeat of what stands is done without a change"
    assert made.configuration.version == 4 and made.configuration.by == "a"
    assert made.configuration.catalog.get("e1") == entry(1, 5.0)
    assert made.configuration.catalog.get("e2") == entry(2)


def test_a_version_in_pieces_comes_at_once() -> None:
    made = machine()
    stages, commit = transfer(made, FIRST, 4)
    for stage in reversed(stages[1:]):
        assert do(made, stage) == Result(True, 0) == do(made, stage), "in any order, and again"
    short = do(made, commit)
    assert (short.field, short.why) == ("parts", "pieces are missing: 0, ...")
    assert made.configuration.catalog.size == 0, "nothing of it is in force"
    other = msgspec.structs.replace(stages[1], body=b"other")
    assert do(made, other).field == "part", "the first one stays"
    do(made, stages[0])
    done = do(made, commit)
    assert done.ok and done.version == made.configuration.version
    assert made.configuration.catalog.size == 40 and not made.configuration.staging.transfers
    assert do(made, commit) == done, "a repeat, without its pieces"


def test_what_is_staged_goes_with_what_it_was_made_from() -> None:
    made = begun()
    stages, commit = transfer(made, Delta((entry(1, 5.0),)), 2)
    for stage in stages:
        do(made, stage)
    do(made, change(made, Delta((entry(2, 5.0),))))
    assert not made.configuration.staging.transfers
    assert do(made, commit).field == "after", "that comes before its missing pieces"
    do(made, stages[0])
    assert do(made, Abandon("t")).ok and made.configuration.staging.size == 0


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
def test_a_bad_version_is_refused_and_the_last_good_one_stays(made_of: Delta, field: str, words: str) -> None:
    made = begun()
    before = made.configuration.catalog
    refused = do(made, change(made, made_of))
    assert (refused.ok, refused.version, refused.field) == (False, 3, field) and words in refused.why
    assert made.configuration.catalog is before and made.configuration.version == 3
    stages, commit = transfer(made, made_of, 2)
    assert [do(made, stage).ok for stage in stages] == [True, True]
    assert do(made, commit).field == field and not made.configuration.staging.transfers


def test_unreadable_bytes_and_other_results_are_refused() -> None:
    made = begun()
    good = change(made, Delta((entry(1, 5.0),)))
    assert do(made, msgspec.structs.replace(good, digest="0" * 32)).field == "digest"
    for body in (b"x", good.body[:-1], good.body + b"x"):
        assert do(made, msgspec.structs.replace(good, body=body)).field == "body"
    unknown = msgspec.structs.replace(good, body=delta.pack(Delta((), ("e99",))))
    assert do(made, unknown).why == "endpoint e99 is not there to be removed"
    assert do(made, msgspec.structs.replace(good, by="no name")).field == "command"
    assert made.configuration.version == 3


def test_an_operators_exact_numbers_let_it_pass() -> None:
    made = begun()
    five = Delta((), tuple(f"e{n}" for n in range(5)))
    for removed, owners, field in ((4, 5, "removed"), (5, 4, "destinations")):
        assert do(made, change(made, five, Confirmation(removed, owners))).field == field
    assert do(made, change(made, five, Confirmation(5, 5))).ok and made.configuration.catalog.size == 35


def test_while_level_1_is_agreed_it_is_the_plain_machine() -> None:
    plain, made = Machine(), ConfiguredMachine()
    probe = machine()
    early = commands.encode(change(probe, FIRST))
    log = [agreed.encode(Join("a", "s", "r", 1)), early, agreed.encode(Format(2)), agreed.encode(Leave("a"))]
    for index, data in enumerate(log, 1):
        assert plain.apply(index, data) == made.apply(index, data)
        assert plain.snapshot() == made.snapshot() and plain.digest() == made.digest()
    again = ConfiguredMachine()
    again.restore(plain.snapshot())
    assert again.snapshot() == plain.snapshot()


def test_an_older_version_stops_at_level_2_and_refuses_its_snapshots() -> None:
    made, old = begun(), Machine()
    with pytest.raises(StateError, match="level 2 is agreed, and this version knows 1"):
        old.restore(made.snapshot())
    old.apply(1, agreed.encode(Join("a", "s", "r", 2)))
    old.apply(2, agreed.encode(Format(2)))
    with pytest.raises(UnsupportedLevel):
        old.snapshot()


def test_a_snapshot_in_the_middle_of_a_transfer() -> None:
    made, again = begun(), ConfiguredMachine()
    stages, commit = transfer(made, Delta((entry(1, 5.0),)), 2)
    do(made, stages[0])
    again.restore(made.snapshot())
    assert again.snapshot() == made.snapshot() and again.digest() == made.digest()
    for command in (stages[1], commit):
        assert do(again, command) == do(made, command)
    assert again.digest() == made.digest() and again.configuration.catalog.get("e1") == entry(1, 5.0)
    blank = ConfiguredMachine().snapshot()
    again.restore(blank)
    assert again.configuration.version == 0 and again.snapshot() == blank


def test_damaged_snapshots_change_nothing() -> None:
    made, one = begun(), begun()
    data, level_only = made.snapshot(), pack(made.state)
    for bad in (data[:-1], b"", level_only):
        with pytest.raises(StateError):
            one.restore(bad)
    assert one.snapshot() == data


def test_nothing_is_applied_twice() -> None:
    made = begun()
    data = commands.encode(change(made, Delta((entry(1, 5.0),))))
    made.apply(9, data)
    before = made.snapshot()
    assert agreed.decode_result(made.apply(9, data)).field == "index" and made.snapshot() == before


def test_changes_since_a_version() -> None:
    made = begun()
    for rate in (1.0, 2.0):
        do(made, change(made, Delta((entry(1, rate),))))
    do(made, change(made, Delta((), ("e2",)), Confirmation(0, 1)))
    assert made.changes_since(6) == Delta() and made.changes_since(5) == Delta((), ("e2",))
    assert made.changes_since(3) == Delta((entry(1, 2.0),), ("e2",))
    assert made.changes_since(2) is None
    for rate in range(16):
        do(made, change(made, Delta((entry(3, 1.0 + rate),))))
    assert made.changes_since(5) is None and made.changes_since(6) == Delta((entry(3, 16.0),))


def test_machines_that_share_are_as_those_that_do_not() -> None:
    share = CachingCatalogSource()
    ones = [level_2(ConfiguredMachine(share)), level_2(ConfiguredMachine(share)), machine()]
    stages, commit = transfer(ones[0], FIRST, 3)
    bad = msgspec.structs.replace(change(begun(), Delta((entry(1, -1.0),))), after=6)
    log = [commands.encode(stage) for stage in stages]
    for data in (*log, commands.encode(commit), commands.encode(bad)):
        assert len({one.apply(one.state.index + 1, data) for one in ones}) == 1
    assert ones[0].configuration.catalog is ones[1].configuration.catalog
    assert len({one.digest() for one in ones}) == 1
    for one in ones[:2]:
        one.restore(ones[2].snapshot())
    assert ones[0].configuration.catalog is ones[1].configuration.catalog
