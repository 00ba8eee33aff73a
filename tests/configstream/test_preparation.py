"""Versions in pieces are prepared while these come: the commit only switches, and its result is no other."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from brassweir.agreed.commands import Result
from brassweir.configstream import commands, delta, publish_plan, validation
from brassweir.configstream.catalog import Catalog
from brassweir.configstream.catalog_builder import CatalogBuilder
from brassweir.configstream.catalog_source import CatalogSource
from brassweir.configstream.chunking import split_delta
from brassweir.configstream.commands import AnyCommand, Commit, Stage
from brassweir.configstream.delta import Delta
from brassweir.configstream.entries import Entry
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.configstream.preparation import Preparation
from brassweir.configstream.publish_plan import PublishPlan
from brassweir.configstream.validation import UNCONFIRMED, Confirmation
from tests.configstream.samples import change, do, entries, entry, level_2

MANY = 3_000


class Unprepared(CatalogSource):
    """Leaves all work to the commit."""

    def new_preparation(self, catalog: Catalog) -> Preparation | None:
        return None


def planned(
    there: ConfiguredMachine, wanted: list[Entry], confirmation: Confirmation = UNCONFIRMED
) -> PublishPlan:
    at = there.configuration
    made = publish_plan.make_plan(at.version, at.catalog, wanted, "a", confirmation)
    assert made is not None
    return made


def counted(monkeypatch: pytest.MonkeyPatch, owner: Any, name: str) -> Callable[[], int]:
    """How often something was called since it was last asked."""
    calls, right = [0], getattr(owner, name)

    def call(*given: Any) -> Any:
        calls[0] += 1
        return right(*given)

    def asked() -> int:
        found, calls[0] = calls[0], 0
        return found

    monkeypatch.setattr(owner, name, call)
    return asked


def test_no_entry_is_left_to_the_commit(monkeypatch: pytest.MonkeyPatch) -> None:
    there = level_2(ConfiguredMachine())
    for wanted in (entries(MANY), entries(MANY, 1.0)):
        plan = planned(there, wanted)
        assert len(plan.stage_commands) > 5
        validated = counted(monkeypatch, validation, "validate")
        rewritten = counted(monkeypatch, CatalogBuilder, "_updated_bucket")
        of_a_piece = []
        for piece in plan.stage_commands:
            assert do(there, piece).ok
            of_a_piece.append((validated(), rewritten()))
        assert sum(entries_of for entries_of, _ in of_a_piece) == MANY
        assert max(of_a_piece)[0] < 2 * MANY / len(plan.stage_commands), "the work is spread over the pieces"
        assert sum(buckets for _, buckets in of_a_piece) <= 1_024 + len(plan.stage_commands), (
            "each bucket once"
        )
        assert do(there, plan.final_command).ok and (validated(), rewritten()) == (0, 0)
        monkeypatch.undo()
    assert there.configuration.catalog.digest() == there.configuration.catalog.apply([], []).catalog.digest()
    assert set(there.configuration.catalog.entries()) == set(entries(MANY, 1.0))


def test_pieces_that_a_snapshot_brought_are_prepared_as_others_come(monkeypatch: pytest.MonkeyPatch) -> None:
    first, again = level_2(ConfiguredMachine()), ConfiguredMachine()
    plan = planned(first, entries(MANY))
    half = len(plan.stage_commands) // 2
    for piece in plan.stage_commands[:half]:
        do(first, piece)
    again.restore(first.snapshot())
    for piece in plan.stage_commands[half:]:
        assert do(again, piece) == do(first, piece)
    validated = counted(monkeypatch, validation, "validate")
    assert do(again, plan.final_command) == do(first, plan.final_command) and validated() == 0
    assert again.digest() == first.digest()


@pytest.mark.parametrize("seed", range(12))
def test_machines_that_prepare_are_as_those_that_do_not(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(publish_plan, "MAX_CHUNK_BYTES", 150)
    rng = Random(seed)
    there, plain = level_2(ConfiguredMachine()), level_2(ConfiguredMachine(Unprepared()))
    for _ in range(6):
        known = {one.name: one for one in there.configuration.catalog.entries()}
        drawn = (
            entry(rng.randrange(60), float(rng.randrange(3)), owner=f"d{rng.randrange(9)}") for _ in range(40)
        )
        known |= {one.name: one for one in drawn}
        for name in rng.sample(sorted(known), rng.randrange(5)):
            del known[name]
        try:
            plan = planned(there, list(known.values()), Confirmation(rng.randrange(5), rng.randrange(3)))
        except validation.InvalidChange:
            continue
        log = [*plan.stage_commands, *rng.sample(plan.stage_commands, 2)]
        rng.shuffle(log)
        cut = rng.choice([0, len(log), len(log)])  # pieces that are lost, or none
        for data in (*log[:cut], plan.final_command, *log, plan.final_command):
            assert do(there, data) == do(plain, data)
            assert there.snapshot() == plain.snapshot()
    assert there.configuration.version and there.digest() == plain.digest()


def staged(there: ConfiguredMachine, bodies: list[bytes], digest: str) -> Result:
    log: list[AnyCommand] = [Stage("t", part, body) for part, body in enumerate(bodies)]
    for command in (*log, Commit("t", there.configuration.version, len(bodies), digest, "a")):
        result = do(there, commands.encode(command))
    return result


@pytest.mark.parametrize(
    ("bodies", "field"),
    [
        ([Delta((entry(1, 5.0),)), Delta((entry(1, 6.0),))], "name"),
        ([Delta((entry(1, 5.0),)), Delta((), ("e1",))], "name"),
        ([Delta((entry(1, 5.0),)), Delta((), ("e99",))], "name"),
        ([Delta((entry(1, 5.0),)), Delta((entry(2, -1.0),))], "entry"),
        ([Delta((entry(1, 5.0),)), b"x"], "body"),
        ([Delta((entry(1, 5.0),)), Delta((), ("e2",))], "destinations"),
        ([Delta((entry(9, 5.0),), ("e1", "e2")), Delta((), ("e3", "e4", "e5"))], "removed"),
        ([Delta((entry(1, 5.0),)), Delta((entry(2, 5.0),))], ""),
        ([Delta(), Delta((entry(2, 5.0),))], ""),
        ([Delta((entry(2, 5.0),)), Delta((entry(1, 5.0),))], ""),
    ],
)
def test_what_is_not_as_an_honest_proposer_makes_it(bodies: list[Delta | bytes], field: str) -> None:
    packed = [one if isinstance(one, bytes) else delta.pack(one) for one in bodies]
    results = []
    for share in (CatalogSource(), Unprepared()):
        there = level_2(ConfiguredMachine(share))
        do(there, change(there, Delta(tuple(entries(40)))))
        changed = tuple(one for body in bodies if isinstance(body, Delta) for one in body.changed)
        digest = there.configuration.catalog.apply(changed, ()).catalog.digest()
        results.append((staged(there, packed, digest), there.snapshot()))
    assert results[0] == results[1] and results[0][0].field == field and results[0][0].ok == (not field)


def test_pieces_are_bounded_and_make_the_whole() -> None:
    whole = Delta(tuple(entries(MANY)), tuple(f"x{number}" for number in range(MANY)))
    bodies = split_delta(whole, 2_000)
    assert max(map(len, bodies)) <= 2_000 and len(bodies) < 1.2 * sum(map(len, bodies)) / 2_000 + 1
    read = delta.unpack(b"".join(bodies))
    assert sorted(read.changed, key=lambda one: one.name) == sorted(whole.changed, key=lambda one: one.name)
    assert sorted(read.removed) == sorted(whole.removed)
    assert split_delta(Delta(), 2_000) == [] and len(split_delta(Delta(tuple(entries(3))), 1)) == 3, (
        "an entry is not cut"
    )
